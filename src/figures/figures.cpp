#include "figures/figures.h"

namespace reeltack::figures {

Metrics::Metrics(std::size_t classes)
    : classes_(classes), counters_(std::make_unique<ClassCounters[]>(classes)) {}

void Metrics::count_request(std::uint32_t call_class, Outcome outcome) {
  if (call_class >= classes_) return;
  counters_[call_class].by_outcome[static_cast<int>(outcome)].fetch_add(1, std::memory_order_relaxed);
}

void Metrics::set_hosts(std::size_t listed, std::size_t down) {
  hosts_listed_.store(listed, std::memory_order_relaxed);
  hosts_down_.store(down, std::memory_order_relaxed);
}

std::uint64_t Metrics::count(std::uint32_t call_class, Outcome outcome) const {
  if (call_class >= classes_) return 0;
  return counters_[call_class].by_outcome[static_cast<int>(outcome)].load(std::memory_order_relaxed);
}

std::string Metrics::render(const std::vector<std::string>& names, std::uint64_t inflight) const {
  std::string out;
  const auto line = [&out](const std::string& name, std::uint64_t value) {
    out += "proxy." + name + "=" + std::to_string(value) + "\n";
  };
  constexpr const char* kNames[] = {"success", "busy", "failure"};
  for (int outcome = 0; outcome < 3; ++outcome) {
    for (std::size_t c = 0; c < classes_ && c < names.size(); ++c)
      line(std::string(kNames[outcome]) + "." + names[c],
           count(static_cast<std::uint32_t>(c), static_cast<Outcome>(outcome)));
  }
  line("backend_calls", backend_calls());
  line("inflight", inflight);
  line("hosts_listed", hosts_listed_.load(std::memory_order_relaxed));
  line("hosts_down", hosts_down_.load(std::memory_order_relaxed));
  return out;
}

}  // namespace reeltack::figures
