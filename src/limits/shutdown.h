// When a program that was asked to end stops waiting for more requests, and in which order it closes.
//
// Owns: the instants of an orderly end, from the longest deadline of the settings, and the order of its
// steps. Must never: do I/O, or read a clock.
//
// Threads: none; equal inputs give equal outputs.
#pragma once

#include "reeltack/controller.h"

namespace reeltack::limits {

struct ShutdownTimes {
  Time close_idle;           // from then on connections are ended as soon as no set-up is open on them
  Time refuse_remaining_at;  // from then on whatever is open is refused; not before close_idle
  // By then the offices are not waited for any longer to close their connections; not before
  // refuse_remaining_at.
  Time offices_deadline;
  Duration offices_close_timeout;  // nor for longer than this
  // By then connections are over on which bytes go on coming after their last answer; not before
  // offices_deadline.
  Time connections_deadline;
};

// `asked`: when the program was told to end. `longest_deadline`: of the classes in the settings.
ShutdownTimes shutdown_times(Time asked, Duration longest_deadline);

// The order: callers are closed but for one; once no set-up is open the offices are, and read to their ends,
// since they may have written releases; these go by the one caller that is left, which is closed then.
class ShutdownSequence {
 public:
  explicit ShutdownSequence(const ShutdownTimes& times) : times_(times) {}

  struct Seen {
    bool calls_open = false;
    bool offices_finished = false;  // asked only after finish_offices
    bool callers_closed = false;
  };
  // What is to be done now, in this order.
  struct Steps {
    bool close_callers_but_one = false;  // once
    bool refuse_calls = false;           // again and again: more may have come
    bool finish_offices = false;         // once
    bool close_last_caller = false;      // once, after all that the offices said has been passed on
    bool close_callers_by = false;       // whatever they send: by times.connections_deadline
    bool done = false;
  };
  Steps next(Time at, const Seen& seen);

 private:
  const ShutdownTimes times_;
  bool closing_ = false;
  bool last_closing_ = false;
  Time offices_by_ = Time::max();  // when they are not waited for any longer; max: not asked to close yet
};

}  // namespace reeltack::limits
