// The figures' counts and their text. No I/O, no clock.
#include "figures/figures.h"

namespace reeltack::figures {

Figures::Figures(std::size_t classes) : classes_(classes), tallies_(std::make_unique<Tally[]>(classes)) {}

void Figures::ended(std::uint32_t call_class, End how) {
  if (call_class >= classes_) return;
  tallies_[call_class].by_end[static_cast<int>(how)].fetch_add(1, std::memory_order_relaxed);
}

void Figures::listed(std::size_t all, std::size_t down) {
  hosts_listed_.store(all, std::memory_order_relaxed);
  hosts_down_.store(down, std::memory_order_relaxed);
}

std::uint64_t Figures::count(std::uint32_t call_class, End how) const {
  if (call_class >= classes_) return 0;
  return tallies_[call_class].by_end[static_cast<int>(how)].load(std::memory_order_relaxed);
}

std::string Figures::render(const std::vector<std::string>& names, std::uint64_t inflight) const {
  std::string out;
  const auto line = [&out](const std::string& name, std::uint64_t value) {
    out += "proxy." + name + "=" + std::to_string(value) + "\n";
  };
  constexpr const char* kEnds[] = {"success", "busy", "failure"};
  for (int how = 0; how < 3; ++how) {
    for (std::size_t c = 0; c < classes_ && c < names.size(); ++c)
      line(std::string(kEnds[how]) + "." + names[c],
           count(static_cast<std::uint32_t>(c), static_cast<End>(how)));
  }
  line("backend_calls", backend_calls());
  line("inflight", inflight);
  line("hosts_listed", hosts_listed_.load(std::memory_order_relaxed));
  line("hosts_down", hosts_down_.load(std::memory_order_relaxed));
  return out;
}

}  // namespace reeltack::figures
