#include "load/trace.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <nlohmann/json.hpp>
#include <queue>
#include <set>

#include "base/base.h"

namespace reeltack::load {
namespace {

constexpr std::string_view kMagic = "reeltack-trace,1";
constexpr std::string_view kHeader = "at_us,class,number,first_choice,hold_us";
constexpr std::array<const char*, 5> kColumns{"at_us", "class", "number", "first_choice", "hold_us"};
constexpr std::size_t kMostLine = 4096;

using Fields = std::array<std::string, kColumns.size()>;

std::vector<std::string_view> split(std::string_view line) {
  std::vector<std::string_view> out;
  for (;;) {
    const std::size_t comma = line.find(',');
    out.push_back(line.substr(0, comma));
    if (comma == std::string_view::npos) return out;
    line.remove_prefix(comma + 1);
  }
}
std::optional<std::int64_t> whole(std::string_view text) {
  std::int64_t out = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return out;
}
std::optional<double> number(std::string_view text) {
  double out = 0.0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return out;
}

// Where the line ends without its line feed, the file was cut off: the last figure may lack digits.
bool read_line(std::ifstream& in, std::string& line, bool& cut) {
  if (!std::getline(in, line)) return false;
  cut = in.eof();
  if (!line.empty() && line.back() == '\r') line.pop_back();
  return true;
}

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
    out_ << kMagic << "\n" << kHeader << "\n";
    std::string line;
    bool cut = false;
    while (read_line(in_, line, cut)) {
      ++line_;
      if (line.size() > kMostLine) fail("is longer than " + std::to_string(kMostLine) + " bytes");
      if (line.empty() || (line_ == 1 && line == kMagic)) continue;
      if (cut) fail("is cut off: no line feed at its end");
      if (line.front() == '{') {
        take(from_json(line));
      } else if (places_.empty()) {
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
    const auto found = options_.columns.find(kColumns[column]);
    return found == options_.columns.end() ? kColumns[column] : found->second;
  }

  void read_header(const std::string& line) {
    const auto names = split(line);
    for (std::size_t c = 0; c < kColumns.size(); ++c) {
      const auto found = std::find(names.begin(), names.end(), name_of(c));
      places_.push_back(found == names.end() ? -1 : static_cast<int>(found - names.begin()));
      if (c < 2 && found == names.end()) fail("the header names no column " + name_of(c));
    }
    width_ = names.size();
  }
  Fields from_csv(const std::string& line) const {
    const auto parts = split(line);
    if (parts.size() != width_)
      fail("has " + std::to_string(parts.size()) + " fields where the header names " +
           std::to_string(width_));
    Fields out;
    for (std::size_t c = 0; c < out.size(); ++c) {
      if (places_[c] >= 0) out[c] = parts[static_cast<std::size_t>(places_[c])];
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
    const auto at = number(f[0]);
    if (!at) fail(name_of(0) + " is no number: '" + f[0] + "'");
    if (*at < 0.0) fail(name_of(0) + " is negative: " + f[0]);
    const double us = *at * options_.at_unit_us;
    if (us > 8.0e15) fail(name_of(0) + " is beyond any trace: " + f[0]);
    const auto when = static_cast<std::int64_t>(std::llround(us));
    if (options_.end && std::chrono::microseconds(when) > *options_.end)
      fail(name_of(0) + " lies beyond the end: " + f[0]);
    if (f[1].empty()) fail(name_of(1) + " is missing");
    if (f[1].find_first_of(",\"\n") != std::string::npos) fail(name_of(1) + " holds a comma or a quote");
    if (!f[2].empty() && !base::parse_hex16(f[2]))
      fail(name_of(2) + " must be 16 hex digits, not '" + f[2] + "'");
    for (const std::size_t c : {std::size_t{3}, std::size_t{4}}) {
      const auto value = whole(f[c]);
      if (!f[c].empty() && (!value || *value < 0))
        fail(name_of(c) + " must be a whole number, not '" + f[c] + "'");
    }
    if (when < newest_) {
      const auto behind = std::chrono::microseconds(newest_ - when);
      if (options_.order == ImportOptions::Order::strict)
        fail(name_of(0) + " is " + std::to_string(behind.count()) +
             " us before the line above it (--order sort sorts)");
      if (behind > options_.window || when < written_)
        fail(name_of(0) + " is " + std::to_string(behind.count()) +
             " us late, more than the window to sort in");
      ++report_.moved;
      report_.furthest = std::max<Duration>(report_.furthest, behind);
    }
    newest_ = std::max(newest_, when);
    Held held{when, line_, std::to_string(when)};
    for (std::size_t c = 1; c < f.size(); ++c) held.text.append(",").append(f[c]);
    if (!texts_.insert(held.text).second) {
      ++report_.doubled;
      if (options_.doubled == ImportOptions::Doubled::refuse)
        fail("stands twice: the same call at the same instant (--doubled keep or drop)");
      if (options_.doubled == ImportOptions::Doubled::drop) return;
    }
    held_.push(std::move(held));
    report_.most_held = std::max(report_.most_held, held_.size());
    if (held_.size() > options_.most_held)
      fail("more than " + std::to_string(options_.most_held) + " lines lie within the window to sort in");
    const auto window = std::chrono::duration_cast<std::chrono::microseconds>(options_.window).count();
    const auto keep = options_.order == ImportOptions::Order::strict ? 0 : window;
    // Strictly older: doubles of the newest instant are still to be seen.
    while (!held_.empty() && held_.top().at < newest_ - keep) write_first();
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
  std::vector<int> places_;
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

TraceReader::TraceReader(std::string path, const std::vector<LoadClass>& classes)
    : path_(std::move(path)), in_(path_, std::ios::binary) {
  if (!in_) throw TraceError(path_ + ": cannot be read");
  for (std::size_t i = 0; i < classes.size(); ++i) classes_[classes[i].name] = static_cast<std::uint32_t>(i);
  std::string line;
  bool cut = false;
  if (!read_line(in_, line, cut) || line != kMagic || !read_line(in_, line, cut) || line != kHeader)
    throw TraceError(path_ + ": is no trace of version 1 (reeltackctl load import makes one)");
  line_ = 2;
}

void TraceReader::fail(const std::string& what) const {
  throw TraceError(path_ + ":" + std::to_string(line_) + ": " + what);
}

std::optional<TraceCall> TraceReader::next() {
  std::string line;
  bool cut = false;
  if (!read_line(in_, line, cut)) return std::nullopt;
  ++line_;
  if (cut) fail("is cut off");
  const auto f = split(line);
  if (f.size() != kColumns.size()) fail("has " + std::to_string(f.size()) + " fields, not 5");
  const auto at = whole(f[0]);
  if (!at || *at < 0) fail("at_us must be a whole number, not '" + std::string(f[0]) + "'");
  TraceCall out;
  out.at = std::chrono::microseconds(*at);
  if (out.at < last_) fail("at_us is before the line above it");
  last_ = out.at;
  const auto c = classes_.find(f[1]);
  if (c == classes_.end()) fail("class " + std::string(f[1]) + " is not one of the scenario's");
  out.call_class = c->second;
  if (!f[2].empty()) {
    out.number = base::parse_hex16(f[2]);
    if (!out.number) fail("number must be 16 hex digits, not '" + std::string(f[2]) + "'");
  }
  const auto optional = [&](std::size_t c_index) -> std::optional<std::int64_t> {
    if (f[c_index].empty()) return std::nullopt;
    const auto value = whole(f[c_index]);
    if (!value || *value < 0)
      fail(std::string(kColumns[c_index]) + " must be a whole number, not '" + std::string(f[c_index]) + "'");
    return value;
  };
  if (const auto place = optional(3)) out.first_choice = static_cast<std::uint32_t>(*place);
  if (const auto hold = optional(4)) out.hold = std::chrono::microseconds(*hold);
  return out;
}

}  // namespace reeltack::load
