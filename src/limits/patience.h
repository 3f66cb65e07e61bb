// How long one accepted peer is waited for: its first message, a message that has begun, its reading of our
// answers, and its silence.
//
// Owns: the instants that these count from, and which of them is overdue.
// Must never: do I/O, read a clock, or know what a message means.
//
// Threads: none; whoever owns it calls it from one. Times are absolute and told, and may not go back. Equal
// inputs give equal outputs. Nothing allocates.
#pragma once

#include <optional>

#include "reeltack/controller.h"

namespace reeltack::limits {

struct PeerTimeoutSettings {
  Duration whole =
      std::chrono::seconds(2);  // from a message's first byte to its last; to the first byte of all
  Duration unread = std::chrono::seconds(2);  // with so much unread that no more is taken
  Duration quiet = Duration::max();           // until it is asked whether it is there; max: never
};

enum class PeerTimeout { late, unread, quiet };

class Patience {
 public:
  Patience(PeerTimeoutSettings settings, Time connected)
      : settings_(settings), begun_(connected), looked_(connected) {}

  void came(Time at);       // bytes of it, before they are taken off
  void whole(Time at);      // a message was taken off
  void in_hand(bool some);  // whether bytes of a further message remain
  void crowded(bool so, Time at);
  void asked(Time at) { looked_ = at; }  // it was asked after a silence

  [[nodiscard]] bool served() const { return served_; }  // a whole message came
  [[nodiscard]] bool begun() const { return in_hand_; }
  // What has run out by then. While its answers are unread nothing is taken from it, so that it is not late
  // then.
  [[nodiscard]] std::optional<PeerTimeout> overdue(Time at) const;
  [[nodiscard]] Time next() const;  // when something runs out; Time::max(): never

 private:
  [[nodiscard]] Time late_at() const;
  [[nodiscard]] Time quiet_at() const;
  PeerTimeoutSettings settings_;
  Time begun_;   // of the message in hand, or the connection
  Time looked_;  // since when it is silent
  std::optional<Time> crowded_;
  bool served_ = false;
  bool in_hand_ = false;
};

}  // namespace reeltack::limits
