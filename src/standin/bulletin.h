// The stand-in bulletin of docs: numbered events from 1, each told whole to whoever follows, an empty frame
// each second.
//
// Owns: its listener, its followers, and every event so far.
// Must never: know a centrale beyond what it is told to publish.
//
// Lives on the thread of its io_context. Errors: std::runtime_error from the constructor where the address is
// taken.
#pragma once

#include <array>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "base/asio.h"
#include "base/base.h"

namespace reeltack::standin {

class Bulletin {
 public:
  struct Entry {
    std::uint32_t id = 0;
    base::Address at;
    int state = 0;  // 0 ready, 1 draining, 2 gone
    std::uint32_t place = 0;
    double capacity = 1.0;
    std::uint64_t started_ms = 0;
  };
  Bulletin(boost::asio::io_context& io, const base::Address& at);
  // An event to all: the whole list, or what has changed in it.
  void publish(bool whole, const std::vector<Entry>& entries);
  // As if the process began anew: it has told nothing, and nobody follows yet.
  void restart();

 private:
  struct Follower;
  void accept();
  void feed(const std::shared_ptr<Follower>& f);
  void drop(const std::shared_ptr<Follower>& f);
  void heartbeat();
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer beat_;
  std::vector<std::string> events_;
  std::list<std::shared_ptr<Follower>> followers_;
};

}  // namespace reeltack::standin
