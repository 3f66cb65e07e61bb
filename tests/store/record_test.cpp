// Encoding of records: the current layout, and the layout of older versions.
#include "store/record.h"

#include <gtest/gtest.h>
#include <xxhash.h>

namespace reeltack::store {
namespace {

constexpr std::size_t kBootAt = 11;  // offset, after the layout version, the format and the wall-clock time
constexpr std::size_t kBootBytes = 24;  // boot id, and the time since boot
constexpr std::size_t kSumBytes = 8;

StoredRecord record() {
  StoredRecord out;
  out.key = "key";
  out.value = "value";
  out.fleet = "fleet-1";
  out.owner = "n0";
  out.format = 3;
  out.written_at = clocks::WallTime{Duration{77}};
  out.written_since_boot = {{9, 8, 7}, Duration{55}};
  return out;
}

std::string with_sum(std::string body) {
  const std::string summed = std::string("\3\0", 2) + "key" + body;
  std::uint64_t sum = XXH3_64bits(summed.data(), summed.size());
  for (std::size_t i = 0; i < kSumBytes; ++i, sum >>= 8U) body += static_cast<char>(sum & 0xffU);
  return body;
}

TEST(StoreRecord, IsReadAsWritten) {
  std::string reason;
  const std::optional<StoredRecord> read = decode("key", encode(record()), reason);
  ASSERT_TRUE(read) << reason;
  EXPECT_EQ(read->value, "value");
  EXPECT_EQ(read->fleet + " " + read->owner, "fleet-1 n0");
  EXPECT_EQ(read->format, 3);
  EXPECT_EQ(read->written_at, record().written_at);
  EXPECT_EQ(read->written_since_boot.boot, record().written_since_boot.boot);
  EXPECT_EQ(read->written_since_boot.since_boot, record().written_since_boot.since_boot);
}

TEST(StoreRecord, OfAnOlderVersionIsReadWithoutABootId) {
  std::string body = encode(record());
  body.resize(body.size() - kSumBytes);
  body.erase(kBootAt, kBootBytes);
  body[0] = 1;
  std::string reason;
  const std::optional<StoredRecord> read = decode("key", with_sum(body), reason);
  ASSERT_TRUE(read) << reason;
  EXPECT_EQ(read->value, "value");
  EXPECT_EQ(read->fleet + " " + read->owner, "fleet-1 n0");
  EXPECT_EQ(read->written_at, record().written_at);
  EXPECT_EQ(read->written_since_boot.boot, clocks::BootId{});
}

TEST(StoreRecord, WithAnUnknownLayoutOrTruncatedIsRejected) {
  std::string body = encode(record());
  body.resize(body.size() - kSumBytes);
  std::string reason;
  for (const char form : {'\0', '\3'}) {
    body[0] = form;
    EXPECT_FALSE(decode("key", with_sum(body), reason));
    EXPECT_NE(reason.find("has layout version"), std::string::npos) << reason;
  }
  body[0] = 2;
  for (std::size_t length = 0; length < kBootAt + kBootBytes; ++length)
    EXPECT_FALSE(decode("key", with_sum(body.substr(0, length)), reason)) << length;
}

}  // namespace
}  // namespace reeltack::store
