#include "load/trace_format.h"

#include <charconv>
#include <system_error>

namespace reeltack::load {

namespace {

// The whole of `text` as a number of type T.
template <typename T>
std::optional<T> parsed(std::string_view text) {
  T out{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return out;
}

}  // namespace

std::vector<std::string_view> split_line(std::string_view line) {
  std::vector<std::string_view> out;
  for (;;) {
    const std::size_t comma = line.find(',');
    out.push_back(line.substr(0, comma));
    if (comma == std::string_view::npos) return out;
    line.remove_prefix(comma + 1);
  }
}

std::optional<std::int64_t> read_whole(std::string_view text) { return parsed<std::int64_t>(text); }
std::optional<double> read_number(std::string_view text) { return parsed<double>(text); }

bool read_line(std::ifstream& in, std::string& line, bool& cut) {
  if (!std::getline(in, line)) return false;
  cut = in.eof();
  if (!line.empty() && line.back() == '\r') line.pop_back();
  return true;
}

}  // namespace reeltack::load
