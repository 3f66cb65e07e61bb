// Prints, for debugging by hand, how many set-ups each controller sent to an office that falls, and under
// which bound. It does not change the run.
#include <cstdio>

#include "return_run.h"

namespace reeltack::test {

void ReturnWorld::print_fall(std::size_t k) {
  const double at = std::chrono::duration<double>(world_.now() - load_run_->begun).count();
  std::printf("  office %d fell at %.3f s, started at %.3f s\n", static_cast<int>(k), at,
              std::chrono::duration<double>(world_.offices[k].started_at - load_run_->begun).count());
  for (std::size_t i = 0; i < gateways_.size(); ++i) {
    int sent = 0;
    for (const auto& [key, a] : attempts_)
      sent += a.site == k && a.node == i && a.sent > world_.now() - 1s ? 1 : 0;
    double max_rate = -2.0;
    unsigned long long start = 0;
    if (variant_ == Variant::fleet && world_.nodes[i].terms)
      for (const auto& line : world_.nodes[i].terms->offices)
        if (static_cast<std::uint32_t>(line.office.id) == k)
          max_rate = line.max_rate, start = line.office.start;
    std::printf("    node %d sent %d, bound %.2f, start known %llu of %llu\n", static_cast<int>(i), sent,
                max_rate, start, static_cast<unsigned long long>(world_.offices[k].identity.start));
  }
}

}  // namespace reeltack::test
