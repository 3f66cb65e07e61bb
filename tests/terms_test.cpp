// Admission limits of gateways that recover together: closed classes, and intervals between sends to cold
// servers. Without them nothing changes.
#include "gateway.h"

namespace reeltack::test {
namespace {

Settings settings_with_retry_advice() {
  Settings s = plain_settings();
  s.may_advise_retry = true;
  s.retry_advice_cap = 2s;
  return s;
}
ServerEntry cold(std::uint32_t id, Time started_at) {
  ServerEntry entry = ready(id, 0);
  entry.started_at = started_at;
  return entry;
}
// The number of set-ups sent to server 10 within this time if a call arrives every 10 ms and each set-up is
// answered 10 ms after it was sent.
std::size_t sent_within(Gateway& g, Duration span) {
  std::uint64_t id = 10'000;
  std::size_t answered = g.sends.size();
  const std::size_t before = answered;
  for (const Time end = g.now + span; g.now < end;) {
    g.arrive(++id);
    const std::size_t sent = g.sends.size();
    g.advance(10ms);
    for (; answered < sent; ++answered) g.establish(static_cast<std::uint64_t>(g.sends[answered].call));
  }
  return static_cast<std::size_t>(std::count_if(g.sends.begin() + static_cast<std::ptrdiff_t>(before),
                                                g.sends.end(),
                                                [](const SendSetUp& s) { return s.server == ServerId{10}; }));
}

TEST(AdmissionLimits, AClosedClassIsRefusedAtOnceWithRetryAdvice) {
  Gateway g(settings_with_retry_advice());
  g.receive_list({ready(10, 0)});
  g.on(AdmissionLimitsReceived{{Duration{700ms}, Duration{}}, {}});
  g.arrive(1, 0);
  ASSERT_TRUE(g.was_refused(1));
  const auto* refusal = std::get_if<Refuse>(&g.last_actions.front());
  ASSERT_NE(refusal, nullptr);
  EXPECT_GE(refusal->retry_after, 700ms);
  EXPECT_LE(refusal->retry_after, 2s);
  g.arrive(2, 1);
  EXPECT_TRUE(g.sent_to(2, 10));
}

TEST(AdmissionLimits, AClassThatTheNextLimitsOpenIsAdmitted) {
  Gateway g(settings_with_retry_advice());
  g.receive_list({ready(10, 0)});
  g.on(AdmissionLimitsReceived{{Duration{700ms}}, {}});
  g.on(AdmissionLimitsReceived{{}, {}});
  g.arrive(1, 0);
  EXPECT_TRUE(g.sent_to(1, 10));
}

TEST(AdmissionLimits, AColdServerGetsNoMoreThanItsSendIntervalAllows) {
  Gateway unlimited;
  unlimited.receive_list({cold(10, unlimited.now - 1s), ready(11, 0)});
  Gateway limited;
  limited.receive_list({cold(10, limited.now - 1s), ready(11, 0)});
  limited.on(AdmissionLimitsReceived{{}, {{ServerId{10}, 500ms}}});
  const std::size_t sent_unlimited = sent_within(unlimited, 5s);
  const std::size_t sent_limited = sent_within(limited, 5s);
  EXPECT_LE(sent_limited, 5s / 250ms);  // jittered by half: 250 to 750 ms apart
  EXPECT_GE(sent_limited, 4U);
  EXPECT_GT(sent_unlimited, 2 * sent_limited);
}

TEST(AdmissionLimits, AWarmServerIsNotLimited) {
  Gateway g;
  g.receive_list({ready(10, 0)});
  g.on(AdmissionLimitsReceived{{}, {{ServerId{10}, 5s}}});
  EXPECT_GT(sent_within(g, 2s), 20U);
}

}  // namespace
}  // namespace reeltack::test
