// Terms: what several gateways that return together may take and send. Without them nothing changes.
#include "gateway.h"

namespace reeltack::test {
namespace {

Settings advising() {
  Settings s = plain_settings();
  s.may_advise_retry = true;
  s.retry_advice_cap = 2s;
  return s;
}
ServerEntry cold(std::uint32_t id, Time started) {
  ServerEntry out = ready(id, 0);
  out.started_at = started;
  return out;
}
// Set-ups that leave to server 10 in so long where a call arrives every 10 ms and each is answered 10 ms
// after it left.
std::size_t sent_within(Gateway& g, Duration span) {
  std::uint64_t id = 10'000;
  std::size_t answered = g.sends.size();
  const std::size_t before = answered;
  for (const Time end = g.now + span; g.now < end;) {
    g.arrive(++id);
    const std::size_t left = g.sends.size();
    g.pass(10ms);
    for (; answered < left; ++answered) g.stands(static_cast<std::uint64_t>(g.sends[answered].call));
  }
  return static_cast<std::size_t>(std::count_if(g.sends.begin() + static_cast<std::ptrdiff_t>(before),
                                                g.sends.end(),
                                                [](const SendSetUp& s) { return s.server == ServerId{10}; }));
}

TEST(Terms, AClosedClassIsRefusedAtOnceWithWhenToComeBack) {
  Gateway g(advising());
  g.list({ready(10, 0)});
  g.on(AdmissionLimitsReceived{{Duration{700ms}, Duration{}}, {}});
  g.arrive(1, 0);
  ASSERT_TRUE(g.was_refused(1));
  const auto* refusal = std::get_if<Refuse>(&g.last.front());
  ASSERT_NE(refusal, nullptr);
  EXPECT_GE(refusal->retry_after, 700ms);
  EXPECT_LE(refusal->retry_after, 2s);
  g.arrive(2, 1);
  EXPECT_TRUE(g.sent_to(2, 10));
}

TEST(Terms, WhatTheNextTermsOpenIsTaken) {
  Gateway g(advising());
  g.list({ready(10, 0)});
  g.on(AdmissionLimitsReceived{{Duration{700ms}}, {}});
  g.on(AdmissionLimitsReceived{{}, {}});
  g.arrive(1, 0);
  EXPECT_TRUE(g.sent_to(1, 10));
}

TEST(Terms, AColdServerGetsNoMoreThanItsPace) {
  Gateway free;
  free.list({cold(10, free.now - 1s), ready(11, 0)});
  Gateway paced;
  paced.list({cold(10, paced.now - 1s), ready(11, 0)});
  paced.on(AdmissionLimitsReceived{{}, {{ServerId{10}, 500ms}}});
  const std::size_t without = sent_within(free, 5s);
  const std::size_t with = sent_within(paced, 5s);
  EXPECT_LE(with, 5s / 250ms);  // spread by half: 250 to 750 ms apart
  EXPECT_GE(with, 4U);
  EXPECT_GT(without, 2 * with);
}

TEST(Terms, AWarmServerIsNotPaced) {
  Gateway g;
  g.list({ready(10, 0)});
  g.on(AdmissionLimitsReceived{{}, {{ServerId{10}, 5s}}});
  EXPECT_GT(sent_within(g, 2s), 20U);
}

}  // namespace
}  // namespace reeltack::test
