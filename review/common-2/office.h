// An office of the platform: JSON lines over TCP, as the protocol page says.
#pragma once

#include "net.h"

namespace kit {

inline std::string field(const std::string& json, const std::string& key) {
  const std::size_t at = json.find("\"" + key + "\"");
  if (at == std::string::npos) return "";
  std::size_t from = json.find(':', at + key.size() + 2);
  if (from == std::string::npos) return "";
  ++from;
  while (from < json.size() && json[from] == ' ') ++from;
  if (from < json.size() && json[from] == '"') {
    std::string out;
    for (++from; from < json.size() && json[from] != '"'; ++from) {
      if (json[from] == '\\' && from + 1 < json.size()) out += json[from++];
      out += json[from];
    }
    return out;  // with its escapes
  }
  const std::size_t end = json.find_first_of(",}", from);
  return json.substr(from, end - from);
}

// Answers each set-up at once, holds the call until end() or until it is released, and sends what concerns a
// call on the connection of its set-up, otherwise on any open one, otherwise on the next one that is opened.
class Office {
 public:
  // At one port of 127.0.0.FIRST and the addresses after it, one for each session controller, by which the
  // office knows whose connection it is: on loopback all come from one address. Port 0: any.
  Office(Loop& loop, Record& record, std::string name, std::uint16_t port, int first = 1, int controllers = 1)
      : loop_(loop), record_(record), name_(std::move(name)), first_(first), doors_(controllers) {
    for (;;) {
      try {
        port_ = port != 0 ? port : free_port();
        listen();
        return;
      } catch (const CannotRun&) {
        unlisten();
        if (port != 0) throw;
      }
    }
  }
  ~Office() { stop(); }
  std::uint16_t port() const { return port_; }
  std::size_t connections() const {
    return static_cast<std::size_t>(
        std::count_if(conns_.begin(), conns_.end(), [](const auto& c) { return c.first->open(); }));
  }
  struct Call {
    std::weak_ptr<Conn> conn;
    int door = 0;  // of the session controller that set it up
    bool stands = false;
    int set_ups = 0;
    std::optional<double> released_at;  // by the session controller
    std::optional<double> ended_at;     // here
    bool told = false;                  // the end was written
    bool again = false;                 // and is written once more on the next connection that is opened
  };
  std::map<std::string, Call> calls;
  double length_ms = 0.0;  // of a call, from its answer to its end; 0: until end()
  // The call has come to its end here: the release goes to the session controller.
  void end(const std::string& id) {
    Call& call = calls[id];
    call.stands = false;
    call.ended_at = now_ms();
    record_.line("office %s: call %s has come to its end", name_.c_str(), id.c_str());
    tell_end(id);
  }
  // The connection of this call is cut off: it stays open and quiet, and nothing passes on it any more.
  void cut_off_connection_of(const std::string& id) {
    if (const ConnPtr conn = calls[id].conn.lock()) conn->silent = true;
  }
  // The office accepts so many connections: at the limit a further one is refused.
  void accept_at_most(std::size_t limit) { limit_ = limit; }
  // The process ends: its connections are reset or closed and its calls are cut.
  void stop() {
    limit_ = 0;
    unlisten();
    for (const auto& c : conns_) c.first->close();
    conns_.clear();
  }

 private:
  void listen() {
    for (int door = 0; door < doors_; ++door) {
      listeners_.push_back(listen_at(port_, first_ + door));
      loop_.listen(listeners_.back(), [this, door](ConnPtr conn) { accepted(std::move(conn), door); });
    }
  }
  void unlisten() {
    for (const int fd : listeners_) loop_.unlisten(fd);
    listeners_.clear();
  }
  void accepted(ConnPtr conn, int door) {
    record_.line("office %s: a connection of controller %d has come up", name_.c_str(), door);
    conns_.emplace_back(conn, door);
    if (connections() >= limit_) {
      unlisten();
      record_.line("office %s holds every connection that it accepts", name_.c_str());
    }
    const std::weak_ptr<Conn> weak = conn;
    conn->send("{\"verb\":\"LOAD\",\"opts\":{\"load\":\"x0:100;x1:100\"}}\n");
    for (auto& [id, call] : calls) {
      if (call.door != door || !call.ended_at || (call.told && !call.again)) continue;
      call.again = !call.told;
      call.told = conn->send(finish(id));
      record_.line("office %s sends FINISH %s, cause 16, on the new connection", name_.c_str(), id.c_str());
    }
    conn->on_input = [this, weak, door] {
      const ConnPtr from = weak.lock();
      for (std::size_t end = from->in.find('\n'); end != std::string::npos; end = from->in.find('\n')) {
        const std::string text = from->in.substr(0, end);
        from->in.erase(0, end + 1);
        heard(from, door, text);
      }
    };
    conn->on_end = [this, weak, door] {
      record_.line("office %s: a connection was ended by controller %d", name_.c_str(), door);
      if (const ConnPtr ended = weak.lock()) ended->close();
      if (listeners_.empty() && connections() < limit_) listen();
    };
  }
  static std::string finish(const std::string& id) {
    return "{\"verb\":\"FINISH\",\"tag\":\"" + id + "\",\"opts\":{},\"rc\":16}\n";
  }
  void tell_end(const std::string& id) {
    Call& call = calls[id];
    std::vector<ConnPtr> to;
    if (const ConnPtr own = call.conn.lock(); own && own->open()) to.push_back(own);
    for (const auto& [c, door] : conns_)
      if (door == call.door) to.push_back(c);
    for (const ConnPtr& c : to) {
      if (!c->send(finish(id))) continue;
      call.told = call.again = true;
      record_.line("office %s sends FINISH %s, cause 16", name_.c_str(), id.c_str());
      return;
    }
    record_.line("office %s has no open connection: the release of %s waits for the next one", name_.c_str(),
                 id.c_str());
  }
  void heard(const ConnPtr& from, int door, const std::string& text) {
    const std::string verb = field(text, "verb");
    const std::string id = field(text, "tag");
    if (verb == "START") {
      record_.line("office %s: START %s", name_.c_str(), id.c_str());
      Call& call = calls[id];
      ++call.set_ups;
      call.conn = from;
      call.door = door;
      call.stands = true;
      call.ended_at.reset();
      from->send("{\"verb\":\"STARTED\",\"tag\":\"" + id + "\",\"opts\":{},\"blob\":\"" + name_ +
                 " answers " + id + "\"}\n");
      record_.line("office %s sends STARTED %s", name_.c_str(), id.c_str());
      if (length_ms > 0.0)
        loop_.after(length_ms, [this, id] {
          if (calls[id].stands) end(id);
        });
    } else if (verb == "FINISH") {
      record_.line("office %s: FINISH %s, cause %s", name_.c_str(), id.c_str(), field(text, "rc").c_str());
      if (!calls.contains(id)) return;
      Call& call = calls[id];
      call.stands = false;
      if (!call.released_at) call.released_at = now_ms();
    }
  }
  Loop& loop_;
  Record& record_;
  const std::string name_;
  const int first_, doors_;
  std::vector<int> listeners_;
  std::uint16_t port_ = 0;
  std::size_t limit_ = 1000;
  std::vector<std::pair<ConnPtr, int>> conns_;  // and whose they are
};

}  // namespace kit
