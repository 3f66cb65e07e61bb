// The lines of traces, for the files that read and write them.
//
// A trace is CSV (RFC 4180, no quoting): first line `reeltack-trace,1`, second the column names, then a line
// a call: at_us,class,number,first_choice,hold_us. Times are microseconds from the trace's start, in order;
// number is 16 hex digits or empty; the last two may be empty.
#pragma once

#include <array>
#include <cstdint>
#include <fstream>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace reeltack::load {

// A recording or trace that cannot be read: "FILE:LINE: WHAT".
class TraceError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

inline constexpr std::string_view kTraceMagic = "reeltack-trace,1";
inline constexpr std::string_view kTraceHeader = "at_us,class,number,first_choice,hold_us";
inline constexpr std::array<const char*, 5> kTraceColumns{"at_us", "class", "number", "first_choice",
                                                          "hold_us"};
// Places of the columns.
enum TraceColumn : std::size_t { kAt, kClass, kNumber, kFirstChoice, kHold };

// The fields of a line; views into it.
std::vector<std::string_view> split_line(std::string_view line);
// A number without anything around it; nothing: anything else.
std::optional<std::int64_t> read_whole(std::string_view text);
std::optional<double> read_number(std::string_view text);
// Reads a line without its end; false: there is none. `cut`: it ends without its line feed, so the file was
// cut off and the last figure may lack digits.
bool read_line(std::ifstream& in, std::string& line, bool& cut);

}  // namespace reeltack::load
