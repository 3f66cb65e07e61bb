// The text form of versions and of the facts about rules: one spelling each, and everything else rejected.
#include "fleet/drift/drift_facts.h"

#include <gtest/gtest.h>

namespace reeltack::fleet::drift {
namespace {

Version version() {
  return {7,
          {{"class.voice.aim", "2000000000ns"}, {"module.attempts", "5"}},
          {{"este", {{"class.voice.aim", "3000000000ns"}}}},
          {{"n3", {{"class.voice.aim", "1ns"}, {"module.attempts", "4"}}}}};
}

TEST(DriftWords, VersionRoundTripsAndIsIdentifiedByItsText) {
  const std::string text = write(version());
  EXPECT_EQ(read_version(text), version());
  EXPECT_EQ(id_of(*read_version(text)), id_of(version()));
  Version other = version();
  other.rules["module.attempts"] = "4";
  EXPECT_NE(id_of(other).digest, id_of(version()).digest);
}

TEST(DriftWords, NameTakesPrecedenceOverZone) {
  EXPECT_EQ(required_rules(version(), "n1", "oeste").at("class.voice.aim"), "2000000000ns");
  EXPECT_EQ(required_rules(version(), "n1", "este").at("class.voice.aim"), "3000000000ns");
  EXPECT_EQ(required_rules(version(), "n3", "este").at("class.voice.aim"), "1ns");
  EXPECT_EQ(required_rules(version(), "n3", "este").at("module.attempts"), "4");
}

TEST(DriftWords, TruncatedOrMisorderedTextIsRejected) {
  const std::string text = write(version());
  for (std::size_t cut = 0; cut < text.size(); ++cut) {
    const auto read = read_version(text.substr(0, cut));
    if (read)
      EXPECT_EQ(text[cut - 1], '\n') << cut;  // complete lines alone are another version, by the digest
    if (read) EXPECT_NE(id_of(*read), id_of(version()));
  }
  for (const char* wrong :
       {"1 0\n", "2 7\n", "1 07\n", "1 7", "1 7\nb 1\na 1\n", "1 7\na 1\na 2\n", "1 7\na\n",
        "1 7\n zone:x a 1\n", "1 7\nzone: a 1\n", "1 7\nzone:x a 1\nb 1\n", "1 7\nname:x a 1\nzone:x a 1\n",
        "1 7\nplace:x a 1\n", "1 7\nzone:b a 1\nzone:a a 1\n", "1 7\n\n", "1 7\nA 1\n", ""})
    EXPECT_FALSE(read_version(wrong)) << wrong;
  EXPECT_FALSE(read_version("1 7\n" + std::string(kMaxVersionBytes, 'a') + "\n"));
}

TEST(DriftWords, FactsRoundTripAndOthersAreRejected) {
  const Vote vote{{7, 1}, {6, 2}};
  EXPECT_EQ(read_vote(write(vote)), vote);
  for (const char* wrong :
       {"", "1 7 1 6", "1 7 1 6 2 3", "2 7 1 6 2", "1 7 1 6 x", "1 7 1 6 2 ", "1  7 1 6 2"})
    EXPECT_FALSE(read_vote(wrong)) << wrong;
  const RulesReport report{{7, 1}, 2, 3, true, {{"module.attempts", "4", {}}, {"class.voice.aim", {}, {}}}};
  EXPECT_EQ(read_rules_report(write(report)), report);
  for (const char* wrong :
       {"1 7 1 2 3 2", "1 7 1 2 3 1\n", "1 7 1 2 3 1\nA 4", "1 7 1 2 3 1\na 4\n\nb 5", "1 7 1 2 3"})
    EXPECT_FALSE(read_rules_report(wrong)) << wrong;
  std::string many = "1 7 1 2 3 0";
  for (std::size_t i = 0; i <= kMaxNamedKeys; ++i) many += "\na" + std::to_string(i) + " 1";
  EXPECT_FALSE(read_rules_report(many));
}

TEST(DriftWords, LargeVersionIsSplitIntoPartsThatFitAFact) {
  Version large = version();
  for (int i = 0; i < 400; ++i) large.rules["class.c" + std::to_string(i) + ".deadline"] = "4000000000ns";
  const auto parts = parts_of(large);
  EXPECT_GT(parts.size(), 3U);
  std::string text;
  for (const VersionPart& part : parts) {
    EXPECT_LE(write(part).size(), 4096U);
    const auto read = read_part(write(part));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->version, id_of(large));
    text += read->text;
  }
  EXPECT_EQ(read_version(text), large);
  EXPECT_FALSE(read_part("1 7 1 0\nx"));
  EXPECT_FALSE(read_part("1 7 1 99\nx"));
}

}  // namespace
}  // namespace reeltack::fleet::drift
