#include "standin/answerer.h"

#include <map>
#include <set>
#include <thread>

#include "base/asio.h"
#include "base/json.h"
#include "load/plan/description.h"
#include "platform/sip.h"
#include "ws/frames.h"

namespace reeltack::standin {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;

class Answerer::World {
 public:
  explicit World(const AnswererSettings& s) : settings_(s), acceptor_(io_) {
    const tcp::endpoint to(asio::ip::make_address(s.at.host), s.at.port);
    try {
      acceptor_.open(to.protocol());
      acceptor_.set_option(tcp::acceptor::reuse_address(true));
      acceptor_.bind(to);
      acceptor_.listen(4096);
    } catch (const boost::system::system_error& error) {
      throw std::runtime_error("cannot listen on " + base::to_text(s.at) + ": " + error.code().message());
    }
    accept();
    thread_ = std::thread([this] { io_.run(); });
  }
  ~World() {
    asio::post(io_, [this] { io_.stop(); });
    thread_.join();
  }
  void start_script() {
    asio::post(io_, [this] {
      const auto at = [this](Duration when, auto task) {
        if (when <= Duration{}) return;
        auto timer = std::make_shared<asio::steady_timer>(io_, when);
        timer->async_wait([timer, task](const error_code& error) {
          if (!error) task();
        });
      };
      // It stands still as a process that is stopped does: the whole thread, sockets and all.
      if (settings_.pause_for > Duration{})
        at(settings_.pause_at, [this] { std::this_thread::sleep_for(settings_.pause_for); });
      at(settings_.silent_from, [this] { silent_ = true; });
      at(settings_.deaf_from, [this] { deaf_ = true; });
      at(settings_.reset_at, [this] {
        for (const auto& c : std::set<std::shared_ptr<Connection>>(connections_)) c->reset();
        connections_.clear();
      });
    });
  }
  std::atomic<std::uint64_t> set_ups{0}, given_up{0}, released{0};

 private:
  struct Connection : std::enable_shared_from_this<Connection> {
    Connection(World& w, tcp::socket s) : world(w), socket(std::move(s)) {
      error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
    }
    void read() {
      if (world.deaf_) return;
      in.resize(held + 65536);
      socket.async_read_some(asio::buffer(in.data() + held, in.size() - held),
                             [self = shared_from_this()](const error_code& error, std::size_t n) {
                               if (error) return self->end();
                               self->held += n;
                               const std::size_t used =
                                   self->take(std::string_view(self->in).substr(0, self->held));
                               if (used == std::string_view::npos) return self->end();
                               self->in.erase(0, used);
                               self->held -= used;
                               self->flush();
                               self->read();
                             });
    }
    void flush() {
      if (!sending.empty() || out.empty()) return;
      sending.swap(out);
      asio::async_write(socket, asio::buffer(sending),
                        [self = shared_from_this()](const error_code& error, std::size_t) {
                          self->sending.clear();
                          if (!error) self->flush();
                        });
    }
    void end() {
      error_code ignored;
      socket.close(ignored);
      world.connections_.erase(shared_from_this());
    }
    void reset() {
      error_code ignored;
      socket.set_option(asio::socket_base::linger(true, 0), ignored);
      socket.close(ignored);
    }
    std::size_t take(std::string_view text) {
      if (!world.settings_.websocket) return world.take_sip(*this, text);
      return world.take_ws(*this, text);
    }
    World& world;
    tcp::socket socket;
    std::string in, out, sending;
    std::size_t held = 0;
    bool shaken = false;
    ws::Assembler assembler;
  };

  void accept() {
    acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
      if (error) return;
      auto c = std::make_shared<Connection>(*this, std::move(socket));
      connections_.insert(c);
      c->read();
      accept();
    });
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
      if (parsed == platform::Parsed::malformed) return std::string_view::npos;
      if (parsed == platform::Parsed::more) return used;
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
      if (h.result == ws::Handshake::Result::rejected) return std::string_view::npos;
      c.shaken = true;
      used = h.used;
    }
    for (;;) {
      std::size_t n = 0;
      const auto message = c.assembler.next(text.substr(used), n);
      used += n;
      if (!message) return c.assembler.fault() == 0 ? used : std::string_view::npos;
      if (message->kind == ws::Message::Kind::close) return std::string_view::npos;
      if (message->kind == ws::Message::Kind::text) hear(c, base::Json::parse(message->payload));
    }
  }
  void hear(Connection& c, const base::Json& json) {
    const auto text = [&json](const char* key) {
      const base::Json* field = json.find(key);
      return field == nullptr || field->string() == nullptr ? std::string() : *field->string();
    };
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
  std::set<std::shared_ptr<Connection>> connections_;
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
