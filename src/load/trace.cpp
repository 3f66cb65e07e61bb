#include "load/trace.h"

#include <chrono>
#include <utility>

#include "base/base.h"

namespace reeltack::load {

TraceReader::TraceReader(std::string path, const std::vector<LoadClass>& classes)
    : path_(std::move(path)), in_(path_, std::ios::binary) {
  if (!in_) throw TraceError(path_ + ": cannot be read");
  for (std::size_t i = 0; i < classes.size(); ++i) classes_[classes[i].name] = static_cast<std::uint32_t>(i);
  std::string line;
  bool cut = false;
  if (!read_line(in_, line, cut) || line != kTraceMagic || !read_line(in_, line, cut) || line != kTraceHeader)
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
  const auto f = split_line(line);
  if (f.size() != kTraceColumns.size()) fail("has " + std::to_string(f.size()) + " fields, not 5");
  const auto at = read_whole(f[kAt]);
  if (!at || *at < 0) fail("at_us must be a whole number, not '" + std::string(f[kAt]) + "'");
  TraceCall out;
  out.at = std::chrono::microseconds(*at);
  if (out.at < last_) fail("at_us is before the line above it");
  last_ = out.at;
  const auto c = classes_.find(f[kClass]);
  if (c == classes_.end()) fail("class " + std::string(f[kClass]) + " is not one of the scenario's");
  out.call_class = c->second;
  if (!f[kNumber].empty()) {
    out.number = base::parse_hex16(f[kNumber]);
    if (!out.number) fail("number must be 16 hex digits, not '" + std::string(f[kNumber]) + "'");
  }
  const auto optional = [&](std::size_t c_index) -> std::optional<std::int64_t> {
    if (f[c_index].empty()) return std::nullopt;
    const auto value = read_whole(f[c_index]);
    if (!value || *value < 0)
      fail(std::string(kTraceColumns[c_index]) + " must be a whole number, not '" + std::string(f[c_index]) +
           "'");
    return value;
  };
  if (const auto place = optional(kFirstChoice)) out.first_choice = static_cast<std::uint32_t>(*place);
  if (const auto hold = optional(kHold)) out.hold = std::chrono::microseconds(*hold);
  return out;
}

}  // namespace reeltack::load
