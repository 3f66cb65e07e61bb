// Strict reading of an operator's version file, and overriding a controller's files by an approved version.
#include <gtest/gtest.h>

#include "config/versions.h"
#include "yaml/document.h"

namespace reeltack::config {
namespace {

using namespace std::chrono_literals;

Node node() {
  Node out;
  out.name = "n3";
  out.class_names = {"voice", "Alta prioridad"};
  out.settings.attempts_cap = 4;
  out.settings.release_guard = 300ms;
  out.settings.classes = {{.aim = 2s, .deadline = 9s, .worth = 3.0}, {.aim = 1s, .deadline = 4s}};
  out.settings.ramp = 15s;
  return out;
}
constexpr const char* kFile = R"(version:
  epoch: 7
  rules:
    module.attempts: 5
    module.release_guard: 300ms
    class.voice.aim: 1.5s
    class.~41lta~20prioridad.worth: 0.5
    module.may_cancel: true
    fleet.every: 500ms
  zones:
    este: {class.voice.aim: 2s}
  names:
    n3: {module.attempts: 3}
)";

TEST(VersionsFile, IsReadIntoCanonicalSpelling) {
  const auto version = parse_version(kFile, "f", node());
  EXPECT_EQ(version.epoch, 7U);
  EXPECT_EQ(version.rules.at("module.release_guard"), "300000000ns");
  EXPECT_EQ(version.rules.at("class.voice.aim"), "1500000000ns");
  EXPECT_EQ(version.rules.at("class.~41lta~20prioridad.worth"), "0.5");
  EXPECT_EQ(version.rules.at("module.may_cancel"), "yes");
  EXPECT_EQ(version.zones.at("este").at("class.voice.aim"), "2000000000ns");
  EXPECT_EQ(fleet::drift::read_version(write(version)), version)
      << "the text that is replicated gives the same version";
}

TEST(VersionsFile, ErrorsNamePlaceAndKey) {
  const auto rejects = [](const std::string& from, const std::string& to, const std::string& expected) {
    std::string text = kFile;
    text.replace(text.find(from), from.size(), to);
    try {
      parse_version(text, "f", node());
      ADD_FAILURE() << text;
    } catch (const yaml::Error& error) {
      EXPECT_NE(std::string(error.what()).find(expected), std::string::npos) << error.what();
    }
  };
  rejects("module.attempts: 5", "module.atempts: 5", "is no rule; was module.attempts meant?");
  rejects("class.voice.aim: 1.5s", "class.vioce.aim: 1.5s", "is no rule; was class.voice.aim meant?");
  rejects("module.attempts: 5", "module.attempts: 5s", "must be a whole number from 0 on, not \"5s\"");
  rejects("300ms", "300", "must be a time with its unit, as 300ms, not 300");
  rejects("true", "5", "must be true or false, not 5");
  rejects("module.attempts: 5", "module.attempts: 6", "module.attempts: must be 1 to 5, not 6");
  rejects("300ms", "299ms", "module.release_guard: must be 300 ms or more, not 299000000ns");
  rejects("class.voice.aim: 1.5s", "class.voice.aim: 10s", "must not be longer than class.voice.deadline");
  rejects("n3: {module.attempts: 3}", "n3: {module.attempts: 6}", "module.attempts: must be 1 to 5, not 6");
  rejects("epoch: 7", "epoch: 0", "version.epoch");
  rejects("epoch: 7", "epock: 7", "epock");
}

TEST(VersionsFile, ApprovedVersionOverridesFilesCompletelyOrNotAtAll) {
  const auto version = parse_version(kFile, "f", node());
  Node on = node();
  Controllers controllers;
  controllers.zone = "este";
  EXPECT_TRUE(lay_over(on, controllers, version).empty());
  EXPECT_EQ(on.settings.attempts_cap, 3U) << "its own value takes precedence over its zone's";
  EXPECT_EQ(on.settings.classes[0].aim, 2s) << "the value of its zone";
  EXPECT_EQ(on.settings.classes[1].worth, 0.5);
  EXPECT_EQ(controllers.turn.gossip.interval, 500ms);
  EXPECT_EQ(controllers.turn.recovery.class_aim.at(0), 2s) << "the copy used by recovery follows";
  EXPECT_EQ(differences(rules_of(on, controllers), required_rules(version, "n3", "este")).size(), 0U);

  Node other = node();  // without this class
  other.class_names[0] = "voce";
  Controllers untouched;
  const auto why = lay_over(other, untouched, version);
  ASSERT_EQ(why.size(), 1U);
  EXPECT_EQ(why[0], "class.voice.aim: is no rule");
  EXPECT_EQ(other.settings.attempts_cap, 4U) << "nothing is applied partially";
  EXPECT_EQ(untouched.turn.gossip.interval, Controllers{}.turn.gossip.interval);

  // A version that is valid with its proposer's files, but not with this controller's.
  Node shorter = node();
  shorter.settings.classes[0].deadline = 1s;
  EXPECT_FALSE(lay_over(shorter, untouched, version).empty());
  EXPECT_EQ(shorter.settings.classes[0].aim, 2s);
}

}  // namespace
}  // namespace reeltack::config
