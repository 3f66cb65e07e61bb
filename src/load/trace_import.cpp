#include "load/trace_import.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <nlohmann/json.hpp>
#include <queue>
#include <set>
#include <utility>

#include "base/base.h"

namespace reeltack::load {

namespace {

constexpr std::size_t kMostLine = 4096;  // bytes
constexpr double kMostUs = 8.0e15;       // 250 years: beyond any trace, and far from an overflow

using Fields = std::array<std::string, kTraceColumns.size()>;

// One import: reads line by line, holds what lies within the window in order, writes what is older.
class Importer {
 public:
  Importer(const std::string& from, const std::string& to, const ImportOptions& options)
      : from_(from),
        to_(to),
        options_(options),
        in_(from, std::ios::binary),
        out_(to + ".part", std::ios::trunc) {
    if (!in_) throw TraceError(from + ": cannot be read");
    if (!out_) throw TraceError(to + ".part: cannot be written");
  }
  ~Importer() {
    if (!done_) std::remove((to_ + ".part").c_str());
  }
  Importer(const Importer&) = delete;
  Importer& operator=(const Importer&) = delete;

  ImportReport run() {
    out_ << kTraceMagic << "\n" << kTraceHeader << "\n";
    std::string line;
    bool cut = false;
    while (read_line(in_, line, cut)) {
      ++line_;
      if (line.size() > kMostLine) fail("is longer than " + std::to_string(kMostLine) + " bytes");
      if (line.empty() || (line_ == 1 && line == kTraceMagic)) continue;
      if (cut) fail("is cut off: no line feed at its end");
      if (line.front() == '{') {
        take(from_json(line));
      } else if (column_at_.empty()) {
        read_header(line);
      } else {
        take(from_csv(line));
      }
    }
    if (report_.read == 0) throw TraceError(from_ + ": holds no call");
    while (!held_.empty()) write_first();
    out_.close();
    if (!out_) throw TraceError(to_ + ".part: could not be written whole");
    if (std::rename((to_ + ".part").c_str(), to_.c_str()) != 0)
      throw TraceError(to_ + ": cannot take its name: " + std::strerror(errno));
    done_ = true;
    return report_;
  }

 private:
  struct Held {
    std::int64_t at = 0;
    std::uint64_t line = 0;
    std::string text;
    bool operator>(const Held& o) const { return std::pair(at, line) > std::pair(o.at, o.line); }
  };
  [[noreturn]] void fail(const std::string& what) const {
    throw TraceError(from_ + ":" + std::to_string(line_) + ": " + what);
  }
  [[nodiscard]] std::string name_of(std::size_t column) const {
    const auto found = options_.columns.find(kTraceColumns[column]);
    return found == options_.columns.end() ? kTraceColumns[column] : found->second;
  }

  void read_header(const std::string& line) {
    const auto names = split_line(line);
    for (std::size_t c = 0; c < kTraceColumns.size(); ++c) {
      const auto found = std::find(names.begin(), names.end(), name_of(c));
      column_at_.push_back(found == names.end() ? -1 : static_cast<int>(found - names.begin()));
      if (c <= kClass && found == names.end()) fail("the header names no column " + name_of(c));
    }
    width_ = names.size();
  }
  Fields from_csv(const std::string& line) const {
    const auto parts = split_line(line);
    if (parts.size() != width_)
      fail("has " + std::to_string(parts.size()) + " fields where the header names " +
           std::to_string(width_));
    Fields out;
    for (std::size_t c = 0; c < out.size(); ++c) {
      if (column_at_[c] >= 0) out[c] = parts[static_cast<std::size_t>(column_at_[c])];
    }
    return out;
  }
  Fields from_json(const std::string& line) const {
    const auto object = nlohmann::json::parse(line, nullptr, false);
    if (!object.is_object()) fail("is no JSON object");
    Fields out;
    for (std::size_t c = 0; c < out.size(); ++c) {
      const auto found = object.find(name_of(c));
      if (found == object.end() || found->is_null()) continue;
      out[c] = found->is_string() ? found->get<std::string>() : found->dump();
    }
    return out;
  }

