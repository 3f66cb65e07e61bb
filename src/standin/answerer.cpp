#include "standin/answerer.h"

#include <map>
#include <optional>
#include <thread>
#include <utility>

#include "base/asio.h"
#include "base/json.h"
#include "load/plan/description.h"
#include "platform/sip.h"
#include "standin/json_text.h"
#include "standin/pipe.h"
#include "standin/sockets.h"
#include "ws/frames.h"

namespace reeltack::standin {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;

class Answerer::World {
 public:
  explicit World(const AnswererSettings& s) : settings_(s), acceptor_(io_) {
    listen(acceptor_, s.at);
    accept();
    thread_ = std::thread([this] { io_.run(); });
  }
  ~World() {
    asio::post(io_, [this] { io_.stop(); });
    thread_.join();
  }
  void start_script() {
    asio::post(io_, [this] {
      const auto at = [this](Duration when, std::function<void()> task) {
        if (when > Duration{}) later(io_, when, std::move(task));
      };
      // It stands still as a process that is stopped does: the whole thread, sockets and all.
      if (settings_.pause_for > Duration{})
        at(settings_.pause_at, [this] { std::this_thread::sleep_for(settings_.pause_for); });
      at(settings_.silent_from, [this] { silent_ = true; });
      at(settings_.deaf_from, [this] {
        deaf_ = true;
        for (const auto& [id, c] : connections_) c.pipe->stop_reading();
      });
      at(settings_.reset_at, [this] {
        for (const auto& [id, c] : connections_) c.pipe->reset();
        connections_.clear();
      });
    });
  }
  std::atomic<std::uint64_t> set_ups{0}, given_up{0}, released{0};

 private:
  struct Connection {
    std::shared_ptr<Pipe> pipe;
    std::string out;  // answers to what is being taken
    bool shaken = false;
    ws::Assembler assembler;
  };

