// Properties of trunk groups in long random runs.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "connected_ends.h"

namespace reeltack::circuits::test {
namespace {

using namespace std::chrono_literals;

// A long random run of all events. The invariants hold at each step, and left alone both ends agree
// within the settle time. `drops_allowed`: includes restarts, lost circuits and immediate blocks, which
// may drop established calls; without them no audit may drop a call that is established at both ends.
void random_run(std::uint64_t seed, bool drops_allowed) {
  std::uint64_t x = mix(seed);
  const auto draw = [&x](std::uint64_t below) { return (x = mix(x + 0x9e3779b97f4a7c15ULL)) % below; };
  const auto size = static_cast<std::uint32_t>(1 + draw(12));
  const auto hunting = static_cast<Hunting>(draw(3));
  Ends w(settings_of(size, true, hunting), settings_of(size, false, hunting));
  w.connect();
  w.drops_allowed = drops_allowed;
  std::uint64_t calls = 0;
  const auto steps = 50 + draw(400);
  for (std::uint64_t i = 0; i < steps; ++i) {
    const std::size_t end = draw(2);
    const auto cic = static_cast<Cic>(draw(size));
    const auto some = static_cast<std::uint32_t>(1 + draw(size - cic));
    const auto pick = [&](CallState call_state) -> std::uint64_t {
      std::vector<std::uint64_t> found;
      for (const auto& [id, f] : w.calls[end]) {
        if (f == call_state) found.push_back(id);
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
        if (const auto id = pick(CallState::offered)) w.answer(end, id);
        break;
      case 7:
        if (const auto id = pick(CallState::established)) w.release(end, id, w.ends[end].holds(id, true));
        break;
      case 8:
        if (const auto id = pick(CallState::out)) w.release(end, id, true);
        break;
      case 9:
        if (const auto id = pick(CallState::offered)) w.release(end, id, false);
        break;
      case 10:
        w.ends[end].block(w.now, cic, some, drops_allowed && draw(3) == 0, actions);
        break;
      case 11:
        w.ends[end].unblock(w.now, cic, some, actions);
        break;
      case 12:
        if (drops_allowed && draw(4) == 0) w.ends[end].lose(w.now, cic, some, actions);
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
        if (drops_allowed && draw(10) == 0) w.restart(end);
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
  w.run_for(settle_time(w) + 8s);  // plus the repeated releases
  w.check_settled();
  for (const std::size_t end : {kHigh, kLow})
    RC_ASSERT(w.ends[end].selectable() == size - w.ends[end].busy());
}

RC_GTEST_PROP(Random, BothEndsAgreeOnceTheNetworkIsQuiet, (std::uint32_t seed)) { random_run(seed, true); }

RC_GTEST_PROP(Random, NoAuditDropsACallEstablishedAtBothEnds, (std::uint32_t seed)) {
  random_run(seed, false);
}

}  // namespace
}  // namespace reeltack::circuits::test
