// The `fleet` section of the configuration: valid input is read, and every rejection names the place and the
// key.
#include <gtest/gtest.h>

#include "config/controllers.h"
#include "yaml/document.h"

namespace reeltack::config {
namespace {

using namespace std::chrono_literals;

constexpr const char* kGood = R"(fleet:
  id: despacho
  epoch: 3
  zone: west
  listen: 127.0.0.1:7946
  size: 12
  seeds: ["127.0.0.1:7947", "127.0.0.1:7948"]
  via: {n2: "127.0.0.1:9001"}
  store: /tmp/kept
  recovery: {asking: 500ms, enough: 0.6, too_little: 0.2}
)";

Node node() {
  Node out;
  out.name = "n1";
  out.settings.ramp = 15s;
  out.settings.cold_from = 0.33;
  out.settings.classes = {{.aim = 1s, .worth = 3.0}};
  return out;
}
std::string error_for(std::string text, const std::string& from, const std::string& to) {
  const std::size_t at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  text.replace(at, from.size(), to);
  try {
    static_cast<void>(parse_controllers(text, "fleet.yaml", node()));
  } catch (const yaml::Error& error) {
    return error.what();
  }
  return "accepted";
}

TEST(ControllersFile, IsReadWithThePlatformSettingsForColdOffices) {
  const Controllers c = parse_controllers(kGood, "fleet.yaml", node());
  EXPECT_EQ(c.fleet, "despacho");
  EXPECT_EQ(c.epoch, 3U);
  EXPECT_EQ(c.seeds.size(), 2U);
  EXPECT_EQ(base::to_text(c.advertise), "127.0.0.1:7946");
  EXPECT_EQ(c.via.at("n2").port, 9001);
  EXPECT_EQ(c.turn.recovery.max_asking, 500ms);
  EXPECT_EQ(c.turn.recovery.ramp, Duration{15s});
  EXPECT_DOUBLE_EQ(c.turn.recovery.cold_from, 0.33);
  EXPECT_EQ(c.turn.recovery.leases.min_size, 12U);
  EXPECT_EQ(c.turn.recovery.class_worth.size(), 1U);
}

TEST(ControllersFile, RejectsWithPlaceAndKey) {
  const struct {
    const char* from;
    const char* to;
    const char* expected;
  } cases[] = {
      {"size: 12", "size: 0", "fleet.yaml:6"},
      {"size: 12", "sise: 12", "sise"},
      {"127.0.0.1:7946", "127.0.0.1:0", "fleet.listen"},
      {"127.0.0.1:7946", "here", "fleet.listen"},
      {"127.0.0.1:7948", "127.0.0.1:7947", "names a controller twice"},
      {"n2:", "n1:", "this controller itself"},
      {"asking: 500ms", "asking: 500", "recovery.asking"},
      {"asking: 500ms", "asking: 0ms", "above 0"},
      {"too_little: 0.2", "too_little: 0.7", "below enough"},
      {"  seeds: [\"127.0.0.1:7947\", \"127.0.0.1:7948\"]\n", "", "seeds"},
      {"  store: /tmp/kept\n", "  probes: {period: 200ms, timeout: 300ms}\n", "shorter than the period"},
      {"  store: /tmp/kept\n", "  exchange: {every: 1s, urgent: 2s}\n", "no longer than every"},
  };
  for (const auto& c : cases) {
    const std::string message = error_for(kGood, c.from, c.to);
    EXPECT_NE(message.find(c.expected), std::string::npos) << c.to << ": " << message;
  }
}

TEST(ControllersFile, AFleetOfOneNeedsNoSeeds) {
  EXPECT_NO_THROW(static_cast<void>(
      parse_controllers("fleet: {id: a, listen: \"127.0.0.1:1\", size: 1}\n", "fleet.yaml", node())));
}

}  // namespace
}  // namespace reeltack::config
