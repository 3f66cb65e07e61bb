// What the relay does later: one timer for all that waits, in order of time and of being told.
//
// Owns: the steady clock of the relay and what is due when.
// Must never: run anything before its time, or two in another order than their times.
//
// Threads: the io_context's alone.
#pragma once

#include <functional>
#include <map>

#include "base/asio.h"
#include "base/base.h"
#include "reeltack/controller.h"

namespace reeltack::standin {

class Later {
 public:
  explicit Later(boost::asio::io_context& io) : timer_(io) {}

  static Time now() { return base::now(); }
  void at(Time due, std::function<void()> what) {
    const auto placed = waiting_.emplace(due, std::move(what));
    if (placed == waiting_.begin()) arm();
  }

 private:
  void arm() {
    if (waiting_.empty()) return;
    timer_.expires_at(base::to_steady(waiting_.begin()->first));
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) run();
    });
  }
  void run() {
    const Time now = Later::now();
    while (!waiting_.empty() && waiting_.begin()->first <= now) {
      const auto what = std::move(waiting_.begin()->second);
      waiting_.erase(waiting_.begin());
      what();
    }
    arm();
  }
  boost::asio::steady_timer timer_;
  std::multimap<Time, std::function<void()>> waiting_;
};

}  // namespace reeltack::standin
