// Whether one office can be reached, and what its silence means for the calls that stand there.
//
// Owns: what the list tells of it, what dialling and its connection have shown, and when to try or ask next.
// Must never: do I/O, read a clock, hold a call, or choose an office for one.
//
// Threads: none; whoever owns it calls it under its own lock. Times are absolute and told. Equal inputs give
// equal outputs. Nothing allocates.
#pragma once

#include <algorithm>
#include <optional>

#include "reeltack/controller.h"

namespace reeltack::membership {

struct ReachabilitySettings {
  Duration quiet = std::chrono::milliseconds(2500);  // without a word while calls stand: it is asked for
  Duration unheard = std::chrono::seconds(1);        // without a word since a set-up left: the same
  Duration look =
      std::chrono::milliseconds(250);  // until it is asked again, or dialled again after a failure
  Duration again = std::chrono::milliseconds(20);   // after a connection that had come up has ended
  Duration lost = std::chrono::milliseconds(5500);  // without a word or a new connection: the machine is gone
};

class Reachability {
 public:
  enum class Dialled { up, refused, failed };
  explicit Reachability(ReachabilitySettings settings = {}) : settings_(settings) {}

  // The list. True: the process that an open connection leads to is told as gone or as another.
  bool told(const ServerEntry& entry);
  void keep(bool calls_established) { calls_stand_ = calls_established; }

  // What was dialled without a connection: true where calls that stand there are over, for the process has
  // died, or nothing was heard and nothing came up for too long.
  bool failed(Dialled how, Time at);
  // This host had no room to dial it: nothing is known of the office, and its silence is no evidence either
  // until it could be dialled for as long as usual.
  void no_room(Time at);
  void up(Time at);
  void ended(Time at);  // the connection
  void heard(Time at);  // a word on it
  bool left(Time at);   // a set-up; true: from now on an answer is waited for
  // What came of asking, by a second connection beside a quiet one.
  enum class Asked { wait, replaced, drop, lost };
  Asked asked(Dialled how, Time at);

  [[nodiscard]] bool ready() const { return ready_; }
  [[nodiscard]] bool gone() const { return gone_; }
  // When a connection is to be dialled; Time::max(): not at all. `open`: set-ups wait for it. `owed`:
  // releases do.
  [[nodiscard]] Time dial_at(bool open, bool owed) const;
  // By when a connection that is dialled at `at` must be up; sooner than `limit` where calls that stand would
  // count as lost meanwhile.
  [[nodiscard]] Time dial_deadline(Time at, Duration limit) const;
  [[nodiscard]] bool calls_established() const { return calls_stand_; }
  [[nodiscard]] Time ask_at() const;  // of an open connection; Time::max(): it may stay quiet

 private:
  // From when silence without a new connection counts as a loss.
  [[nodiscard]] Time lost_at() const {
    return std::max(heard_ + settings_.lost, no_room_at_ + (settings_.lost - settings_.quiet));
  }
  ReachabilitySettings settings_;
  std::optional<StartId> start_;
  Time retry_at_{};
  Time heard_{};
  Time asked_{};
  Time no_room_at_{};          // the last time that this host had no room for a connection
  std::optional<Time> waits_;  // since when a set-up that left has heard nothing
  bool ready_ = false;
  bool gone_ = false;  // for good
  bool calls_stand_ = false;
  bool was_up_ = false;
  bool dead_ = false;  // it died, and nothing has told of a new start
};

}  // namespace reeltack::membership
