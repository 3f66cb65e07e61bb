// The bulletin: events, frames, and the same events as a configuration holds them.
#pragma once

#include "net.h"

namespace kit {

struct Entry {
  std::uint32_t id = 0;
  std::uint16_t port = 0;
  int state = 0;  // 0 ready, 1 draining, 2 gone
  std::uint16_t cell = 0;
  std::uint64_t started = 0;
  int last = 1;  // at 127.0.0.LAST
};
inline std::string known_entry(const Entry& e) {
  char name[16];
  std::snprintf(name, sizeof name, "s-%08x", e.id);
  static const char* const kStates[] = {"in_service", "terminating", "terminated"};
  return "{\"name\":\"" + std::string(name) + "\",\"address\":\"127.0.0." + std::to_string(e.last) + ":" +
         std::to_string(e.port) +
         "\",\"zone\":\"montevideo\",\"type\":\"nodo-1c\",\"group\":" + std::to_string(e.cell) +
         ",\"status\":\"" + kStates[e.state] + "\",\"weight\":1,\"since_ms\":" + std::to_string(e.started) +
         "}";
}

class Bulletin {
 public:
  Bulletin(Loop& loop, Record& record) : loop_(loop), record_(record) {
    listener_ = listen_at(free_port());
    port_ = port_of(listener_);
    loop_.listen(listener_, [this](ConnPtr conn) { accepted(std::move(conn)); });
    beat();
  }
  std::uint16_t port() const { return port_; }
  void publish(const std::vector<Entry>& entries) {
    events_.push_back(entries);
    record_.line("bulletin: event %zu", events_.size());
    for (auto& [conn, greeted] : conns_)
      if (greeted) send_from(*conn, events_.size() - 1);
  }
  // The events for a session controller that starts now: counted from 1, the first holds the whole list.
  void replace(const std::vector<Entry>& whole) { events_ = {whole}; }
  // Discovery is down: the connections end and no new one comes up.
  void down() {
    loop_.unlisten(listener_);
    for (auto& [conn, greeted] : conns_) conn->close();
    conns_.clear();
    record_.line("bulletin: down");
  }
  // What the configuration holds under `known`: the same events.
  std::string known() const {
    std::string items;
    for (std::size_t i = 0; i < events_.size(); ++i) {
      std::string entries;
      for (const Entry& e : events_[i]) entries += (entries.empty() ? "" : ",") + known_entry(e);
      items += (i > 0 ? "," : "") + std::string("{\"no\":") + std::to_string(i + 1) +
               ",\"roster\":{\"index\":" + std::to_string(i + 1) +
               ",\"snapshot\":" + (i == 0 ? "true" : "false") + ",\"endpoints\":[" + entries + "]}}";
    }
    return "\"known\":{\"no\":" + std::to_string(events_.size()) + ",\"items\":[" + items + "]},\n";
  }

 private:
  static void big(std::string& out, std::uint64_t n, int bytes) {
    for (int i = bytes - 1; i >= 0; --i) out += static_cast<char>(n >> (8 * i));
  }
  void accepted(ConnPtr conn) {
    conns_.emplace_back(conn, false);
    const std::weak_ptr<Conn> weak = conn;
    conn->on_input = [this, weak] {
      const ConnPtr from = weak.lock();
      if (from->in.size() < 8) return;
      std::uint64_t last = 0;
      for (int i = 0; i < 8; ++i) last = last << 8 | static_cast<unsigned char>(from->in[i]);
      from->in.clear();
      record_.line("bulletin: a session controller has event %llu", static_cast<unsigned long long>(last));
      for (auto& [c, greeted] : conns_)
        if (c == from) greeted = true;
      send_from(*from, last);
    };
  }
  void send_from(Conn& to, std::size_t after) {
    for (std::size_t i = after; i < events_.size(); ++i) {
      std::string payload;
      for (const Entry& e : events_[i]) {
        big(payload, e.id, 4);
        big(payload, 0x7f000000U + static_cast<unsigned>(e.last), 4);
        big(payload, e.port, 2);
        big(payload, static_cast<std::uint64_t>(e.state), 1);
        big(payload, 0, 1);
        big(payload, 0, 1);
        big(payload, e.cell, 2);
        big(payload, 1000, 4);
        big(payload, e.started, 8);
      }
      std::string frame;
      big(frame, 9 + payload.size(), 4);
      big(frame, i + 1, 8);
      big(frame, i == 0 ? 1 : 2, 1);
      to.send(frame + payload);
    }
  }
  void beat() {
    std::string frame;
    big(frame, 9, 4);
    big(frame, events_.size(), 8);
    big(frame, 0, 1);
    for (auto& [conn, greeted] : conns_)
      if (greeted) conn->send(frame);
    loop_.after(1000, [this] { beat(); });
  }
  Loop& loop_;
  Record& record_;
  int listener_ = -1;
  std::uint16_t port_ = 0;
  std::vector<std::vector<Entry>> events_;
  std::vector<std::pair<ConnPtr, bool>> conns_;
};

}  // namespace kit
