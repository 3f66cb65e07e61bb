// When a program that was asked to end stops waiting for more requests, and when it refuses what is left.
//
// Owns: the instants of an orderly end, from the longest deadline of the settings.
// Must never: do I/O, or read a clock.
//
// Threads: none; equal inputs give equal outputs.
#pragma once

#include "reeltack/controller.h"

namespace reeltack::limits {

struct ShutdownTimes {
  Time close_idle;   // from then on connections are ended as soon as no set-up is open on them
  Time refuse_rest;  // from then on whatever is open is refused; not before close_idle
  // By then connections are over on which bytes go on coming after their last answer; not before refuse_rest.
  Time connections_over;
};

// `asked`: when the program was told to end. `longest_deadline`: of the classes in the settings.
ShutdownTimes shutdown_times(Time asked, Duration longest_deadline);

}  // namespace reeltack::limits
