// What a play says of an office that falls, for a look by hand: who sent how much, under which bound.
//
// Owns: nothing. Must never: change the play.
#include <cstdio>

#include "return_run.h"

namespace reeltack::test {

void ReturnWorld::trace_fall(std::size_t k) {
  const double at = std::chrono::duration<double>(world_.now() - run_->begun).count();
  std::printf("  office %d fell at %.3f s, born %.3f\n", static_cast<int>(k), at,
              std::chrono::duration<double>(world_.offices[k].born - run_->begun).count());
  for (std::size_t i = 0; i < gateways_.size(); ++i) {
    int sent = 0;
    for (const auto& [key, a] : attempts_)
      sent += a.site == k && a.node == i && a.sent > world_.now() - 1s ? 1 : 0;
    double most = -2.0;
    unsigned long long start = 0;
    if (play_ == Play::fleet && world_.nodes[i].terms)
      for (const auto& line : world_.nodes[i].terms->offices)
        if (static_cast<std::uint32_t>(line.office.id) == k) most = line.max_rate, start = line.office.start;
    std::printf("    node %d sent %d, bound %.2f, start known %llu of %llu\n", static_cast<int>(i), sent,
                most, start, static_cast<unsigned long long>(world_.offices[k].is.start));
  }
}

}  // namespace reeltack::test
