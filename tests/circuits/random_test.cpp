// Properties of trunk groups on long random runs.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "connected_ends.h"

namespace reeltack::circuits::test {
namespace {

using namespace std::chrono_literals;

// Long random runs of everything at once. Whatever comes, the books add up at each step, and left in peace
// both ends agree within the bound. `fair`: restarts, lost circuits and blocks at once are among it, which
// may cut what stands; without them no audit may cut a call that stands at both ends.
void random_run(std::uint64_t seed, bool fair) {
  std::uint64_t x = mix(seed);
  const auto draw = [&x](std::uint64_t below) { return (x = mix(x + 0x9e3779b97f4a7c15ULL)) % below; };
  const auto size = static_cast<std::uint32_t>(1 + draw(12));
  const auto hunting = static_cast<Hunting>(draw(3));
  Ends w(settings_of(size, true, hunting), settings_of(size, false, hunting));
  w.connect();
  w.cut_is_fair = fair;
  std::uint64_t calls = 0;
  const auto steps = 50 + draw(400);
  for (std::uint64_t i = 0; i < steps; ++i) {
    const std::size_t end = draw(2);
    const auto cic = static_cast<Cic>(draw(size));
    const auto some = static_cast<std::uint32_t>(1 + draw(size - cic));
    const auto pick = [&](Fate fate) -> std::uint64_t {
      std::vector<std::uint64_t> found;
      for (const auto& [id, f] : w.calls[end]) {
        if (f == fate) found.push_back(id);
      }
      return found.empty() ? 0 : found[draw(found.size())];
    };
    GroupActions actions;
    switch (draw(24)) {
      case 0:
      case 1:
      case 2:
      case 3:
        if (w.up) w.originate(end, ++calls * 2 + end);
        break;
      case 4:
      case 5:
      case 6:
        if (const auto id = pick(Fate::offered)) w.answer(end, id);
        break;
      case 7:
        if (const auto id = pick(Fate::stands)) w.release(end, id, w.ends[end].holds(id, true));
        break;
      case 8:
        if (const auto id = pick(Fate::out)) w.release(end, id, true);
        break;
      case 9:
        if (const auto id = pick(Fate::offered)) w.release(end, id, false);
        break;
      case 10:
        w.ends[end].block(w.now, cic, some, fair && draw(3) == 0, actions);
        break;
      case 11:
        w.ends[end].unblock(w.now, cic, some, actions);
        break;
      case 12:
        if (fair && draw(4) == 0) w.ends[end].lose(w.now, cic, some, actions);
        break;
      case 13:
        w.ends[end].restore(w.now, cic, some, actions);
        break;
      case 14:
        if (draw(6) == 0) w.disconnect();
        break;
      case 15:
        if (!w.up) w.connect();
        break;
      case 16:
        if (fair && draw(10) == 0) w.restart(end);
        break;
      case 17:
        w.now += std::chrono::milliseconds(draw(1500));
        w.fire(0);
        w.fire(1);
        break;
      default:
        w.deliver(end);
        break;
    }
    w.carry_out(end, actions);
    RC_ASSERT(w.ends[0].size() == size);
  }
  if (!w.up) w.connect();
  for (const std::size_t end : {kHigh, kLow}) {
    GroupActions actions;
    w.ends[end].restore(w.now, 0, size, actions);
    w.ends[end].unblock(w.now, 0, size, actions);
    w.carry_out(end, actions);
  }
  w.quiet(bound(w) + 8s);  // and the releases that were said again
  w.settled();
  for (const std::size_t end : {kHigh, kLow})
    RC_ASSERT(w.ends[end].selectable() == size - w.ends[end].busy());
}

RC_GTEST_PROP(Random, BothEndsAgreeOnceTheNetworkIsQuiet, (std::uint32_t seed)) { random_run(seed, true); }

RC_GTEST_PROP(Random, NoAuditCutsWhatStandsAtBothEnds, (std::uint32_t seed)) { random_run(seed, false); }

}  // namespace
}  // namespace reeltack::circuits::test
