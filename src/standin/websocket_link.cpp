// The link of a fake endpoint that registers with call control, over WebSocket (RFC 6455).
#include <utility>
#include <vector>

#include "standin/json_text.h"
#include "standin/link.h"
#include "standin/pipe.h"
#include "standin/sockets.h"
#include "ws/frames.h"

namespace reeltack::standin {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// Connects to the controller and registers there, again as often as the connection ends.
class WebSocketLink final : public Link {
 public:
  WebSocketLink(asio::io_context& io, const CentraleSettings& c, Notify notify)
      : io_(io), settings_(c), notify_(std::move(notify)), timer_(io) {
    connect();
  }
  ~WebSocketLink() override { die(); }  // NOLINT(bugprone-exception-escape): memory alone can fail

  void started(std::uint64_t /*from*/, std::uint64_t call, const std::string& description) override {
    send(R"({"type":"started","call":")" + base::hex16(call) + R"(","description":)" +
         base::quoted(description) + "}");
  }
  void ended(std::uint64_t /*from*/, std::uint64_t call, int cause, const char* note) override {
    send(R"({"type":"ended","call":")" + base::hex16(call) + R"(","cause":)" + std::to_string(cause) +
         (*note == 0 ? std::string("}") : R"(,"note":")" + std::string(note) + "\"}"));
  }
  void load(std::uint32_t free, std::uint32_t lines, double /*util*/, std::size_t /*queue*/) override {
    last_load_ = R"({"type":"load","load":{"free":)" + std::to_string(free) +
                 ",\"lines\":" + std::to_string(lines) + "}}";
    if (ready_) send(last_load_);
  }
  void hold(bool silent) override {
    if (pipe_) pipe_->hold(silent);
  }
  void die() override {
    *alive_ = false;
    error_code ignored;
    timer_.cancel(ignored);
    if (pipe_) pipe_->reset();
    pipe_.reset();
    alive_ = std::make_shared<bool>(true);
  }

 private:
  static constexpr Duration kRetryAfter = std::chrono::milliseconds(100);
  static constexpr const char* kKey = "cmVlbHRhY2sgc3RhbmRpbg==";
  void connect() {
    auto socket = std::make_shared<tcp::socket>(io_);
    socket->async_connect(endpoint(settings_.at), [this, alive = alive_, socket](const error_code& error) {
      if (!*alive) return;
      if (error) return retry();
      assembler_ = ws::Assembler(ws::Assembler::Peer::server);
      accepted_ = ready_ = false;
      pipe_ = std::make_shared<Pipe>(std::move(*socket), ++ids_);
      pipe_->write(ws::client_handshake(base::to_text(settings_.at), "/centrales", kKey));
      pipe_->begin(
          [this, alive](std::string_view text, std::optional<Time> arrived) {
            return *alive ? take(text, arrived) : Pipe::kBroken;
          },
          [this, alive, id = pipe_->id()] {
            if (!*alive) return;
            pipe_.reset();
            ready_ = false;
            notify_({.what = Heard::What::lost, .from = id});
            retry();
          });
    });
  }
  void retry() {
    timer_.expires_after(kRetryAfter);
    timer_.async_wait([this, alive = alive_](const error_code& error) {
      if (!error && *alive) connect();
    });
  }
  std::size_t take(std::string_view text, std::optional<Time> arrived) {
    std::size_t used = 0;
    if (!accepted_) {
      const auto result = ws::read_accept(text, kKey, used);
      if (result == ws::Handshake::Result::rejected) return Pipe::kBroken;
      if (result == ws::Handshake::Result::more) return 0;
      accepted_ = true;
      write(R"({"type":"register","centrale":")" + base::office_name(ServerId{settings_.id}) +
            R"(","place":)" + std::to_string(settings_.place) + "}");
    }
    for (;;) {
      std::size_t n = 0;
      const auto message = assembler_.next(text.substr(used), n);
      used += n;
      if (!message) return assembler_.fault() == 0 ? used : Pipe::kBroken;
      if (message->kind == ws::Message::Kind::close) return Pipe::kBroken;
      if (message->kind == ws::Message::Kind::ping)
        pipe_->write(ws::client_frame(ws::kOpPong, message->payload, "mask"));
      if (message->kind == ws::Message::Kind::text) hear(message->payload, arrived, used == text.size());
    }
  }
  void hear(const std::string& payload, std::optional<Time> arrived, bool last) {
    base::Json json;
    try {
      json = base::Json::parse(payload);
    } catch (const base::JsonError&) {
      return;
    }
    const std::string type = text_of(json, "type");
    if (type == "registered") {
      ready_ = true;
      if (!last_load_.empty()) write(last_load_);
      for (const std::string& text : pending_) write(text);
      pending_.clear();
    }
    const auto call = base::parse_hex16(text_of(json, "call"));
    if (!call) return;
    if (type == "set-up")
      notify_({Heard::What::set_up, *call, base::parse_hex16(text_of(json, "number")).value_or(0),
               pipe_->id(), arrived, last});
    if (type == "give-up" || type == "release")
      notify_({Heard::What::give_up_or_release, *call, 0, pipe_->id(), arrived, last});
  }
  void send(std::string text) {
    if (!ready_) return pending_.push_back(std::move(text));
    write(text);
  }
  void write(const std::string& text) { pipe_->write(ws::client_frame(ws::kOpText, text, "mask")); }
  asio::io_context& io_;
  const CentraleSettings settings_;
  const Notify notify_;
  asio::steady_timer timer_;
  std::shared_ptr<Pipe> pipe_;
  ws::Assembler assembler_;
  bool accepted_ = false;
  bool ready_ = false;
  std::string last_load_;
  std::vector<std::string> pending_;
  std::uint64_t ids_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace

std::unique_ptr<Link> connect_websocket(asio::io_context& io, const CentraleSettings& endpoint,
                                        Link::Notify notify) {
  return std::make_unique<WebSocketLink>(io, endpoint, std::move(notify));
}

}  // namespace reeltack::standin
