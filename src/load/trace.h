// Recorded traces: import from what others recorded, and the normalised file that the player reads.
//
// Owns: the trace format, the order of its lines, and an account of every line that was read.
// Must never: drop a line in silence, or hold more of a trace than the stated window.
//
// A trace is CSV (RFC 4180, no quoting): first line `reeltack-trace,1`, second the column names, then a line
// a call: at_us,class,number,first_choice,hold_us. Times are microseconds from the trace's start, in order;
// number is 16 hex digits or empty; the last two may be empty.
#pragma once

#include <fstream>
#include <map>
#include <stdexcept>

#include "load/plan/schedule.h"

namespace reeltack::load {

class TraceError : public std::runtime_error {  // file:line: what is wrong
 public:
  using std::runtime_error::runtime_error;
};

struct ImportOptions {
  enum class Order { strict, sort } order = Order::strict;
  Duration window = std::chrono::seconds(5);  // how late a line may come, where sorted
  std::size_t most_held = 1'000'000;          // lines in that window
  enum class Doubled { refuse, keep, drop } doubled = Doubled::refuse;
  std::optional<Duration> end;  // a line beyond it is refused
  // What the columns of the recording are called, where not as above: `at` may be in another unit.
  std::map<std::string, std::string> columns;
  double at_unit_us = 1.0;
};
struct ImportReport {
  std::uint64_t read = 0;
  std::uint64_t written = 0;
  std::uint64_t moved = 0;    // came out of order
  std::uint64_t doubled = 0;  // the same line as one held in the window; kept or dropped as asked
  Duration furthest{};        // out of order
  Duration length{};
  std::size_t most_held = 0;
};
// Streams a recording (CSV with a header line, or NDJSON objects) into a trace. Throws TraceError with the
// line number; the file is written under another name and takes its own only when whole.
ImportReport import_trace(const std::string& from, const std::string& to, const ImportOptions& options);

// Reads a trace, a call at a time; throws TraceError. Classes are named as the scenario's.
class TraceReader {
 public:
  TraceReader(std::string path, const std::vector<LoadClass>& classes);
  std::optional<TraceCall> next();

 private:
  [[noreturn]] void fail(const std::string& what) const;
  const std::string path_;
  std::map<std::string, std::uint32_t, std::less<>> classes_;
  std::ifstream in_;
  std::uint64_t line_ = 0;
  Duration last_{};
};

}  // namespace reeltack::load
