// Rules: canonical values, digests at three levels, conversion from and to settings, and bounds.
#include <gtest/gtest.h>

#include <limits>
#include <random>

#include "reeltack/controller.h"
#include "rules/catalogue.h"

namespace reeltack::rules {
namespace {

using namespace std::chrono_literals;

Settings settings() {
  Settings out;
  out.attempts_cap = 5;
  out.release_guard = 300ms;
  out.classes.push_back({.aim = 2s, .deadline = 9s, .worth = 3.0, .places = {0, 2}});
  out.classes.push_back({.aim = 1s, .deadline = 4s, .effect = Effect::once});
  out.tenants.push_back({12.5});
  return out;
}
const std::vector<std::string> kNames{"voice", "Alta prioridad"};

TEST(Rules, CanonicalFormIsTheOnlyOne) {
  EXPECT_EQ(to_canonical(300ms), "300000000ns");
  EXPECT_EQ(to_canonical(0.1), "0.1");
  EXPECT_EQ(to_canonical(-0.0), "0");
  EXPECT_EQ(to_canonical(std::numeric_limits<double>::infinity()), "none");
  for (const char* text : {"300ms", "0300ns", "1.5ns", "ns", "", "-0ns", "300000000ns "})
    EXPECT_FALSE(read_duration(text)) << text;
  for (const char* text : {"0.10", "-0", "1e0", "inf", "nan", "", "0x1"})
    EXPECT_FALSE(read_number(text)) << text;
  for (const char* text : {"05", "-1", "5.0", "18446744073709551616"}) EXPECT_FALSE(read_count(text)) << text;
  EXPECT_EQ(read_number("0.1"), 0.1);
  EXPECT_FALSE(is_word("two\nlines"));
  EXPECT_FALSE(is_word(std::string(257, 'x')));
}

TEST(Rules, DigestsDoNotDependOnTheOrderOfInsertion) {
  const Tree a = rules_of(settings(), kNames);
  std::vector<std::pair<std::string, std::string>> rules(a.rules().begin(), a.rules().end());
  std::mt19937 draws(20261202);
  for (int round = 0; round < 20; ++round) {
    std::shuffle(rules.begin(), rules.end(), draws);
    Tree b;
    for (const auto& [key, value] : rules) ASSERT_TRUE(b.put(key, value));
    EXPECT_EQ(b.digest(), a.digest());
    EXPECT_EQ(b.sections(), a.sections());
  }
}

TEST(Rules, DifferingKeyIsFoundByComparingItsSectionOnly) {
  const Tree a = rules_of(settings(), kNames);
  for (const auto& [key, value] : a.rules()) {
    Tree b;
    for (const auto& [k, v] : a.rules()) ASSERT_TRUE(b.put(k, k == key ? v + "0" : v));
    EXPECT_NE(a.digest(), b.digest()) << key;
    std::size_t compared = 0;
    const auto found = differences(a, b, &compared);
    ASSERT_EQ(found.size(), 1U) << key;
    EXPECT_EQ(found[0], (Difference{key, value, value + "0"}));
    EXPECT_EQ(compared, 1U);
  }
  std::size_t compared = 1;
  EXPECT_TRUE(differences(a, a, &compared).empty());
  EXPECT_EQ(compared, 0U);
}

TEST(Rules, ExtraOrMissingKeyIsADifference) {
  Tree a, b;
  ASSERT_TRUE(a.put("class.voice.aim", "1ns"));
  ASSERT_TRUE(b.put("class.voice.aim", "1ns"));
  ASSERT_TRUE(b.put("class.vioce.aim", "1ns"));
  EXPECT_EQ(differences(a, b), (std::vector<Difference>{{"class.vioce.aim", std::nullopt, "1ns"}}));
  EXPECT_EQ(differences(b, a), (std::vector<Difference>{{"class.vioce.aim", "1ns", std::nullopt}}));
  // The concatenated bytes are the same; the lengths differ.
  EXPECT_NE(digest_of("ab", "c"), digest_of("a", "bc"));
  const Rules governed{{"class.voice.aim", "1ns"}, {"class.vioce.aim", "1ns"}};
  EXPECT_EQ(digest_of(governed, b), digest_of(governed));
  EXPECT_NE(digest_of(governed, a), digest_of(governed)) << "an absent key differs from any value";
}

TEST(Rules, InvalidKeysAndNamesAreRejected) {
  Tree t;
  for (const char* key : {"", ".a", "a.", "a..b", "a b", "A", "a\n"}) EXPECT_FALSE(t.put(key, "x")) << key;
  EXPECT_TRUE(t.put("a.b_c-1", "x"));
  EXPECT_FALSE(t.put("a.b_c-1", "y")) << "already present";
  EXPECT_EQ(escape_name("Alta prioridad"), "~41lta~20prioridad");
  EXPECT_NE(escape_name("a~41"), escape_name("aA"));
  EXPECT_TRUE(is_key("class." + escape_name("v.1/\xc3\xb1") + ".aim"));
}

TEST(Rules, RulesOfSettingsCanBeAppliedAndNothingElse) {
  const Tree expected = rules_of(settings(), kNames);
  Settings other;
  other.classes.resize(2);
  other.tenants.resize(1);
  other.own_place = 7;
  for (const auto& [key, value] : expected.rules()) {
    EXPECT_EQ(apply_rule(other, kNames, key, value), "") << key;
    EXPECT_TRUE(rule_info(key, kNames, 1)) << key;
  }
  EXPECT_EQ(rules_of(other, kNames), expected);
  EXPECT_EQ(other.own_place, 7) << "a controller's own setting";
  EXPECT_EQ(apply_rule(other, kNames, "module.atempts", "5"), "module.atempts: is no rule");
  EXPECT_EQ(apply_rule(other, kNames, "class.video.aim", "1ns"), "class.video.aim: is no rule");
  EXPECT_EQ(apply_rule(other, kNames, "tenant.1.quota", "1"), "tenant.1.quota: is no rule");
  EXPECT_EQ(apply_rule(other, kNames, "module.attempts", "many"),
            "module.attempts: must be a count in its range, not 'many'");
  EXPECT_EQ(apply_rule(other, kNames, "module.attempts", "4294967296"),
            "module.attempts: must be a count in its range, not '4294967296'");
  EXPECT_NE(apply_rule(other, kNames, "class.voice.places", "1,,2"), "");
  EXPECT_NE(apply_rule(other, kNames, "classes", "voice"), "") << "classes cannot be changed";
  EXPECT_EQ(rules_of(other, kNames), expected) << "refused rules have changed nothing";
}

TEST(Rules, ExtraClassShowsInTheListOfClasses) {
  Settings more = settings();
  more.classes.push_back(more.classes[0]);
  const Rules governed{{"classes", *rules_of(settings(), kNames).value("classes")}};
  const Tree extra = rules_of(more, std::vector<std::string>{"voice", "Alta prioridad", "voce"});
  EXPECT_EQ(differences(extra, governed).size(), 1U);
}

TEST(Rules, ViolatedPlatformBoundsAreCritical) {
  Settings s = settings();
  EXPECT_TRUE(violated_bounds(rules_of(s, kNames)).empty());
  s.attempts_cap = 6;
  s.release_guard = 300ms - 1ns;
  s.classes[1].aim = 4s + 1ns;
  EXPECT_EQ(violated_bounds(rules_of(s, kNames)).size(), 3U);
  EXPECT_EQ(severity_of("module.attempts", "6"), Severity::critical);
  EXPECT_EQ(severity_of("module.attempts", "0"), Severity::critical);
  EXPECT_EQ(severity_of("module.attempts", "4"), Severity::major);
  EXPECT_EQ(severity_of("module.attempts", std::nullopt), Severity::critical);
  EXPECT_EQ(severity_of("module.release_guard", "299999999ns"), Severity::critical);
  EXPECT_EQ(severity_of("module.release_guard", "300000000ns"), Severity::major);
  EXPECT_EQ(severity_of("class.voice.effect", "repeatable"), Severity::critical);
  EXPECT_EQ(severity_of("class.voice.aim", "1ns"), Severity::major);
  EXPECT_EQ(severity_of("fleet.period", "1ns"), Severity::notice);
}

// The module reports the complete settings that it was given, from its own state rather than from a copy.
TEST(Rules, RulesAreReadFromTheModuleItself) {
  const Controller controller(settings(), 1);
  EXPECT_EQ(rules_of(controller.settings(), kNames), rules_of(settings(), kNames));
}

}  // namespace
}  // namespace reeltack::rules