  void take(const Fields& f) {
    ++report_.read;
    const std::int64_t when = read_time(f);
    check_fields(f);
    check_order(when);
    newest_ = std::max(newest_, when);
    Held held{when, line_, std::to_string(when)};
    for (std::size_t c = kClass; c < f.size(); ++c) held.text.append(",").append(f[c]);
    if (!texts_.insert(held.text).second && drops_double()) return;
    held_.push(std::move(held));
    report_.most_held = std::max(report_.most_held, held_.size());
    if (held_.size() > options_.most_held)
      fail("more than " + std::to_string(options_.most_held) + " lines lie within the window to sort in");
    const auto window = std::chrono::duration_cast<std::chrono::microseconds>(options_.window).count();
    const auto keep = options_.order == ImportOptions::Order::strict ? 0 : window;
    // Strictly older: doubles of the newest instant are still to be seen.
    while (!held_.empty() && held_.top().at < newest_ - keep) write_first();
  }
  [[nodiscard]] std::int64_t read_time(const Fields& f) const {
    const auto at = read_number(f[kAt]);
    if (!at) fail(name_of(kAt) + " is no number: '" + f[kAt] + "'");
    if (*at < 0.0) fail(name_of(kAt) + " is negative: " + f[kAt]);
    const double us = *at * options_.at_unit_us;
    if (us > kMostUs) fail(name_of(kAt) + " is beyond any trace: " + f[kAt]);
    const auto when = static_cast<std::int64_t>(std::llround(us));
    if (options_.end && std::chrono::microseconds(when) > *options_.end)
      fail(name_of(kAt) + " lies beyond the end: " + f[kAt]);
    return when;
  }
  void check_fields(const Fields& f) const {
    if (f[kClass].empty()) fail(name_of(kClass) + " is missing");
    if (f[kClass].find_first_of(",\"\n") != std::string::npos)
      fail(name_of(kClass) + " holds a comma or a quote");
    if (!f[kNumber].empty() && !base::parse_hex16(f[kNumber]))
      fail(name_of(kNumber) + " must be 16 hex digits, not '" + f[kNumber] + "'");
    for (const TraceColumn c : {kFirstChoice, kHold}) {
      const auto value = read_whole(f[c]);
      if (!f[c].empty() && (!value || *value < 0))
        fail(name_of(c) + " must be a whole number, not '" + f[c] + "'");
    }
  }
  // Counts a line that comes out of order, or refuses it.
  void check_order(std::int64_t when) {
    if (when >= newest_) return;
    const auto behind = std::chrono::microseconds(newest_ - when);
    if (options_.order == ImportOptions::Order::strict)
      fail(name_of(kAt) + " is " + std::to_string(behind.count()) +
           " us before the line above it (--order sort sorts)");
    if (behind > options_.window || when < written_)
      fail(name_of(kAt) + " is " + std::to_string(behind.count()) +
           " us late, more than the window to sort in");
    ++report_.moved;
    report_.furthest = std::max<Duration>(report_.furthest, behind);
  }
  // Counts a line that stands twice within the window, or refuses it; true: it is left out.
  bool drops_double() {
    ++report_.doubled;
    if (options_.doubled == ImportOptions::Doubled::refuse)
      fail("stands twice: the same call at the same instant (--doubled keep or drop)");
    return options_.doubled == ImportOptions::Doubled::drop;
  }

  void write_first() {
    const Held& h = held_.top();
    out_ << h.text << "\n";
    texts_.erase(h.text);
    written_ = h.at;
    report_.length = std::chrono::microseconds(h.at);
    ++report_.written;
    held_.pop();
  }

  const std::string from_;
  const std::string to_;
  const ImportOptions& options_;
  std::ifstream in_;
  std::ofstream out_;
  bool done_ = false;
  std::uint64_t line_ = 0;
  std::vector<int> column_at_;
  std::size_t width_ = 0;
  std::int64_t newest_ = 0;
  std::int64_t written_ = 0;
  std::priority_queue<Held, std::vector<Held>, std::greater<>> held_;
  std::set<std::string> texts_;  // of what is held
  ImportReport report_;
};

}  // namespace

ImportReport import_trace(const std::string& from, const std::string& to, const ImportOptions& options) {
  return Importer(from, to, options).run();
}

}  // namespace reeltack::load
