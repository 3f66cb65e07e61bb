// What waits for a trunk's connection: in order, whole, and each set-up with the patience left as it leaves.
#include "trunk/outbox.h"

#include <gtest/gtest.h>

namespace reeltack::trunk {
namespace {

using namespace std::chrono_literals;
using circuits::Kind;

constexpr Time kBegun{100s};

Signal set_up(std::uint64_t call, std::size_t description = 10) {
  Signal out;
  out.message.kind = Kind::iam;
  out.message.cic = 3;
  out.message.call = call;
  out.set_up = {"voice", 7, 0, 0, false};
  out.description = std::string(description, 'd');
  return out;
}

// All frames of these bytes.
std::vector<Frame> frames(std::string_view bytes) {
  std::vector<Frame> out;
  std::size_t used = 0;
  while (!bytes.empty()) {
    const std::optional<Frame> frame = decode(bytes, used);
    if (!frame) break;
    out.push_back(*frame);
    bytes.remove_prefix(used);
  }
  EXPECT_TRUE(bytes.empty()) << "the last frame is not whole";
  return out;
}

std::uint32_t patience(const Frame& frame) { return frame.signal->set_up.patience_ms; }

TEST(Outbox, ASetUpSaysWhatIsLeftAsItLeavesNotAsItWasQueued) {
  Outbox outbox;
  outbox.add(set_up(1), kBegun + 3s);
  outbox.add(set_up(2), kBegun + 1s);
  const std::vector<Frame> sent = frames(outbox.due(kBegun + 400ms));
  ASSERT_EQ(sent.size(), 2U);
  EXPECT_EQ(patience(sent[0]), 2600U);
  EXPECT_EQ(patience(sent[1]), 600U);
}

// Rounded down, never below nought (the far end refuses it then), an hour at the most.
TEST(Outbox, PatienceIsRoundedDownAndBounded) {
  Outbox outbox;
  outbox.add(set_up(1), kBegun + 1'999'999ns);
  outbox.add(set_up(2), kBegun - 1s);
  outbox.add(set_up(3), Time::max());
  const std::vector<Frame> sent = frames(outbox.due(kBegun));
  ASSERT_EQ(sent.size(), 3U);
  EXPECT_EQ(patience(sent[0]), 1U);
  EXPECT_EQ(patience(sent[1]), 0U);
  EXPECT_EQ(patience(sent[2]), 3'600'000U);
}

// The far end reads nothing for a second: what had not begun to leave says so.
TEST(Outbox, WhatAStalledFarEndHasNotTakenIsWorkedOutAnew) {
  Outbox outbox;
  outbox.add(set_up(1), kBegun + 3s);
  outbox.add(set_up(2), kBegun + 3s);
  std::string wire = outbox.due(kBegun).substr(0, 5);  // a part of the first
  outbox.written(5);
  wire += outbox.due(kBegun + 1s);
  const std::vector<Frame> sent = frames(wire);
  ASSERT_EQ(sent.size(), 2U);
  EXPECT_EQ(patience(sent[0]), 3000U) << "it had begun to leave";
  EXPECT_EQ(patience(sent[1]), 2000U);
}

// Written in parts of any size, with a ping between: all signals arrive whole, once and in order.
TEST(Outbox, GivesEachSignalOnceAndInOrderHoweverItIsWritten) {
  constexpr std::uint64_t kSignals = 40;
  for (std::size_t part = 1; part < 400; part += 7) {
    Outbox outbox;
    std::string wire;
    const auto write_part = [&] {
      const std::string due = outbox.due(kBegun);
      const std::size_t bytes = std::min(part, due.size());
      wire += due.substr(0, bytes);
      outbox.written(bytes);
      return !due.empty();
    };
    for (std::uint64_t call = 0; call < kSignals; ++call) {
      outbox.add(set_up(call, call * 5), kBegun + 1s);
      write_part();
    }
    while (write_part()) continue;
    outbox.add_ping();
    while (write_part()) continue;
    EXPECT_EQ(outbox.bytes(), 0U);
    const std::vector<Frame> sent = frames(wire);
    ASSERT_EQ(sent.size(), kSignals + 1) << part;
    for (std::uint64_t call = 0; call < kSignals; ++call) EXPECT_EQ(sent[call].signal->message.call, call);
    EXPECT_FALSE(sent[kSignals].signal) << "the ping";
  }
}

TEST(Outbox, CountsWhatWaitsAndForgetsItWithTheConnection) {
  Outbox outbox;
  for (std::uint64_t call = 0; call < 100; ++call) outbox.add(set_up(call, 4096), kBegun + 1s);
  EXPECT_GE(outbox.bytes(), 100U * 4096U);
  const std::string due = outbox.due(kBegun);
  EXPECT_LT(due.size(), 32U * 1024U) << "a part at a time";
  outbox.written(100);
  outbox.clear();
  EXPECT_EQ(outbox.bytes(), 0U);
  EXPECT_TRUE(outbox.due(kBegun).empty());
}

}  // namespace
}  // namespace reeltack::trunk
