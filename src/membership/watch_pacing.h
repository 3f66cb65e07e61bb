// How long a watch on discovery is waited for, and when the next connection is tried.
//
// Owns: how many tries in a row have brought nothing, and the spans that follow from it.
// Must never: do I/O, read a clock, or draw a random number.
//
// A watch that falls silent is replaced at once, since what discovery tells counts as told some seconds later
// whether or not it has arrived. One that is only slow must be followed all the same: the caller keeps the
// silent connection for a while beside the new one (`slow`).
//
// Threads: none; whoever owns it calls it from one. Equal inputs give equal outputs. Nothing allocates.
#pragma once

#include "reeltack/controller.h"

namespace reeltack::membership {

struct WatchBackoffSettings {
  Duration connect = std::chrono::milliseconds(500);       // for a connection to come up, first ...
  Duration max_connect_timeout = std::chrono::seconds(2);  // ... and at most, once some have not
  // A whole frame comes each second; without one for so long the connection is silent.
  Duration silence = std::chrono::milliseconds(1800);
  Duration slow = std::chrono::seconds(8);              // a silent connection is kept beside the next one
  Duration pause = std::chrono::milliseconds(150);      // between two tries, first ...
  Duration max_pause = std::chrono::milliseconds(400);  // ... and at most
};

class WatchBackoff {
 public:
  explicit WatchBackoff(WatchBackoffSettings settings = {}) : settings_(settings) {}

  void heard();              // a whole frame
  void failed();             // a try has ended without one
  void connect_timed_out();  // a connection did not come up within connect_timeout()
  void connect_succeeded();

  [[nodiscard]] Duration connect_timeout() const;
  // `uniform`: of [0, 1), drawn anew each time, so that hundreds do not come back in step.
  [[nodiscard]] Duration pause(double uniform) const;
  [[nodiscard]] const WatchBackoffSettings& settings() const { return settings_; }

 private:
  WatchBackoffSettings settings_;
  unsigned failures_ = 0;  // in a row
  unsigned late_ = 0;      // connections in a row
};

}  // namespace reeltack::membership
