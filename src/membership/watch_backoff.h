// Timeouts and reconnection back-off of a watch on discovery.
//
// A watch that falls silent is replaced at once, since a change at discovery counts as reported some seconds
// later whether or not it has arrived. A watch that is merely slow must still be followed: the caller keeps
// the silent connection for a while beside the new one (`overlap`).
//
// Performs no I/O, reads no clock and draws no random numbers. Deterministic; allocates nothing. Not
// thread-safe: its owner calls it from one thread.
#pragma once

#include "reeltack/controller.h"

namespace reeltack::membership {

struct WatchBackoffSettings {
  Duration connect_timeout = std::chrono::milliseconds(500);  // initial ...
  Duration max_connect_timeout =
      std::chrono::seconds(2);  // ... and maximum, after connections that timed out
  // Discovery sends a complete frame each second; without one for this long the connection is silent.
  Duration silence = std::chrono::milliseconds(1800);
  Duration overlap = std::chrono::seconds(8);  // how long a silent connection is kept beside the next one
  Duration pause = std::chrono::milliseconds(150);      // between two attempts, initial ...
  Duration max_pause = std::chrono::milliseconds(400);  // ... and maximum
};

class WatchBackoff {
 public:
  explicit WatchBackoff(WatchBackoffSettings settings = {}) : settings_(settings) {}

  void frame_received();     // a complete frame has arrived
  void failed();             // an attempt has ended without one
  void connect_timed_out();  // a connection did not come up within connect_timeout()
  void connect_succeeded();

  [[nodiscard]] Duration connect_timeout() const;
  // `uniform`: a fresh random number of [0, 1), so that hundreds of controllers do not reconnect in step.
  [[nodiscard]] Duration pause(double uniform) const;
  [[nodiscard]] const WatchBackoffSettings& settings() const { return settings_; }

 private:
  WatchBackoffSettings settings_;
  unsigned failures_ = 0;          // in a row
  unsigned connect_timeouts_ = 0;  // connections in a row
};

}  // namespace reeltack::membership
