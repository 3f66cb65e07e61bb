#include "load/wire.h"

#include <algorithm>
#include <charconv>
#include <stdexcept>

#include "base/json.h"
#include "platform/sip.h"
#include "ws/frames.h"

namespace reeltack::load {
namespace {

using base::hex16;

std::int64_t ms(Duration d) {
  return std::max<std::int64_t>(std::chrono::ceil<std::chrono::milliseconds>(d).count(), 1);
}
std::string id_text(TryId id) { return hex16(static_cast<std::uint64_t>(id)); }
// What a caller would describe: the controller carries it through and looks at none of it.
std::string description(TryId id) {
  return id_text(id) + "\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n";
}
std::optional<std::int64_t> whole(std::string_view text) {
  std::int64_t out = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return out;
}

class SipWire final : public Wire {
 public:
  // A test first: a connection that never said a word is the first to be closed for room.
  std::string hello() override {
    return "OPTIONS sip:ping@net SIP/2.0\r\nVia: SIP/2.0/TCP load\r\nCall-ID: 0000000000000000\r\nCSeq: 1 "
           "OPTIONS\r\n"
           "Content-Length: 0\r\n\r\n";
  }
  [[nodiscard]] bool ready() const override { return true; }
  std::string place(const PlaceTry& w, const std::string& class_name) override {
    const std::string body = description(w.id);
    return head("INVITE", hex16(w.number), w.id, 1) + "Subject: " + class_name +
           "\r\nX-Patience: " + std::to_string(ms(w.patience)) +
           "\r\nX-Facts: dest:" + std::to_string(w.first_choice) + ";width:1;via:-1" +
           (w.again ? ";again:1" : "") + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
  }
  std::string give_up(TryId id) override { return bare("CANCEL", id, 1); }
  std::string release(TryId id) override { return bare("BYE", id, 2, "Reason: Q.850;cause=16\r\n"); }

  bool read(std::string_view text, std::size_t& used, std::vector<Said>& said, std::string& reply) override {
    used = 0;
    for (;;) {
      platform::SipMessage message;
      std::size_t n = 0;
      const auto parsed = platform::parse_sip(text.substr(used), message, n);
      used += n;
      if (parsed == platform::ParseResult::more) return true;
      if (parsed == platform::ParseResult::malformed) {
        said.push_back({Said::What::unreadable, {}, "no SIP message", {}, false});
        return false;
      }
      take(message, said, reply);
    }
  }

 private:
  static std::string head(const char* method, const std::string& number, TryId id, int cseq) {
    std::string out(method);
    return out.append(" sip:")
        .append(number)
        .append("@net SIP/2.0\r\nVia: SIP/2.0/TCP load\r\nCall-ID: ")
        .append(id_text(id))
        .append("\r\nCSeq: ")
        .append(std::to_string(cseq))
        .append(" ")
        .append(method)
        .append("\r\n");
  }
  static std::string bare(const char* method, TryId id, int cseq, const std::string& more = "") {
    return head(method, "0000000000000000", id, cseq) + more + "Content-Length: 0\r\n\r\n";
  }
  static void take(const platform::SipMessage& m, std::vector<Said>& said, std::string& reply) {
    const std::string* call = m.header("Call-ID");
    const auto number = call == nullptr ? std::nullopt : base::parse_hex16(*call);
    const auto spoilt = [&said](const std::string& what) {
      said.push_back({Said::What::unreadable, {}, what, {}, false});
    };
    if (!m.method.empty()) {
      if (m.method != "BYE") return;
      if (!number) return spoilt("a BYE without its Call-ID");
      const std::string* reason = m.header("Reason");
      reply += "SIP/2.0 200 OK\r\n" + m.echoed() + "Content-Length: 0\r\n\r\n";
      said.push_back({Said::What::released,
                      TryId{*number},
                      "",
                      {},
                      reason != nullptr && reason->find("cause=16") == std::string::npos});
      return;
    }
    const std::string* cseq = m.header("CSeq");
    if (cseq == nullptr) return spoilt("an answer without CSeq");
    const std::string method = cseq->substr(std::min(cseq->find(' '), cseq->size() - 1) + 1);
    if (m.status < 200 || method == "OPTIONS" || method == "BYE") return;
    if (!number) return spoilt("an answer without its Call-ID");
    const TryId id{*number};
    if (method == "CANCEL") return said.push_back({Said::What::gave_up, id, "", {}, false});
    if (method != "INVITE") return;
    reply += bare("ACK", id, 1);
    if (m.status < 300) return said.push_back({Said::What::stands, id, m.body, {}, false});
    const std::string* later = m.header("X-Later-Ms");
    const auto wait = later == nullptr ? std::nullopt : whole(*later);
    const bool harmless = m.status == 503 || m.status == 480;
    said.push_back({harmless ? Said::What::refused : Said::What::failed, id, "",
                    std::chrono::milliseconds(std::clamp<std::int64_t>(wait.value_or(0), 0, 3'600'000)),
                    false});
  }
};

class WsWire final : public Wire {
 public:
  WsWire(const Target& target, std::uint64_t seed)
      : host_(base::to_text(target.address)), seed_(seed), assembler_(ws::Assembler::Peer::server) {}
  std::string hello() override { return ws::client_handshake(host_, "/calls", kKey); }
  [[nodiscard]] bool ready() const override { return ready_; }
  std::string place(const PlaceTry& w, const std::string& class_name) override {
    return framed(R"({"type":"set-up","call":")" + id_text(w.id) + R"(","class":)" +
                  base::quoted(class_name) + R"(,"number":")" + hex16(w.number) + R"(","description":)" +
                  base::quoted(description(w.id)) + ",\"patience_ms\":" + std::to_string(ms(w.patience)) +
                  ",\"first_choice\":" + std::to_string(w.first_choice) +
                  (w.again ? ",\"again\":true}" : "}"));
  }
  std::string give_up(TryId id) override {
    return framed(R"({"type":"give-up","call":")" + id_text(id) + "\"}");
  }
  std::string release(TryId id) override {
    return framed(R"({"type":"release","call":")" + id_text(id) + "\"}");
  }

