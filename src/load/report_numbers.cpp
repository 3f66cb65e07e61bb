#include "load/report_numbers.h"

#include <chrono>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace reeltack::load {

double milliseconds(Duration span) {
  return std::round(std::chrono::duration<double, std::milli>(span).count() * 1000.0) / 1000.0;
}

double microseconds(Duration span) {
  return std::round(std::chrono::duration<double, std::micro>(span).count() * 10.0) / 10.0;
}

std::string fixed(double value, int digits) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(digits) << value;
  return out.str();
}

}  // namespace reeltack::load
