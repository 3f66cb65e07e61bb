// The adapter's wire: the operators' worked examples, and malformed input.
#include <gtest/gtest.h>

#include <random>

#include "host.h"
#include "wire_bytes.h"

namespace reeltack::wire {

namespace {

TEST(WorkedExample, EmptyBatchAndItsReply) {
  const Bytes in = hex("00000001 00000001f568bf90 00000004 00000000");
  EXPECT_EQ(body_length(in), 0U);
  const Batch batch = decode_batch(in);
  EXPECT_EQ(batch.number, 1U);
  EXPECT_EQ(batch.now, Time{Duration{0x1f568bf90}});
  EXPECT_TRUE(batch.records.empty());
  EXPECT_EQ(ReplyWriter(1).finish(), hex("00000001 00000004 00000000"));
}

TEST(WorkedExample, EventsOfTwoInstances) {
  const Batch batch = decode_batch(hex(
      "0000000c 00000001f568bf90 00000066 00000005"
      "09 00000004 00000003"
      "01 00000031 000336245d3a91c4 44960000 91f03b7c55d20a64 0000 0000000000b71b00 0000000203b6db90 0000 "
      "43800000 01 42640000"
      "0b 00000008 000000000000004d"
      "09 00000004 00000005"
      "02 00000008 000efb9b0e6f2b19"));
  ASSERT_EQ(batch.records.size(), 5U);
  EXPECT_EQ(std::get<About>(batch.records[0]).instance, 3U);
  const auto& call = std::get<CallArrived>(batch.records[1]);
  EXPECT_EQ(call.call, CallId{0x000336245d3a91c4});
  EXPECT_EQ(call.number, CalledNumber{0x91f03b7c55d20a64});
  EXPECT_EQ(call.work_hint, Duration{12000000});
  EXPECT_EQ(call.caller_leaves_at, Time{Duration{0x203b6db90}});
  EXPECT_EQ(call.destination, 57U);
  EXPECT_FALSE(call.redial || call.in_transit || call.dropped_before);
  EXPECT_EQ(std::get<TimerFired>(batch.records[2]).token, TimerToken{0x4d});
  EXPECT_EQ(std::get<About>(batch.records[3]).instance, 5U);
  EXPECT_EQ(std::get<CallerLeft>(batch.records[4]).call, CallId{0x000efb9b0e6f2b19});
}

TEST(WorkedExample, ReplyOfTwoInstances) {
  ReplyWriter reply(12);
  reply.about(3);
  reply.action(SendSetUp{CallId{0x000336245d3a91c4}, ServerId{0x03124a07}, Time{Duration{0x1fa2d7390}}});
  reply.action(SetTimer{Time{Duration{0x213362490}}, TimerToken{0x4d}});
  reply.about(5);
  reply.action(LogLine{"two servers known"});
  EXPECT_EQ(reply.finish(), hex("0000000c 0000005c 00000005"
                                "0c 00000004 00000003"
                                "00 00000014 000336245d3a91c4 03124a07 00000001fa2d7390"
                                "04 00000010 0000000213362490 000000000000004d"
                                "0c 00000004 00000005"
                                "08 00000013 0011 74776f2073657276657273206b6e6f776e"));
}

TEST(WorkedExample, ListAndAnnouncement) {
  const Batch batch =
      decode_batch(framed(3, hex("09 00000004 00000003"
                                 "00 00000031 00 00000002 0000 00 3f800000 01 0000 0000000000000000 03124a07 "
                                 "0001 00 3fc00000 01 0000 000000016b969d00 2c9011f2"
                                 "05 0000000a 0000000000000029 02 00")));
  const auto& list = std::get<List>(batch.records[1]);
  ASSERT_EQ(list.entries.size(), 2U);
  EXPECT_EQ(list.entries[1].server, ServerId{0x2c9011f2});
  EXPECT_DOUBLE_EQ(list.entries[1].capacity, 1.5);
  EXPECT_EQ(list.entries[1].started_at, Time{Duration{0x16b969d00}});
  EXPECT_EQ(std::get<Announce>(batch.records[2]).form, AnnounceForm::cached);
}

TEST(WorkedExample, FinishedAndPeerMessage) {
  const Batch batch = decode_batch(
      framed(1, hex("08 0000001e 000336245d3a91c4 00000000 0000 03124a07 01 0000 00000000011a49a0 00")));
  const auto& finished = std::get<Finished>(batch.records[0]).ended;
  EXPECT_TRUE(finished.call_ended);
  EXPECT_EQ(finished.outcome, AttemptOutcome::ok);
  EXPECT_EQ(finished.elapsed, Duration{0x11a49a0});
  ReplyWriter reply(1);
  reply.action(SendToPeers{{0x68, 0x69, 0x20, 0x37}});
  EXPECT_EQ(reply.finish(), hex("00000001 00000011 00000001 07 00000008 ffff 0004 68692037"));
}

TEST(Decoding, AFullProcessorReportsItsRequestedWait) {
  const Batch batch = decode_batch(
      framed(1, hex("08 0000001e 0000000000000001 00000c83 0001 00000007 00 0008 0000000000000000 00")));
  const auto& ended = std::get<Finished>(batch.records[0]).ended;
  EXPECT_EQ(ended.outcome, AttemptOutcome::full);
  EXPECT_EQ(ended.reason, FullReason::processor);
  EXPECT_EQ(ended.requested_wait, std::chrono::milliseconds{200});
}

TEST(MalformedInput, IsRejectedAndUnknownCodesAreSkipped) {
  EXPECT_THROW(body_length(hex("00000001 00000001f568bf90 00000003 00000000")), WireError);
  EXPECT_THROW(decode_batch(framed(1, hex("02 00000004 00000001"))), WireError);  // fields too short
  EXPECT_THROW(decode_batch(framed(2, hex("09 00000004 00000001"))), WireError);  // a record is missing
  EXPECT_THROW(decode_batch(framed(1, hex("09 00000004 00000001 00"))),
               WireError);  // a byte after the last record
  EXPECT_THROW(decode_batch(framed(1, hex("00 00000005 00 ffffffff"))),
               WireError);  // the count exceeds the input
  EXPECT_EQ(decode_batch(framed(1, hex("63 00000003 010203"))).records.size(), 0U);  // unknown: skipped
  EXPECT_EQ(decode_batch(framed(1, hex("09 00000006 00000001 0203"))).records.size(),
            1U);  // longer: a later version of the record
}

TEST(MalformedInput, FuzzedFramesAreDecodedOrRejected) {
  std::mt19937_64 random(20261128);
  const Bytes good =
      framed(5, hex("09 00000004 00000003"
                    "00 00000031 00 00000002 0000 00 3f800000 01 0000 0000000000000000 03124a07 "
                    "0001 00 3fc00000 01 0000 000000016b969d00 2c9011f2"
                    "05 0000000a 0000000000000029 02 00"
                    "01 00000031 000336245d3a91c4 44960000 91f03b7c55d20a64 0000 0000000000b71b00 "
                    "0000000203b6db90 0000 "
                    "43800000 01 42640000"
                    "08 0000001e 000336245d3a91c4 00000000 0000 03124a07 01 0000 00000000011a49a0 00"));
  std::size_t rejected = 0;
  std::size_t decoded = 0;
  for (int i = 0; i < 20000; ++i) {
    Bytes bytes = good;
    for (std::uint64_t n = random() % 6; n > 0; --n)
      bytes[random() % bytes.size()] = static_cast<std::uint8_t>(random());
    if (random() % 3 == 0) bytes.resize(random() % (bytes.size() + 1));
    try {
      Host host([](const std::string&) {});
      host.answer(bytes);
      ++decoded;
    } catch (const WireError&) {
      ++rejected;
    }
  }
  EXPECT_GT(rejected, 1000U);
  EXPECT_GT(decoded, 1000U);
}

}  // namespace
}  // namespace reeltack::wire
