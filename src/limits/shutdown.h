// The deadlines and the order of an orderly shutdown, derived from the longest deadline in the settings.
//
// Performs no I/O and reads no clock. Deterministic. Not thread-safe.
#pragma once

#include "reeltack/controller.h"

namespace reeltack::limits {

struct ShutdownTimes {
  Time close_idle_at;        // from then on a connection without an open set-up is closed
  Time refuse_remaining_at;  // from then on open set-ups are refused; not before close_idle_at
  // When to stop waiting for offices to close their connections; not before refuse_remaining_at.
  Time offices_deadline;
  Duration offices_close_timeout;  // the longest wait for the offices to close
  // By then connections that still receive bytes after their last answer are closed; not before
  // offices_deadline.
  Time connections_deadline;
};

// `asked`: when the program was asked to end. `longest_deadline`: of the classes in the settings.
ShutdownTimes shutdown_times(Time asked, Duration longest_deadline);

// The order of closing: all callers but one; once no set-up is open, the offices, whose connections are read
// to their ends, since they may have written releases; then, after these releases have been sent, the last
// caller.
class ShutdownSequence {
 public:
  explicit ShutdownSequence(const ShutdownTimes& times) : times_(times) {}

  struct Progress {
    bool calls_open = false;
    bool offices_finished = false;  // considered only after finish_offices
    bool callers_closed = false;
  };
  // What to do now, in this order.
  struct Steps {
    bool close_callers_but_one = false;      // once
    bool refuse_calls = false;               // repeated: more calls may have arrived
    bool finish_offices = false;             // once
    bool close_last_caller = false;          // once, after all messages of the offices have been relayed
    bool close_callers_by_deadline = false;  // by times.connections_deadline, whatever they send
    bool done = false;
  };
  Steps next(Time at, const Progress& progress);

 private:
  const ShutdownTimes times_;
  bool callers_closing_ = false;
  bool last_caller_closing_ = false;
  Time offices_wait_until_ = Time::max();  // max: the offices have not been asked to close yet
};

}  // namespace reeltack::limits
