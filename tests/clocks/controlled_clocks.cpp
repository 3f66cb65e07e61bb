#include "controlled_clocks.h"

#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include <array>
#include <atomic>

namespace {

constexpr std::int64_t kSecond = 1'000'000'000;
constexpr std::int64_t kHour = 3600 * kSecond;
constexpr std::int64_t kFrozenAhead = 1000 * kHour;
// Successive readings are wrong by each of these in turn.
constexpr std::array<std::int64_t, 5> kSteps = {0, -kHour, 5 * kSecond, kHour, -5 * kSecond};

std::atomic<std::uint64_t> readings{0};
std::atomic<std::int64_t> stepped_by{0};
std::atomic<std::int64_t> frozen_at{0};  // 0: not frozen

std::int64_t true_clock(clockid_t clock) {
  timespec now{};
  ::syscall(SYS_clock_gettime, clock, &now);
  return now.tv_sec * kSecond + now.tv_nsec;
}

std::int64_t read_wall_clock() {
  const std::uint64_t reading = readings.fetch_add(1);
  return true_clock(CLOCK_REALTIME) + stepped_by.load() + kSteps[reading % kSteps.size()];
}

}  // namespace

extern "C" {

int clock_gettime(clockid_t clock, timespec* out) noexcept {
  const std::int64_t frozen = frozen_at.load();
  std::int64_t now = 0;
  if (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE || clock == CLOCK_TAI) {
    now = read_wall_clock();
  } else if (frozen != 0 && (clock == CLOCK_MONOTONIC || clock == CLOCK_MONOTONIC_COARSE)) {
    now = frozen;
  } else {
    return static_cast<int>(::syscall(SYS_clock_gettime, clock, out));
  }
  *out = {now / kSecond, now % kSecond};
  return 0;
}

int gettimeofday(timeval* out, void* /*zone*/) noexcept {
  const std::int64_t now = read_wall_clock();
  if (out != nullptr) *out = {now / kSecond, now % kSecond / 1000};
  return 0;
}

time_t time(time_t* out) noexcept {
  const time_t now = read_wall_clock() / kSecond;
  if (out != nullptr) *out = now;
  return now;
}

int timespec_get(timespec* out, int base) noexcept {
  if (base != TIME_UTC) return 0;
  clock_gettime(CLOCK_REALTIME, out);
  return base;
}

}  // extern "C"

namespace reeltack::test {

std::uint64_t wall_clock_readings() { return readings.load(); }
void step_wall_clock(std::chrono::nanoseconds by) { stepped_by += by.count(); }
void freeze_steady_clock() { frozen_at = true_clock(CLOCK_MONOTONIC) + kFrozenAhead; }
void advance_steady_clock(std::chrono::nanoseconds by) { frozen_at += by.count(); }
void unfreeze_steady_clock() { frozen_at = 0; }

}  // namespace reeltack::test
