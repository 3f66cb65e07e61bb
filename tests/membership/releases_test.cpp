// Which releases go again once their connection has ended, in told time at the bounds.
#include "membership/releases.h"

#include <gtest/gtest.h>

namespace reeltack::membership {
namespace {

using namespace std::chrono_literals;

Time at(Duration d) { return Time{1000s} + d; }
std::string ended(Releases& r, Duration when) {  // the texts, in order
  std::string out;
  for (const auto& [call, text] : r.ended(at(when))) out += text;
  return out;
}

TEST(Releases, WhatWasSentGoesAgainInItsOrderAndOnce) {
  Releases r;
  r.sent(CallId{1}, "a", at(0s));
  r.sent(CallId{2}, "b", at(1ms));
  EXPECT_EQ(ended(r, 10ms), "ab");
  EXPECT_EQ(ended(r, 11ms), "");
}

TEST(Releases, AWordOfTheFarEndSettlesWhatWasSentLongEnoughBefore) {
  Releases r({.crossing = 1s});
  r.sent(CallId{1}, "a", at(0s));
  r.sent(CallId{2}, "b", at(1ms));
  r.spoke(at(1s) - 1ns);
  EXPECT_EQ(r.size(), 2U);  // that word may have been on its way already
  r.spoke(at(1s));
  EXPECT_EQ(ended(r, 1s), "b");
}

TEST(Releases, WhatWasHeardDoesNotGoAgain) {
  Releases r;
  for (const int i : {1, 2, 3}) r.sent(CallId{std::uint64_t(i)}, std::to_string(i), at(0s));
  r.heard(CallId{2});
  r.heard(CallId{9});
  EXPECT_EQ(ended(r, 0s), "13");
}

TEST(Releases, WithoutAWordItIsOwedForeverOrUntilItIsSettledAsToldToBe) {
  Releases office;
  office.sent(CallId{1}, "a", at(0s));
  EXPECT_EQ(ended(office, 1h), "a");
  Releases caller({.settled = 1s});
  caller.sent(CallId{1}, "a", at(0s));
  caller.sent(CallId{2}, "b", at(1ns));
  EXPECT_EQ(ended(caller, 1s), "b");
}

TEST(Releases, OfMoreThanItsBoundTheOldestIsForgotten) {
  Releases r({.most = 2});
  for (const int i : {1, 2, 3}) r.sent(CallId{std::uint64_t(i)}, std::to_string(i), at(0s));
  EXPECT_EQ(ended(r, 0s), "23");
}

TEST(Releases, OfAFarEndThatDidNotReadAllGoAgainHoweverOld) {
  Releases r({.settled = 1s});
  r.sent(CallId{1}, "a", at(0s));
  r.sent(CallId{2}, "b", at(5s));
  EXPECT_EQ(r.unread().size(), 2U);
  EXPECT_EQ(ended(r, 5s), "");
}

}  // namespace
}  // namespace reeltack::membership
