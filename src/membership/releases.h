// Releases that were sent on a connection and may not have been read: what goes again once it has ended.
//
// Owns: per connection, which releases were sent, and since when; when one counts as read.
// Must never: do I/O, read a clock, hold a call, or choose the connection on which one goes again.
//
// A release is told once and has no answer that must come, and TCP tells nobody what the far end has read:
// one that crosses the end of its connection, or went on one that had been cut off, is lost without a word.
// Said twice it does no harm: whoever has read it knows no such call any more.
//
// Threads: none; whoever owns it calls it under its own lock. Times are absolute and told. Equal inputs give
// equal outputs. Bounded: of more than `most`, the oldest is forgotten.
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "reeltack/controller.h"

namespace reeltack::membership {

struct PendingReleasesSettings {
  // What was sent so long before a word of the far end was there before that word was said.
  Duration crossing = std::chrono::seconds(1);
  // Without any word: so old it counts as read. Max: never, for a far end that may be cut off.
  Duration settled = Duration::max();
  std::size_t most = 1024;
};

class Releases {
 public:
  explicit Releases(PendingReleasesSettings settings = {}) : settings_(settings) {}

  void sent(CallId call, std::string text, Time at);
  // The far end has said that it heard this one, or it must not go again. False: none was pending.
  bool heard(CallId call);
  void spoke(Time at);  // the far end has said anything
  // The connection has ended: those to be sent again, in their order. It begins anew.
  [[nodiscard]] std::vector<std::pair<CallId, std::string>> ended(Time at);
  // The same where the far end did not read: however old, all go again.
  [[nodiscard]] std::vector<std::pair<CallId, std::string>> unread();
  void forget() { sent_.clear(); }  // whoever was told is gone, and its calls with it
  [[nodiscard]] std::size_t size() const { return sent_.size(); }

 private:
  struct One {
    CallId call{};
    std::string text;
    Time at{};
  };
  PendingReleasesSettings settings_;
  std::deque<One> sent_;  // by time
};

}  // namespace reeltack::membership
