// Grammar of the JSON lines exchanged with the platform's offices. Pure functions without I/O or state.
//
// read_line() throws base::JsonError for a line after which nothing on its connection can be trusted.
#pragma once

#include <string>
#include <string_view>

#include "core/core.h"

namespace reeltack::platform {

LoadReport read_report(std::string_view text);  // "x0:12;x1:40"; empty if any figure is out of range

struct OfficeLine {
  enum class Verb { nothing, load, started, finish } verb = Verb::nothing;
  CallId call{};     // started, finish
  std::string blob;  // started
  int cause = 0;     // finish: Q.850
  std::string note;  // finish
  LoadReport report;
};
OfficeLine read_line(std::string_view text);

// Whole milliseconds until `give_up`, rounded down so that no office is given more time than remains. A
// set-up for which this is not above 0 must not be sent.
std::int64_t whole_ms_left(Time give_up, Time at);
std::string start_line(const core::SetUp& set_up, const std::string& class_name, std::int64_t left_ms);
std::string finish_line(CallId call);  // call given up or ended

}  // namespace reeltack::platform
