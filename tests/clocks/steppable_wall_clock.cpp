// A library that a test preloads into the real program to step its wall clock: CLOCK_REALTIME, gettimeofday()
// and time() return the true time plus a step, which the test writes to a file that both have mapped. Other
// clocks are not changed.
//
// The file holds one int64, nanoseconds; REELTACK_WALL_STEP holds its path.
#include <fcntl.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <cstdlib>

namespace {

constexpr std::int64_t kSecond = 1'000'000'000;

std::atomic<std::int64_t>* mapped() {
  const char* path = ::getenv("REELTACK_WALL_STEP");
  const int fd = path == nullptr ? -1 : ::open(path, O_RDWR | O_CLOEXEC);
  if (fd < 0) return nullptr;
  void* at = ::mmap(nullptr, sizeof(std::int64_t), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
  ::close(fd);
  return at == MAP_FAILED ? nullptr : static_cast<std::atomic<std::int64_t>*>(at);
}

std::int64_t step() {
  static std::atomic<std::int64_t>* const shared = mapped();
  return shared == nullptr ? 0 : shared->load();
}

// Uses the system call: the replaced function must not call itself.
int read_clock(clockid_t clock, timespec* out) {
  return static_cast<int>(::syscall(SYS_clock_gettime, clock, out));
}

std::int64_t wall_now() {
  timespec now{};
  read_clock(CLOCK_REALTIME, &now);
  return now.tv_sec * kSecond + now.tv_nsec + step();
}

}  // namespace

extern "C" {

int clock_gettime(clockid_t clock, timespec* out) noexcept {
  const int result = read_clock(clock, out);
  if (result != 0 || (clock != CLOCK_REALTIME && clock != CLOCK_REALTIME_COARSE)) return result;
  const std::int64_t now = out->tv_sec * kSecond + out->tv_nsec + step();
  out->tv_sec = now / kSecond;
  out->tv_nsec = now % kSecond;
  return 0;
}

int gettimeofday(timeval* out, void* /*zone*/) noexcept {
  const std::int64_t now = wall_now();
  if (out != nullptr) *out = {now / kSecond, now % kSecond / 1000};
  return 0;
}

time_t time(time_t* out) noexcept {
  const time_t now = wall_now() / kSecond;
  if (out != nullptr) *out = now;
  return now;
}

}  // extern "C"
