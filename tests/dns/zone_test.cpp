// Zone files and dynamic updates: what is accepted, what is rejected, and which file and line errors name.
#include "dns/zone.h"

#include <gtest/gtest.h>

#include "dns/updates.h"

namespace reeltack::test {
namespace {

const char* const kZone = R"($ORIGIN t.example.
$TTL 1h
@ IN SOA ns hostmaster ( 5 ; serial
      3600 600 86400 60 )
  NS ns
ns A 127.0.0.9
_c._tcp 30 IN SRV 0 2 2905 s-0000000a
        SRV 0 3 2906 other.t.example.
s-0000000a IN A 127.0.0.1
other A 127.0.0.2
      TXT "place=4" "x;y"
)";

TEST(ZoneFile, DescribesOffices) {
  const dns::Zone zone = dns::Zone::read(kZone, "z");
  const auto offices = zone.offices("_c._tcp.t.example.");
  ASSERT_EQ(offices.size(), 2U);
  EXPECT_EQ(offices[0].entry.server, ServerId{10});
  EXPECT_EQ(offices[0].address, "127.0.0.1:2905");
  EXPECT_EQ(offices[1].entry.place, 4U);
  EXPECT_EQ(offices[1].entry.capacity, 3.0);
  EXPECT_EQ(dns::Zone::read(zone.text(), "again").text(), zone.text());
}

TEST(ZoneFile, MalformedRecordIsRejectedWithFileAndLine) {
  const std::string head = "$ORIGIN t.\n$TTL 1\n@ SOA a. b. 1 1 1 1 1\n";
  const std::pair<const char*, const char*> cases[] = {{"x A 1.2.3\n", "z:4:"},
                                                       {"x A\n", "z:4:"},
                                                       {"x SRV 1 2 3\n", "z:4:"},
                                                       {"x SRV 1 2 70000 y\n", "z:4:"},
                                                       {"x HINFO a b\n", "z:4:"},
                                                       {"\nx TXT \"a\n", "z:5:"},
                                                       {"x A ( 1.2.3.4\n\n", "z:6:"},
                                                       {"x..y A 1.2.3.4\n", "z:4:"},
                                                       {"$INCLUDE f\n", "z:4:"},
                                                       {"x A 1.2.3.4 5\n", "z:4:"},
                                                       {"@ SOA a. b. 1 1 1 1 1\n", "z:4:"},
                                                       {"x CNAME y\nx A 1.2.3.4\n", "z:5:"},
                                                       {"x.else. A 1.2.3.4\n", "z:4:"}};
  for (const auto& [text, place] : cases) {
    try {
      dns::Zone::read(head + text, "z");
      ADD_FAILURE() << "accepted: " << text;
    } catch (const dns::ZoneError& error) {
      EXPECT_EQ(std::string(error.what()).substr(0, 4), place) << text << error.what();
    }
  }
  EXPECT_THROW(dns::Zone::read("", "z"), dns::ZoneError);
  EXPECT_THROW(dns::Zone::read("$TTL 1\na A 1.2.3.4\n", "z"), dns::ZoneError);
}

struct Rr {
  const char* name;
  int type, rr_class, ttl;
  std::string data;
};
std::string message(const std::vector<Rr>& before, const std::vector<Rr>& updates,
                    const char* zone = "t.example.") {
  std::string out("\0\1\x28\0\0\1\0", 7);
  out += static_cast<char>(before.size());
  out += '\0';
  out += static_cast<char>(updates.size());
  out += std::string("\0\0", 2) + dns::name_to_wire(zone) + std::string("\0\6\0\1", 4);
  for (const auto* section : {&before, &updates}) {
    for (const Rr& r : *section) {
      out += dns::name_to_wire(r.name);
      for (const int v : {r.type, r.rr_class, 0, r.ttl, static_cast<int>(r.data.size())}) {
        out += static_cast<char>(v >> 8);
        out += static_cast<char>(v);
      }
      out += r.data;
    }
  }
  return out;
}

TEST(DynamicUpdate, AnswersWithTheCodesOfTheRfc) {
  const std::string one("\x7f\0\0\1", 4);
  const std::string nine("\x7f\0\0\x09", 4);
  const char* const ns = "ns.t.example.";
  const char* const none = "none.t.example.";
  constexpr int kAnyClass = 255;
  constexpr int kNoClass = 254;
  const std::vector<Rr> add = {{"new.t.example.", dns::kA, 1, 60, one}};
  const std::pair<std::string, int> cases[] = {
      {message({}, add), dns::kNoError},
      {message({{ns, dns::kAny, kAnyClass, 0, ""}}, add), dns::kNoError},
      {message({{none, dns::kAny, kAnyClass, 0, ""}}, add), dns::kNxDomain},
      {message({{ns, dns::kAny, kNoClass, 0, ""}}, add), dns::kYxDomain},
      {message({{ns, dns::kSrv, kAnyClass, 0, ""}}, add), dns::kNxRrset},
      {message({{ns, dns::kA, kNoClass, 0, ""}}, add), dns::kYxRrset},
      {message({{ns, dns::kA, 1, 0, nine}}, add), dns::kNoError},
      {message({{ns, dns::kA, 1, 0, one}}, add), dns::kNxRrset},
      {message({{ns, dns::kA, 1, 5, nine}}, add), dns::kFormErr},
      {message({{"x.else.", dns::kAny, kAnyClass, 0, ""}}, add), dns::kNotZone},
      {message({}, {{"x.else.", dns::kA, 1, 60, one}}), dns::kNotZone},
      {message({}, {{ns, dns::kA, 1, 60, "abc"}}), dns::kFormErr},
      {message({}, {{ns, dns::kAny, 1, 60, one}}), dns::kFormErr},
      {message({}, {{ns, dns::kA, kAnyClass, 1, ""}}), dns::kFormErr},
      {message({}, {{ns, dns::kA, kNoClass, 0, ""}}), dns::kFormErr},
      {message({}, {{ns, 99, 1, 60, one}}), dns::kRefused},
      {message({}, add, "else."), dns::kNotAuth},
      {message({}, add).substr(0, 30), dns::kFormErr}};
  for (std::size_t i = 0; i < std::size(cases); ++i) {
    dns::Zone zone = dns::Zone::read(kZone, "z");
    bool changed = false;
    EXPECT_EQ(dns::apply_update(zone, cases[i].first, changed), cases[i].second) << "case " << i;
    EXPECT_EQ(changed, cases[i].second == dns::kNoError) << "case " << i;
    EXPECT_EQ(zone.serial(), changed ? 6U : 5U) << "case " << i;
  }
}

TEST(DynamicUpdate, ProtectsTheApexAndAppliesAllOrNothing) {
  dns::Zone zone = dns::Zone::read(kZone, "z");
  bool changed = false;
  const std::string ns = dns::name_to_wire("ns.t.example.");
  EXPECT_EQ(
      dns::apply_update(
          zone, message({}, {{"t.example.", dns::kAny, 255, 0, ""}, {"t.example.", dns::kNs, 254, 0, ns}}),
          changed),
      dns::kNoError);
  EXPECT_FALSE(changed);
  EXPECT_NE(zone.find("t.example.", dns::kNs), nullptr);
  EXPECT_EQ(
      dns::apply_update(
          zone, message({}, {{"other.t.example.", dns::kA, 255, 0, ""}, {"x.else.", dns::kA, 255, 0, ""}}),
          changed),
      dns::kNotZone);
  EXPECT_NE(zone.find("other.t.example.", dns::kA), nullptr);
}

}  // namespace
}  // namespace reeltack::test
