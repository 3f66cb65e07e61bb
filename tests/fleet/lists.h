// Bulletins whose lists of offices a test sets by hand, served by a thread of their own. The lists may differ
// from each other and from the true state of the offices.
//
// The events of a list are numbered from 1. Thread-safe; an event has been published when its call returns.
#pragma once

#include <future>
#include <memory>
#include <thread>
#include <vector>

#include "standin/bulletin.h"

namespace reeltack::rig {

class Lists {
 public:
  using Entries = std::vector<standin::Bulletin::Entry>;
  explicit Lists(const std::vector<base::Address>& at) {
    for (const base::Address& a : at) lists_.push_back(std::make_unique<standin::Bulletin>(io_, a));
    thread_ = std::thread([this] { io_.run(); });
  }
  ~Lists() {
    boost::asio::post(io_, [this] { io_.stop(); });
    thread_.join();
  }
  Lists(const Lists&) = delete;
  Lists& operator=(const Lists&) = delete;

  // With `restarted` the bulletin restarts first, and this is its first event.
  void tell(std::size_t list, const Entries& offices, bool restarted = false) {
    std::promise<void> done;
    boost::asio::post(io_, [&] {
      if (restarted) lists_.at(list)->restart();
      lists_.at(list)->publish(true, offices);
      done.set_value();
    });
    done.get_future().wait();
  }

 private:
  boost::asio::io_context io_{1};
  std::vector<std::unique_ptr<standin::Bulletin>> lists_;
  std::thread thread_;
};

}  // namespace reeltack::rig
