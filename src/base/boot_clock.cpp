#include "base/boot_clock.h"

#include <time.h>

#include <charconv>
#include <fstream>
#include <string>

namespace reeltack::base {
namespace {

constexpr const char* kBootIdFile = "/proc/sys/kernel/random/boot_id";

// As Linux writes it: 32 hex digits with dashes between.
clocks::BootId read_boot_id() {
  std::string text;
  std::ifstream(kBootIdFile) >> text;
  std::erase(text, '-');
  clocks::BootId id{};
  if (text.size() != 2 * id.size()) return {};
  for (std::size_t i = 0; i < id.size(); ++i) {
    const char* digits = text.data() + 2 * i;
    const auto [end, error] = std::from_chars(digits, digits + 2, id[i], 16);
    if (error != std::errc{} || end != digits + 2) return {};
  }
  return id;
}

}  // namespace

clocks::BootTime boot_now() {
  static const clocks::BootId boot = read_boot_id();
  timespec now{};
  if (::clock_gettime(CLOCK_BOOTTIME, &now) != 0) return {};
  return {boot, std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)};
}

}  // namespace reeltack::base
