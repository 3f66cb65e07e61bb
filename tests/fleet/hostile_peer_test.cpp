// One faulty peer against real controllers: truncated messages, other versions, a flood. All of it is
// counted, and none costs memory or calls.
#include <gtest/gtest.h>

#include "hostile.h"

namespace reeltack::rig {
namespace {

using fleet::link::encode;
using fleet::link::RawSocket;

fleet::members::Message join_of(const std::string& name) {
  fleet::members::Message out;
  out.envelope = envelope_of(name);
  out.kind = fleet::members::Kind::join;
  out.sequence = 7;
  out.updates.push_back(
      {out.envelope.from, 1, fleet::members::Health::alive, {0x7f000001, 9}, name, "z9", {}});
  return out;
}
// 12 KiB of facts of one owner.
fleet::Exchange facts_of(const std::string& from, const std::string& owner, std::uint32_t step) {
  fleet::Exchange out = fleet::link::large(1);
  out.envelope = envelope_of(from);
  out.step = step;
  out.delta.owners[0].owner = member(owner);
  out.delta.owners[0].incarnation = 1;
  out.delta.owners[0].full = true;
  for (auto& fact : out.delta.owners[0].facts) {
    fact.owner = member(owner);
    fact.incarnation = 1;
    fact.key.subject = fact.version;
  }
  return out;
}
fleet::Exchange summary_of(const std::string& from) {
  fleet::Exchange out;
  out.envelope = envelope_of(from);
  out.summary.buckets.resize(fleet::facts::Summary::kBuckets, 1);
  return out;
}
bool is_decodable(const std::string& bytes) {
  try {
    static_cast<void>(fleet::link::decode_message(bytes));
    return true;
  } catch (const fleet::link::CodecError&) {
    return false;
  }
}
void send_until_closed(fleet::Endpoint to, const std::string& bytes) {
  const RawSocket one(SOCK_STREAM, 9);
  if (one.connect(to) && one.send(bytes)) static_cast<void>(one.closed());
}

TEST(HostilePeer, TruncatedMessagesAreCountedAndHaveNoOtherEffect) {
  Rig rig({.controllers = 3, .offices = 3, .store = false, .rate = 60.0, .load_duration = 8s});
  rig.pack().start_all();
  ASSERT_TRUE(reaches_full_service(rig, 3)) << rig.pack().member(0).log();
  rig.play();
  const std::int64_t before = rig.figure(0, "malformed");
  const std::string datagram = encode(join_of("stranger"));
  std::int64_t truncated = 0;
  const RawSocket udp(SOCK_DGRAM, 9);
  ASSERT_TRUE(udp.connect(link_of(rig, 0)));
  for (std::size_t i = 1; i < datagram.size(); ++i) {
    if (is_decodable(datagram.substr(0, i))) continue;  // cut between two fields: a valid shorter message
    ++truncated;
    ASSERT_TRUE(udp.send(datagram.substr(0, i)));
  }
  EXPECT_GT(truncated, 50);
  EXPECT_TRUE(rig.until(10s, [&] { return rig.figure(0, "malformed") - before >= truncated; }))
      << rig.figure(0, "malformed") << " of " << truncated;
  // An incomplete frame is no message at all, so the length is set to that of the truncated body: the frame
  // is refused and its connection closed.
  const std::string frame = encode(summary_of("stranger"));
  const std::int64_t datagrams = rig.figure(0, "malformed");
  std::int64_t mislabelled_frames = 0;
  for (std::size_t i = fleet::link::kFrameLengthBytes; i + 1 < frame.size(); i += 3) {
    std::string mislabelled = frame.substr(0, i);
    const std::size_t body = i - fleet::link::kFrameLengthBytes;
    mislabelled[2] = static_cast<char>(body >> 8U);
    mislabelled[3] = static_cast<char>(body & 255U);
    send_until_closed(link_of(rig, 0), mislabelled);
    ++mislabelled_frames;
  }
  EXPECT_TRUE(rig.until(10s, [&] { return rig.figure(0, "malformed") - datagrams >= mislabelled_frames; }))
      << rig.figure(0, "malformed") - datagrams << " of " << mislabelled_frames;
  const auto played = rig.played();
  EXPECT_GT(established(*played), played->recorder.all().planned * 9 / 10);
  EXPECT_EQ(played->recorder.violations().total(), 0U);
  EXPECT_TRUE(rig.all("alive", 3));
  EXPECT_TRUE(rig.all("failed", 0));
}

TEST(HostilePeer, OtherVersionsAndNonMembersAreRefusedAndCounted) {
  Rig rig({.controllers = 2, .offices = 2, .store = false});
  rig.pack().start_all();
  ASSERT_TRUE(reaches_full_service(rig, 2));
  const std::int64_t before = rig.figure(0, "refused");
  const RawSocket udp(SOCK_DGRAM, 9);
  ASSERT_TRUE(udp.connect(link_of(rig, 0)));
  for (const std::uint32_t version : {fleet::kOldestVersion - 1, fleet::kNewestVersion + 1, 0xffffffffU}) {
    auto message = join_of("other");
    message.envelope.version = version;
    ASSERT_TRUE(udp.send(encode(message)));
    auto exchange = summary_of("other");
    exchange.envelope.version = version;
    send_until_closed(link_of(rig, 0), encode(exchange));
  }
  auto non_member = join_of("other");
  ++non_member.envelope.fleet;
  ASSERT_TRUE(udp.send(encode(non_member)));
  EXPECT_TRUE(rig.until(10s, [&] { return rig.figure(0, "refused") - before >= 7; }))
      << rig.figure(0, "refused") - before;
  EXPECT_TRUE(rig.all("alive", 2));
}

TEST(HostilePeer, AFloodOfDatagramsAndFactsIsBoundedAndServiceContinues) {
  Rig rig({.controllers = 3, .offices = 3, .store = false, .rate = 60.0, .load_duration = 12s});
  rig.pack().start_all();
  ASSERT_TRUE(reaches_full_service(rig, 3));
  rig.play();
  const auto changes = rig.figure(0, "stage_changes");
  const double before = rig.pack().member(0).use().resident_mb;
  std::atomic<bool> stop{false};
  // Facts of invented owners, each connection as another peer, sent as fast as they are accepted.
  auto facts = std::async(std::launch::async, [&] {
    for (std::uint64_t n = 0; !stop; ++n) {
      const std::string from = "peer" + std::to_string(n);
      const RawSocket one(SOCK_STREAM, 9);
      if (!one.connect(link_of(rig, 0)) || !one.send(encode(summary_of(from)))) continue;
      if (one.send(encode(facts_of(from, "owner" + std::to_string(n), 2)))) static_cast<void>(one.closed());
    }
  });
  const RawSocket udp(SOCK_DGRAM, 9);
  ASSERT_TRUE(udp.connect(link_of(rig, 0)));
  const Time end = base::now() + 8s;
  for (std::uint64_t n = 0; base::now() < end; ++n) {
    // One name that sends too much, and a new name in every round.
    static_cast<void>(udp.send(encode(join_of("stranger"))));
    auto other = join_of("x" + std::to_string(n));
    other.updates.clear();
    static_cast<void>(udp.send(encode(other)));
    if (n % 50 == 0) ::usleep(2000);
  }
  stop = true;
  facts.get();
  const auto played = rig.played();
  EXPECT_GT(established(*played), played->recorder.all().planned * 9 / 10);
  EXPECT_EQ(played->recorder.violations().total(), 0U);
  const double after = rig.pack().member(0).use().resident_mb;
  std::printf("resident %.1f MB before, %.1f after; flooded %ld refused %ld facts %ld bytes %ld\n", before,
              after, rig.figure(0, "flooded"), rig.figure(0, "refused"), rig.figure(0, "facts"),
              rig.figure(0, "fact_bytes"));
  // Allows for the facts of non-members and for the members that the flood names.
  EXPECT_LT(after, before + 8.0);
  EXPECT_GT(rig.figure(0, "over_bound"), 0);
  EXPECT_GT(rig.figure(0, "flooded"), 0);
  EXPECT_TRUE(rig.all("failed", 0));
  EXPECT_TRUE(rig.all("stage", 5));
  EXPECT_EQ(rig.figure(0, "stage_changes"), changes);
}

}  // namespace
}  // namespace reeltack::rig
