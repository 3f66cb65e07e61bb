#include "base/base.h"

#include <arpa/inet.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <cstring>
#include <memory>
#include <stdexcept>

#include "base/json.h"
#include "base/wall_clock.h"

namespace reeltack::base {
namespace {

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr std::size_t kStack = std::size_t{1024} * 1024;
#else
constexpr std::size_t kStack = std::size_t{128} * 1024;
#endif

constexpr Duration kBeforeBoot = std::chrono::hours(24 * 365);

}  // namespace

Time now() { return Time{std::chrono::steady_clock::now().time_since_epoch() + kBeforeBoot}; }
std::chrono::steady_clock::time_point to_steady(Time at) {
  using Steady = std::chrono::steady_clock::time_point;
  if (at < Time::min() + kBeforeBoot) return Steady::min();
  return Steady{at.time_since_epoch() - kBeforeBoot};
}

Thread::Thread(std::function<void()> body) {
  if (std::string why; !start(std::move(body), why)) throw std::runtime_error(why);
}
bool Thread::start(std::function<void()> body, std::string& why) {
  join();
  pthread_attr_t attributes;
  ::pthread_attr_init(&attributes);
  ::pthread_attr_setstacksize(&attributes, kStack);
  auto held = std::make_unique<std::function<void()>>(std::move(body));
  const auto begin = [](void* given) -> void* {
    const std::unique_ptr<std::function<void()>> mine(static_cast<std::function<void()>*>(given));
    (*mine)();
    return nullptr;
  };
  const int error = ::pthread_create(&id_, &attributes, begin, held.get());
  ::pthread_attr_destroy(&attributes);
  if (error != 0) {
    why = std::string("no thread: ") + std::strerror(error);
    return false;
  }
  static_cast<void>(held.release());  // the thread owns it now
  return running_ = true;
}
Thread::Thread(Thread&& other) noexcept : id_(other.id_), running_(std::exchange(other.running_, false)) {}
Thread& Thread::operator=(Thread&& other) noexcept {
  if (this != &other) {
    join();
    id_ = other.id_;
    running_ = std::exchange(other.running_, false);
  }
  return *this;
}
void Thread::join() {
  if (running_) ::pthread_join(id_, nullptr);
  running_ = false;
}
void Thread::detach() {
  if (running_) ::pthread_detach(id_);
  running_ = false;
}

std::optional<Address> parse_address(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  in_addr ip{};
  Address out{std::string(text.substr(0, colon)), 0};
  const std::string_view port = text.substr(colon + 1);
  const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), out.port);
  if (error != std::errc{} || end != port.data() + port.size() || port.empty() ||
      ::inet_pton(AF_INET, out.host.c_str(), &ip) != 1)
    return std::nullopt;
  return out;
}
std::string to_text(const Address& address) { return address.host + ":" + std::to_string(address.port); }

std::uint64_t big_endian(std::string_view data, std::size_t at, std::size_t bytes) {
  std::uint64_t out = 0;
  for (std::size_t i = 0; i < bytes; ++i) out = out << 8U | static_cast<unsigned char>(data[at + i]);
  return out;
}
std::string hex16(std::uint64_t value) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
  return text;
}
namespace {
std::optional<std::uint64_t> parse_hex(std::string_view text, std::size_t digits) {
  std::uint64_t out = 0;
  if (text.size() != digits || text.find_first_not_of("0123456789abcdef") != std::string_view::npos)
    return std::nullopt;
  std::from_chars(text.data(), text.data() + text.size(), out, 16);
  return out;
}
}  // namespace
std::optional<std::uint64_t> parse_hex16(std::string_view text) { return parse_hex(text, 16); }
std::string office_name(ServerId id) { return "s-" + hex16(static_cast<std::uint32_t>(id)).substr(8); }
std::optional<ServerId> parse_office_name(std::string_view text) {
  if (text.substr(0, 2) != "s-") return std::nullopt;
  const auto id = parse_hex(text.substr(2), 8);
  return id ? std::optional(ServerId{static_cast<std::uint32_t>(*id)}) : std::nullopt;
}
void each_figure(std::string_view text, const std::function<void(std::string_view, double)>& take) {
  while (!text.empty()) {
    const std::string_view one = text.substr(0, text.find(';'));
    text.remove_prefix(std::min(one.size() + 1, text.size()));
    const std::size_t colon = one.find(':');
    if (colon == std::string_view::npos) continue;
    if (const auto figure = read_number(one.substr(colon + 1))) take(one.substr(0, colon), *figure);
  }
}
void log_line(const std::string& text) {
  const std::string line = std::to_string(clocks::unix_ms(wall_now())) + " " + text + "\n";
  static_cast<void>(!::write(2, line.data(), line.size()));
}

}  // namespace reeltack::base
