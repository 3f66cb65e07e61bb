// The link of a fake endpoint that accepts the platform's JSON lines.
#include <map>
#include <utility>
#include <vector>

#include "standin/json_text.h"
#include "standin/link.h"
#include "standin/pipe.h"
#include "standin/sockets.h"

namespace reeltack::standin {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// Listens, as an endpoint does for the platform's JSON lines.
class LineLink final : public Link {
 public:
  LineLink(asio::io_context& io, const base::Address& at, Notify notify,
           std::function<std::string()> greeting)
      : acceptor_(io), notify_(std::move(notify)), greeting_(std::move(greeting)) {
    listen(acceptor_, at);
    accept();
  }
  ~LineLink() override { die(); }

  void started(std::uint64_t from, std::uint64_t call, const std::string& description) override {
    send(from, R"({"verb":"STARTED","tag":")" + base::hex16(call) + R"(","opts":{},"blob":)" +
                   base::quoted(description) + "}\n");
  }
  void ended(std::uint64_t from, std::uint64_t call, int cause, const char* note) override {
    send(from, R"({"verb":"FINISH","tag":")" + base::hex16(call) + R"(","opts":{)" +
                   (*note == 0 ? std::string() : R"("note":")" + std::string(note) + "\"") + R"(},"rc":)" +
                   std::to_string(cause) + "}\n");
  }
  void load(std::uint32_t free, std::uint32_t lines, double util, std::size_t queue) override {
    const std::string line =
        R"({"verb":"LOAD","tag":"","opts":{"load":")" + load_figures(free, lines, util, queue) + "\"}}\n";
    for (auto& [id, pipe] : pipes_) pipe->write(line);
  }
  void hold(bool silent) override {
    silent_ = silent;
    for (auto& [id, pipe] : pipes_) pipe->hold(silent);
  }
  void die() override {
    *alive_ = false;
    error_code ignored;
    acceptor_.close(ignored);
    for (auto& [id, pipe] : pipes_) pipe->reset();
    pipes_.clear();
    alive_ = std::make_shared<bool>(true);
  }

 private:
  void accept() {
    acceptor_.async_accept([this, alive = alive_](const error_code& error, tcp::socket socket) {
      if (!*alive || error) return;
      auto pipe = std::make_shared<Pipe>(std::move(socket), ++ids_);
      pipes_[pipe->id()] = pipe;
      pipe->write(greeting_());
      for (const std::string& line : pending_) pipe->write(line);
      pending_.clear();
      const std::uint64_t id = pipe->id();
      pipe->begin(
          [this, alive, id](std::string_view text, std::optional<Time> arrived) {
            return *alive ? take(text, arrived, id) : Pipe::kBroken;
          },
          [this, alive, id] {
            if (!*alive) return;
            pipes_.erase(id);
            notify_({.what = Heard::What::lost, .from = id});
          });
      if (silent_) pipe->hold(true);
      accept();
    });
  }
  std::size_t take(std::string_view text, std::optional<Time> arrived, std::uint64_t from) {
    std::size_t used = 0;
    for (std::size_t end = 0; (end = text.find('\n', used)) != std::string_view::npos; used = end + 1) {
      base::Json line;
      try {
        line = base::Json::parse(text.substr(used, end - used));
      } catch (const base::JsonError&) {
        return Pipe::kBroken;
      }
      const bool last = end + 1 == text.size();
      const auto call = base::parse_hex16(text_of(line, "tag"));
      const std::string verb = text_of(line, "verb");
      if (!call) continue;
      if (verb == "START") {
        const base::Json* opts = line.find("opts");
        const auto number = opts == nullptr ? std::nullopt : base::parse_hex16(text_of(*opts, "key"));
        notify_({Heard::What::set_up, *call, number.value_or(0), from, arrived, last});
      } else if (verb == "FINISH") {
        notify_({Heard::What::give_up_or_release, *call, 0, from, arrived, last});
      }
    }
    return used;
  }
  void send(std::uint64_t to, std::string line) {
    auto found = pipes_.find(to);
    if (found == pipes_.end()) found = pipes_.begin();
    if (found == pipes_.end()) return pending_.push_back(std::move(line));
    found->second->write(line);
  }
  tcp::acceptor acceptor_;
  const Notify notify_;
  const std::function<std::string()> greeting_;
  std::map<std::uint64_t, std::shared_ptr<Pipe>> pipes_;
  std::vector<std::string> pending_;
  std::uint64_t ids_ = 0;
  bool silent_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace

std::unique_ptr<Link> listen_lines(asio::io_context& io, const base::Address& at, Link::Notify notify,
                                   std::function<std::string()> greeting) {
  return std::make_unique<LineLink>(io, at, std::move(notify), std::move(greeting));
}

}  // namespace reeltack::standin
