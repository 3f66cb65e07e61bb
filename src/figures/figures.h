// The metrics that operators read, and their text form.
//
// Per class: requests served (success), refused (busy) and failed (failure); attempts sent to offices
// (backend_calls); listed offices and those avoided (hosts_listed, hosts_down). Totals count from the
// process's start and never decrease.
//
// Thread safety: any function may be called from any thread (requests and lists are counted on the core's
// thread, attempts on the threads that write them). Each counter is a relaxed atomic: a reader sees each
// value as it was at some moment of the last few microseconds, not all at the same instant.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace reeltack::figures {

// The result of a request as operators count it. Requests cancelled by their callers are not counted.
enum class Outcome { success, busy, failure };

class Metrics {
 public:
  explicit Metrics(std::size_t classes);
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Classes outside 0 .. classes-1 are not counted (their requests were refused for an unknown class).
  void count_request(std::uint32_t call_class, Outcome outcome);
  void count_attempt() { backend_calls_.fetch_add(1, std::memory_order_relaxed); }
  void set_hosts(std::size_t listed, std::size_t down);

  [[nodiscard]] std::uint64_t count(std::uint32_t call_class, Outcome outcome) const;
  [[nodiscard]] std::uint64_t backend_calls() const { return backend_calls_.load(std::memory_order_relaxed); }

  // One `proxy.NAME=VALUE` line per value, each ending in '\n', classes in the order of `names` (a class
  // without a name is omitted). The order of lines is fixed. `inflight`: the present number of open and
  // established calls.
  [[nodiscard]] std::string render(const std::vector<std::string>& names, std::uint64_t inflight) const;

 private:
  struct ClassCounters {
    std::atomic<std::uint64_t> by_outcome[3]{};
  };
  std::size_t classes_;
  std::unique_ptr<ClassCounters[]> counters_;
  std::atomic<std::uint64_t> backend_calls_{0};
  std::atomic<std::uint64_t> hosts_listed_{0};
  std::atomic<std::uint64_t> hosts_down_{0};
};

}  // namespace reeltack::figures
