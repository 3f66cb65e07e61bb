// Import of recordings into traces (load/trace_format.h).
//
// Owns: the order of a trace's lines, and an account of every line that was read.
// Must never: drop a line in silence, or hold more of a recording than the stated window.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "load/trace_format.h"
#include "reeltack/controller.h"

namespace reeltack::load {

// What an import accepts.
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
// What an import did.
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

}  // namespace reeltack::load
