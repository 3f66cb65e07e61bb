// The figures that operators read: counts kept where the core decides, and their one spelling as text.
//
// Owns: per class the requests served (success), refused (busy) and failed (failure); attempts that left for
//   offices (backend_calls); the listed offices and those avoided (hosts_listed, hosts_down).
// Must never: do I/O, read a clock, start a thread, or decide anything.
//
// Threads: any may call any function (ends and lists come from the core's, attempts from who writes them);
// every count is a relaxed atomic, so a reader sees each figure true at some moment of the last few
// microseconds, not all at one instant. Counts run from the process's start and never go back.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace reeltack::figures {

// How a request ended, as the operators count it. A caller that left first is counted under none.
enum class End { success, busy, failure };

class Figures {
 public:
  explicit Figures(std::size_t classes);
  Figures(const Figures&) = delete;
  Figures& operator=(const Figures&) = delete;

  // A class outside 0 .. classes-1 is counted nowhere (its request was refused as of an unknown class).
  void ended(std::uint32_t call_class, End how);
  void attempted() { backend_calls_.fetch_add(1, std::memory_order_relaxed); }
  void listed(std::size_t all, std::size_t down);

  [[nodiscard]] std::uint64_t count(std::uint32_t call_class, End how) const;
  [[nodiscard]] std::uint64_t backend_calls() const { return backend_calls_.load(std::memory_order_relaxed); }

  // `inflight`: requests taken and not ended (open, or standing and not released), as the reader counts them
  // at this moment. One `proxy.NAME=VALUE` line each, each ending in '\n', classes in the order of `names` (a
  // class without a name is left out). The order of lines is fixed; a reader may rely on it.
  [[nodiscard]] std::string render(const std::vector<std::string>& names, std::uint64_t inflight) const;

 private:
  struct Tally {
    std::atomic<std::uint64_t> by_end[3]{};
  };
  std::size_t classes_;
  std::unique_ptr<Tally[]> tallies_;
  std::atomic<std::uint64_t> backend_calls_{0};
  std::atomic<std::uint64_t> hosts_listed_{0};
  std::atomic<std::uint64_t> hosts_down_{0};
};

}  // namespace reeltack::figures
