#include "system_calls/every_call.h"

#include <gtest/gtest.h>

#include <iostream>

namespace reeltack::test {

void fail_each_call(const Kind& kind, const Play& play) {
  play(faults::count_only, true);
  const std::uint64_t visited = faults::visited(kind.call);
  std::uint64_t runs = 0;
  std::uint64_t hits = 0;
  const auto fail_each = [&](int error, bool undisturbed) {
    for (std::uint64_t n = 1; n <= visited && !::testing::Test::HasFailure(); ++n) {
      const faults::Fault fault{.call = kind.call, .error = error, .first = n};
      SCOPED_TRACE(to_text(fault));
      play([&] { faults::arm(fault); }, undisturbed);
      ++runs;
      hits += faults::failed();
    }
  };
  for (const int error : kind.transient) fail_each(error, true);
  for (const int error : kind.final) fail_each(error, false);
  std::cout << faults::name_of(kind.call) << ": visited " << visited << " times; " << runs << " runs, "
            << hits << " with a failed call\n";
  EXPECT_GT(visited, 0U);
}

}  // namespace reeltack::test
