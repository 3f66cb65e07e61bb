// What every module may use and no socket is: the clock, threads with small stacks, names and numbers as
// text.
//
// Owns: the only reading of the steady clock for a Time, threads (RAII), and the spelling of ids, addresses
// and figures. Must never: open a descriptor other than the log's, know a message, or decide anything.
#pragma once

#include <pthread.h>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "reeltack/controller.h"

namespace reeltack::base {

// The machine's monotonic clock, counted from a year before its boot: what began before the boot has a
// positive Time too, and Time{} is long ago. No step of the wall clock moves it; it is the same for all
// processes of the machine, and means nothing on another or after a boot.
Time now();
// The same moment for what waits on std::chrono's clock; times out of its range become the nearest in it.
std::chrono::steady_clock::time_point to_steady(Time at);
inline constexpr Time kNever = Time::max();

// A thread with a small stack, joined at the end of its life.
class Thread {
 public:
  Thread() = default;
  explicit Thread(std::function<void()> body);  // throws std::runtime_error where start() fails
  // Starts `body` on a new thread that this object joins; false where none can be had now (EAGAIN: out of
  // processes, or memory for its stack), with the reason in `why` and nothing started. Must not be running.
  [[nodiscard]] bool start(std::function<void()> body, std::string& why);
  Thread(Thread&& other) noexcept;
  Thread& operator=(Thread&& other) noexcept;
  ~Thread() { join(); }
  void join();
  // Leaves the thread to itself: all that its body uses must last as long as it does.
  void detach();

 private:
  pthread_t id_{};
  bool running_ = false;
};

struct Address {
  std::string host;
  std::uint16_t port = 0;
};
std::optional<Address> parse_address(std::string_view text);  // host:port, IPv4
std::string to_text(const Address& address);

std::uint64_t big_endian(std::string_view data, std::size_t at, std::size_t bytes);  // unsigned, to 8 bytes
std::string hex16(std::uint64_t value);
std::optional<std::uint64_t> parse_hex16(std::string_view text);  // 16 lower-case digits
std::string office_name(ServerId id);                             // s-XXXXXXXX
std::optional<ServerId> parse_office_name(std::string_view text);
// "x0:12;x1:40" as name and figure, in order; what is malformed is left out.
void each_figure(std::string_view text, const std::function<void(std::string_view, double)>& take);
void log_line(const std::string& text);
// Empties the text and frees its memory, which an assignment of an empty one keeps.
inline void free_text(std::string& text) { std::string().swap(text); }

}  // namespace reeltack::base