  bool read(std::string_view text, std::size_t& used, std::vector<Said>& said, std::string& reply) override {
    used = 0;
    if (!ready_) {
      const auto result = ws::read_accept(text, kKey, used);
      if (result == ws::Handshake::Result::more) return true;
      if (result == ws::Handshake::Result::rejected) {
        said.push_back({Said::What::unreadable, {}, "the WebSocket handshake was rejected", {}, false});
        return false;
      }
      ready_ = true;
    }
    for (;;) {
      std::size_t n = 0;
      const auto message = assembler_.next(text.substr(used), n);
      used += n;
      if (!message) {
        if (assembler_.fault() == 0) return true;
        said.push_back({Said::What::unreadable, {}, "no WebSocket frame", {}, false});
        return false;
      }
      if (message->kind == ws::Message::Kind::close) return false;
      if (message->kind == ws::Message::Kind::ping) reply += masked(ws::kOpPong, message->payload);
      if (message->kind == ws::Message::Kind::text) take(message->payload, said);
    }
  }

 private:
  static constexpr const char* kKey = "cmVlbHRhY2sgbG9hZCAxMg==";
  std::string masked(int opcode, std::string_view payload) {
    const std::uint64_t word = mix(++seed_);
    const std::string mask{static_cast<char>(word), static_cast<char>(word >> 8U),
                           static_cast<char>(word >> 16U), static_cast<char>(word >> 24U)};
    return ws::client_frame(opcode, payload, mask);
  }
  std::string framed(const std::string& text) { return masked(ws::kOpText, text); }
  static void take(const std::string& payload, std::vector<Said>& said) {
    const auto spoilt = [&](const char* what) {
      said.push_back(
          {Said::What::unreadable, {}, std::string(what) + ": " + payload.substr(0, 80), {}, false});
    };
    base::Json json;
    try {
      json = base::Json::parse(payload);
    } catch (const base::JsonError&) {
      return spoilt("no JSON");
    }
    const auto text = [&json](const char* key) {
      const base::Json* field = json.find(key);
      const std::string* s = field == nullptr ? nullptr : field->string();
      return s == nullptr ? std::string() : *s;
    };
    const std::string type = text("type");
    if (type == "taken" || type == "status" || type == "level") return;
    const auto number = base::parse_hex16(text("call"));
    if (type == "error") {
      // What crossed the end of its call is no fault; the rest was ours or the target's.
      if (text("reason") != "unknown-call") spoilt("an error");
      return;
    }
    if (!number) return spoilt("a message without its call");
    const TryId id{*number};
    if (type == "released") {
      const base::Json* cause = json.find("cause");
      const auto value = cause == nullptr ? std::nullopt : cause->numeric();
      return said.push_back({Said::What::released, id, "", {}, value && *value != 16.0});
    }
    if (type != "answer") return spoilt("an unknown type");
    const std::string result = text("result");
    const base::Json* later = json.find("later_ms");
    const auto wait = later == nullptr ? std::nullopt : later->numeric();
    const auto span =
        std::chrono::milliseconds(static_cast<std::int64_t>(std::clamp(wait.value_or(0.0), 0.0, 3.6e6)));
    if (result == "stands") return said.push_back({Said::What::stands, id, text("description"), {}, false});
    if (result == "refused") return said.push_back({Said::What::refused, id, "", span, false});
    if (result == "failed" || result == "given-up")
      return said.push_back({Said::What::failed, id, "", span, false});
    spoilt("an unknown result");
  }
  const std::string host_;
  std::uint64_t seed_;
  bool ready_ = false;
  ws::Assembler assembler_;
};

}  // namespace

Target parse_target(const std::string& text) {
  const std::size_t colon = text.find(':');
  const std::string kind = text.substr(0, colon);
  const auto address =
      colon == std::string::npos ? std::nullopt : base::parse_address(text.substr(colon + 1));
  if ((kind != "sip" && kind != "ws") || !address)
    throw std::invalid_argument("a target must be sip:HOST:PORT or ws:HOST:PORT with an IPv4 address, not '" +
                                text + "'");
  if (address->host.rfind("127.", 0) != 0)
    throw std::invalid_argument(
        "a target must lie in 127.0.0.0/8: load goes to this machine alone, not to '" + text + "'");
  return {kind == "sip" ? Target::Kind::sip : Target::Kind::ws, *address};
}
std::string to_text(const Target& target) {
  return (target.kind == Target::Kind::sip ? "sip:" : "ws:") + base::to_text(target.address);
}
std::unique_ptr<Wire> make_wire(const Target& target, std::uint64_t seed) {
  if (target.kind == Target::Kind::sip) return std::make_unique<SipWire>();
  return std::make_unique<WsWire>(target, seed);
}

}  // namespace reeltack::load
