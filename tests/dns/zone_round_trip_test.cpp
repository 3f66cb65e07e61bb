// What dynamic updates bring into a zone is written so that the next start reads the same zone.
#include <gtest/gtest.h>

#include <random>
#include <set>

#include "dns/numbers.h"
#include "dns/update_message.h"
#include "dns/zone.h"

namespace reeltack::test {
namespace {

constexpr std::uint16_t kClassIn = 1;
constexpr unsigned kSeed = 20261205;
const char* const kZone = "$ORIGIN t.example.\n$TTL 60\n@ SOA ns h 5 1 1 1 1\n  NS ns\nns A 127.0.0.9\n";

std::string record(const std::string& name, std::uint16_t type, std::uint32_t ttl, const std::string& data) {
  std::string out = dns::name_to_wire(name);
  dns::append16(out, type);
  dns::append16(out, kClassIn);
  dns::append32(out, ttl);
  dns::append16(out, data.size());
  return out + data;
}

// `records`: one after the other, `count` of them.
std::string update_with(const std::string& records, std::size_t count = 1) {
  std::string out;
  dns::append16(out, 1);
  dns::append16(out, 5U << 11U);  // UPDATE
  for (const std::size_t length : {std::size_t{1}, std::size_t{0}, count, std::size_t{0}})
    dns::append16(out, length);
  out += dns::name_to_wire("t.example.");
  dns::append16(out, dns::kSoa);
  dns::append16(out, kClassIn);
  return out + records;
}

std::string character_string(const std::string& octets) { return static_cast<char>(octets.size()) + octets; }

// Applies the update, and reads the zone as the next start does.
void expect_readable_after(dns::Zone& zone, const std::string& record) {
  bool changed = false;
  ASSERT_EQ(dns::apply_update(zone, update_with(record), changed), dns::kNoError);
  ASSERT_TRUE(changed);
  const std::string written = zone.text();
  try {
    EXPECT_EQ(dns::Zone::read(written, "zone").text(), written);
  } catch (const dns::ZoneError& error) {
    ADD_FAILURE() << error.what() << " in\n" << written;
  }
}

// Guards against a confirmed update that keeps the program from starting again.
TEST(ZoneRoundTrip, EachOctetOfACharacterStringIsReadBack) {
  for (int octet = 0; octet < 256; ++octet) {
    dns::Zone zone = dns::Zone::read(kZone, "zone");
    const std::string octets = {'a', static_cast<char>(octet), '1'};
    expect_readable_after(zone, record("x.t.example.", dns::kTxt, 60, character_string(octets)));
    SCOPED_TRACE("octet " + std::to_string(octet));
    const dns::Zone again = dns::Zone::read(zone.text(), "zone");
    const dns::RecordSet* read = again.find("x.t.example.", dns::kTxt);
    ASSERT_NE(read, nullptr);
    EXPECT_EQ(*read->data.begin(), character_string(octets));
  }
}

// Guards against the same by long strings, empty ones, and several in a record: each record alone, and all of
// them in one zone. Reading a zone that grows by each of them would take a sanitized build a minute.
TEST(ZoneRoundTrip, CharacterStringsOfEachLengthAreReadBack) {
  std::mt19937 random(kSeed);
  std::string all_records;
  std::set<std::string> written;
  for (std::size_t length = 0; length < 256; ++length) {
    std::string octets;
    while (octets.size() < length) octets += static_cast<char>(random());
    const std::string data = character_string(octets) + character_string("") + character_string(octets);
    const std::string added = record("x.t.example.", dns::kTxt, 60, data);
    dns::Zone zone = dns::Zone::read(kZone, "zone");
    expect_readable_after(zone, added);
    const dns::Zone again = dns::Zone::read(zone.text(), "zone");
    EXPECT_TRUE(again.find("x.t.example.", dns::kTxt)->data.contains(data)) << "length " << length;
    all_records += added;
    written.insert(data);
  }
  dns::Zone all = dns::Zone::read(kZone, "zone");
  bool changed = false;
  ASSERT_EQ(dns::apply_update(all, update_with(all_records, written.size()), changed), dns::kNoError);
  const dns::Zone again = dns::Zone::read(all.text(), "zone");
  const auto& read = again.find("x.t.example.", dns::kTxt)->data;
  EXPECT_EQ(std::set<std::string>(read.begin(), read.end()), written);
  EXPECT_EQ(again.text(), all.text());
}

// Guards against the same by a TTL with the highest bit set, which counts as 0 (RFC 2181, 8).
TEST(ZoneRoundTrip, EachTtlIsReadBack) {
  for (const std::uint32_t ttl : {0U, 1U, 0x7fffffffU, 0x80000000U, 0xffffffffU}) {
    dns::Zone zone = dns::Zone::read(kZone, "zone");
    expect_readable_after(zone, record("x.t.example.", dns::kA, ttl, std::string("\x7f\0\0\x01", 4)));
    EXPECT_EQ(zone.find("x.t.example.", dns::kA)->ttl, ttl > 0x7fffffffU ? 0U : ttl);
  }
}

// Guards against the same by the numbers of an SOA record, which have 32 bits.
TEST(ZoneRoundTrip, EachNumberOfAnSoaRecordIsReadBack) {
  dns::Zone zone = dns::Zone::read(kZone, "zone");
  std::string data = dns::name_to_wire("ns.t.example.") + dns::name_to_wire("h.t.example.");
  dns::append32(data, 6);
  for (int i = 0; i < 4; ++i) dns::append32(data, 0xffffffff);
  expect_readable_after(zone, record("t.example.", dns::kSoa, 60, data));
  EXPECT_EQ(zone.serial(), 6U);
}

// Guards against one label that is written as two: it would come back as another name.
TEST(ZoneRoundTrip, LabelWithADotIsRefused) {
  dns::Zone zone = dns::Zone::read(kZone, "zone");
  const std::string name = std::string("\3a.b\1t\7example", 14) + '\0';
  std::string labels = record("x.t.example.", dns::kA, 60, std::string("\x7f\0\0\x01", 4));
  labels.replace(0, dns::name_to_wire("x.t.example.").size(), name);
  bool changed = false;
  EXPECT_EQ(dns::apply_update(zone, update_with(labels), changed), dns::kFormErr);
  EXPECT_FALSE(changed);
}

TEST(ZoneRoundTrip, EscapesOfHandWrittenFilesAreRead) {
  const dns::Zone zone = dns::Zone::read(std::string(kZone) + R"(x TXT "\097\"\\\010" "\.")" + "\n", "zone");
  EXPECT_EQ(*zone.find("x.t.example.", dns::kTxt)->data.begin(),
            character_string("a\"\\\n") + character_string("."));
  for (const char* text : {R"(x TXT "\256")", R"(x TXT "\1")", R"(x TXT "\12a")", "x TXT \"\\"})
    EXPECT_THROW(dns::Zone::read(std::string(kZone) + text + "\n", "zone"), dns::ZoneError) << text;
}

}  // namespace
}  // namespace reeltack::test
