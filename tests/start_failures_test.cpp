// Failures found at the start and without a list of servers; each test fails without its answer.
#include "gateway.h"

namespace reeltack::test {
namespace {

TEST(NoServers, CallsWaitForTheListAndAreSentWhenItComes) {
  Gateway g;
  g.list({});
  g.arrive(1);
  EXPECT_TRUE(g.sends.empty());
  g.pass(200ms);
  g.list({ready(10, 0)}, false);
  EXPECT_TRUE(g.sent_to(1, 10));
}

TEST(LogLines, NameTheSymptomOnceInAWhile) {
  Gateway g;
  g.list({ready(10, 0)});
  std::vector<std::string> lines;
  for (std::uint64_t id = 1; id <= 60; ++id) {
    g.arrive(id);
    for (auto& [call, e] : g.book()) {
      if (!e.out) continue;
      g.ends(static_cast<std::uint64_t>(call), AttemptOutcome::connect_failed);
      for (const Action& a : g.last) {
        if (const auto* line = std::get_if<LogLine>(&a)) lines.push_back(line->text);
      }
    }
    g.pass(200ms);
  }
  EXPECT_EQ(lines, std::vector<std::string>{"server 10 fails in a row, rests between trials"});
}

TEST(AskedList, IsAskedForAtStartAndAgainAfterAFailure) {
  Settings s = plain_settings();
  s.must_ask_for_list = true;
  s.must_ask_in = 10s;
  Gateway g(s);
  g.list({ready(10, 0)});
  EXPECT_EQ(g.asked_for_list, 1);
  g.on(ServerListFailed{});
  g.pass(5s);
  EXPECT_EQ(g.asked_for_list, 2);
}

// Found by the sanitizer in the real program: without a rule on cold servers the rates of the first turn were
// infinite, and a turn's interval was no number.
TEST(FirstTurn, IntervalsAreNumbersWithoutARuleOnColdServers) {
  Settings settings = plain_settings();
  settings.fall_span = {};
  settings.ramp = {};
  Gateway g(settings);
  g.list({ready(10, 0)});
  g.arrive(1);
  g.pass(500ms);
  EXPECT_TRUE(g.sent_to(1, 10));
}

}  // namespace
}  // namespace reeltack::test
