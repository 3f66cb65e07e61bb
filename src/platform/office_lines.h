// The offices' JSON lines as text: what they say, and what is said to them.
//
// Owns: the grammar of both ways.
// Must never: do I/O, or know which call is open.
//
// Threads: none; equal inputs give equal outputs. Errors: base::JsonError from read_line(), for a line after
// which nothing on its connection can be trusted.
#pragma once

#include <string>
#include <string_view>

#include "core/core.h"

namespace reeltack::platform {

LoadReport read_report(std::string_view text);  // "x0:12;x1:40"; a figure out of range: none of it is used

struct OfficeLine {
  enum class Verb { nothing, load, started, finish } verb = Verb::nothing;
  CallId call{};     // started, finish
  std::string blob;  // started
  int cause = 0;     // finish: Q.850
  std::string note;  // the same
  LoadReport report;
};
OfficeLine read_line(std::string_view text);

// Whole milliseconds until `give_up`, rounded down: nobody is told of more time than there is. A set-up for
// which this is not above 0 must not leave.
std::int64_t whole_ms_left(Time give_up, Time at);
std::string start_line(const core::SetUp& set_up, const std::string& class_name, std::int64_t left_ms);
std::string finish_line(CallId call);  // given up, or over

}  // namespace reeltack::platform