  void accept() {
    acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
      if (error) return;
      begin(std::make_shared<Pipe>(std::move(socket), ++ids_));
      accept();
    });
  }
  void begin(const std::shared_ptr<Pipe>& pipe) {
    const std::uint64_t id = pipe->id();
    connections_[id].pipe = pipe;
    if (deaf_) pipe->stop_reading();
    pipe->begin([this, id](std::string_view text, std::optional<Time> /*arrived*/) { return take(id, text); },
                [this, id] { connections_.erase(id); });
  }
  std::size_t take(std::uint64_t id, std::string_view text) {
    const auto found = connections_.find(id);
    if (found == connections_.end()) return Pipe::kBroken;
    Connection& c = found->second;
    const std::size_t used = settings_.websocket ? take_ws(c, text) : take_sip(c, text);
    if (used != Pipe::kBroken && !c.out.empty()) c.pipe->write(std::exchange(c.out, {}));
    return used;
  }
  // What to do with a set-up: how many answers, and of which kind.
  struct Verdict {
    bool refuse = false;
    bool twice = false;
    bool stray = false;
    bool garbage = false;
    std::string description;
  };
  Verdict judge(std::uint64_t call, std::uint64_t number) {
    const std::uint64_t n = ++set_ups;
    const auto every = [n](int of) { return of > 0 && n % static_cast<std::uint64_t>(of) == 0; };
    Verdict out;
    out.refuse = settings_.refuse_first > 0 && ++refusals_[number] <= settings_.refuse_first;
    out.twice = every(settings_.twice_every);
    out.stray = every(settings_.stray_every);
    out.garbage = settings_.garbage_after > 0 && n == static_cast<std::uint64_t>(settings_.garbage_after);
    out.description =
        every(settings_.foreign_every) ? "o=nobody" : load::endpoint_description(call, "s-00000001", number);
    return out;
  }
  static std::string sip(int status, const std::string& echoed, const std::string& more,
                         const std::string& body) {
    return "SIP/2.0 " + std::to_string(status) + " -\r\n" + echoed + more +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  std::size_t take_sip(Connection& c, std::string_view text) {
    std::size_t used = 0;
    for (;;) {
      platform::SipMessage m;
      std::size_t n = 0;
      const auto parsed = platform::parse_sip(text.substr(used), m, n);
      used += n;
      if (parsed == platform::ParseResult::malformed) return Pipe::kBroken;
      if (parsed == platform::ParseResult::more) return used;
      if (m.method.empty() || m.method == "ACK") continue;
      const std::string* id = m.header("Call-ID");
      const auto call = id == nullptr ? std::nullopt : base::parse_hex16(*id);
      if (m.method == "CANCEL") ++given_up;
      if (m.method == "BYE") ++released;
      if (m.method == "INVITE") {
        const auto number = base::parse_hex16(std::string_view(m.uri).substr(4, 16));
        const Verdict v = judge(call.value_or(0), number.value_or(0));
        if (silent_) continue;
        if (v.garbage) c.out += "no SIP at all\r\n\r\n";
        const std::string later = settings_.refuse_later_ms > 0
                                      ? "X-Later-Ms: " + std::to_string(settings_.refuse_later_ms) + "\r\n"
                                      : "";
        c.out += v.refuse ? sip(503, m.echoed(), later, "") : sip(200, m.echoed(), "", v.description);
        if (v.twice) c.out += sip(200, m.echoed(), "", v.description);
        if (v.stray) c.out += sip(200, "Call-ID: 00000000000000ff\r\nCSeq: 1 INVITE\r\n", "", v.description);
        continue;
      }
      if (!silent_) c.out += sip(200, m.echoed(), "", "");
    }
  }
  std::size_t take_ws(Connection& c, std::string_view text) {
    std::size_t used = 0;
    if (!c.shaken) {
      const ws::Handshake h = ws::read_handshake(text, {"/calls"}, {});
      c.out += h.answer;
      if (h.result == ws::Handshake::Result::more) return 0;
      if (h.result == ws::Handshake::Result::rejected) return Pipe::kBroken;
      c.shaken = true;
      used = h.used;
    }
    for (;;) {
      std::size_t n = 0;
      const auto message = c.assembler.next(text.substr(used), n);
      used += n;
      if (!message) return c.assembler.fault() == 0 ? used : Pipe::kBroken;
      if (message->kind == ws::Message::Kind::close) return Pipe::kBroken;
      if (message->kind == ws::Message::Kind::text) hear(c, base::Json::parse(message->payload));
    }
  }
  void hear(Connection& c, const base::Json& json) {
    const auto text = [&json](const char* key) { return text_of(json, key); };
    const std::string type = text("type");
    if (type == "give-up") ++given_up;
    if (type == "release") ++released;
    if (type != "set-up") return;
    const std::string call = text("call");
    const Verdict v =
        judge(base::parse_hex16(call).value_or(0), base::parse_hex16(text("number")).value_or(0));
    if (silent_) return;
    if (v.garbage) c.out += ws::text_frame("{");
    const std::string answer = v.refuse ? R"({"type":"answer","call":")" + call +
                                              R"(","result":"refused","reason":"overload","later_ms":)" +
                                              std::to_string(settings_.refuse_later_ms) + "}"
                                        : R"({"type":"answer","call":")" + call +
                                              R"(","result":"stands","description":)" +
                                              base::quoted(v.description) + "}";
    for (int i = 0; i < (v.twice ? 2 : 1); ++i) c.out += ws::text_frame(answer);
    if (v.stray) c.out += ws::text_frame(R"({"type":"answer","call":"00000000000000ff","result":"failed"})");
  }

  const AnswererSettings settings_;
  asio::io_context io_{1};
  tcp::acceptor acceptor_;
  std::map<std::uint64_t, Connection> connections_;
  std::uint64_t ids_ = 0;
  std::map<std::uint64_t, int> refusals_;
  bool silent_ = false;
  bool deaf_ = false;
  std::thread thread_;
};

Answerer::Answerer(const AnswererSettings& settings) : world_(std::make_unique<World>(settings)) {}
Answerer::~Answerer() = default;
void Answerer::start_script() { world_->start_script(); }
std::uint64_t Answerer::set_ups() const { return world_->set_ups; }
std::uint64_t Answerer::given_up() const { return world_->given_up; }
std::uint64_t Answerer::released() const { return world_->released; }

}  // namespace reeltack::standin
