#include "yaml/span.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <sstream>
#include <stdexcept>

namespace reeltack::yaml {
namespace {

constexpr struct {
  const char* name;
  double seconds;
} kUnits[] = {{"us", 1e-6}, {"ms", 1e-3}, {"s", 1.0}, {"min", 60.0}, {"h", 3600.0}};
constexpr double kLongest = 86400.0;  // of any span

}  // namespace

Duration parse_span(const std::string& text) {
  double value = 0.0;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, value);
  const std::string unit(end, last);
  const auto* found =
      std::find_if(std::begin(kUnits), std::end(kUnits), [&unit](auto& u) { return unit == u.name; });
  if (error != std::errc{} || found == std::end(kUnits) || value < 0.0)
    throw std::invalid_argument("must be a time with its unit, as 500ms or 1.5s, not '" + text + "'");
  if (value * found->seconds > kLongest)
    throw std::invalid_argument("must be at most 24h, not '" + text + "'");
  return std::chrono::round<Duration>(std::chrono::duration<double>(value * found->seconds));
}

std::string show_span(Duration span) {
  const double us = std::chrono::duration<double, std::micro>(span).count();
  std::ostringstream out;
  out.precision(4);
  if (std::abs(us) >= 1e6) {
    out << us / 1e6 << "s";
  } else if (std::abs(us) >= 1e3) {
    out << us / 1e3 << "ms";
  } else {
    out << us << "us";
  }
  return out.str();
}

}  // namespace reeltack::yaml
