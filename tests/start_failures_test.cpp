// Known failures at the start and without a server list. Each test fails without the code for its case.
#include "gateway.h"

namespace reeltack::test {
namespace {

TEST(NoServers, CallsWaitForTheListAndAreSentWhenItComes) {
  Gateway g;
  g.receive_list({});
  g.arrive(1);
  EXPECT_TRUE(g.sends.empty());
  g.advance(200ms);
  g.receive_list({ready(10, 0)}, false);
  EXPECT_TRUE(g.sent_to(1, 10));
}

TEST(LogLines, ReportASymptomOnlyOncePerRamp) {
  Gateway g;
  g.receive_list({ready(10, 0)});
  std::vector<std::string> lines;
  for (std::uint64_t id = 1; id <= 60; ++id) {
    g.arrive(id);
    for (auto& [call, record] : g.calls()) {
      if (!record.pending) continue;
      g.end_attempt(static_cast<std::uint64_t>(call), AttemptOutcome::connect_failed);
      for (const Action& a : g.last_actions) {
        if (const auto* line = std::get_if<LogLine>(&a)) lines.push_back(line->text);
      }
    }
    g.advance(200ms);
  }
  EXPECT_EQ(lines, std::vector<std::string>{"server 10 fails in a row, rests between trials"});
}

TEST(ServerListRequest, IsMadeAtStartAndAgainAfterAFailure) {
  Settings s = plain_settings();
  s.must_ask_for_list = true;
  s.must_ask_in = 10s;
  Gateway g(s);
  g.receive_list({ready(10, 0)});
  EXPECT_EQ(g.list_requests, 1);
  g.on(ServerListFailed{});
  g.advance(5s);
  EXPECT_EQ(g.list_requests, 2);
}

// Without a rule for cold servers the rates of the first step were infinite, and a send interval was not a
// number, as a sanitizer run showed.
TEST(FirstStep, IntervalsAreFiniteWithoutARuleForColdServers) {
  Settings settings = plain_settings();
  settings.fall_span = {};
  settings.ramp = {};
  Gateway g(settings);
  g.receive_list({ready(10, 0)});
  g.arrive(1);
  g.advance(500ms);
  EXPECT_TRUE(g.sent_to(1, 10));
}

}  // namespace
}  // namespace reeltack::test
