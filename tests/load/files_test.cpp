// Scenario, centrales and trace files: what is good is read, what is broken is refused with its place.
#include <gtest/gtest.h>
#include <unistd.h>

#include <fstream>
#include <sstream>

#include "load/scenario_file.h"
#include "load/trace.h"
#include "load/trace_import.h"
#include "standin/centrales.h"

namespace reeltack::load {
namespace {

using namespace std::chrono_literals;

constexpr const char* kGood = R"(seed: 7
duration: 10s
arrivals: {process: poisson, rate: 200}
shape: [{at: 3s, factor: 1.6, rise: 500ms, hold: 5s, fall: 500ms}]
classes:
  - {name: voice, share: 1.0, aim: 1500ms, deadline: 9s, patience: 35%, worth: 1, late_worth: 0.25, hold: {distribution: exponential, mean: 400ms}}
redial: {most: 3, wait: 500ms}
connections: 16
)";

TEST(ScenarioFile, ReadsTheFormOfThePage) {
  const Scenario s = parse_scenario(kGood, "good.yaml");
  EXPECT_EQ(s.seed, 7U);
  EXPECT_EQ(s.duration, 10s);
  EXPECT_EQ(s.shapes.at(0).rise, 500ms);
  EXPECT_EQ(s.classes.at(0).aim, 1500ms);
  EXPECT_DOUBLE_EQ(s.classes.at(0).patience, 0.35);
  EXPECT_EQ(s.redials, 3);
  EXPECT_EQ(s.connections, 16U);
}

struct Broken {
  const char* what;
  const char* line;      // replaces the line of the good file that begins alike, or is added
  const char* expected;  // place and key, in the message
};
class BrokenScenario : public ::testing::TestWithParam<Broken> {};
TEST_P(BrokenScenario, IsRefusedWithFileLineAndKey) {
  std::string text;
  std::istringstream lines(kGood);
  const std::string line = GetParam().line;
  const std::string key = line.substr(0, line.find(':'));
  bool replaced = false;
  for (std::string l; std::getline(lines, l);) {
    const bool same =
        l.substr(0, key.size() + 1) == key + ":" || (key.substr(0, 3) == "  -" && l.substr(0, 3) == "  -");
    text += (same ? line : l) + "\n";
    replaced = replaced || same;
  }
  if (!replaced) text += line + "\n";
  try {
    parse_scenario(text, "f.yaml");
    FAIL() << "was taken: " << GetParam().what;
  } catch (const yaml::Error& error) {
    EXPECT_NE(std::string(error.what()).find(GetParam().expected), std::string::npos) << error.what();
  }
}
INSTANTIATE_TEST_SUITE_P(
    All, BrokenScenario,
    ::testing::Values(
        Broken{"misspelt key", "conections: 4",
               "f.yaml:9:1: conections: is no key of this place; was connections meant?"},
        Broken{"no unit", "duration: 10", "f.yaml:2:1: duration: must be a time with its unit"},
        Broken{"no time", "duration: 0s", "f.yaml:2:1: duration: must be above 0"},
        Broken{"no rate", "arrivals: {process: poisson}", "f.yaml:3:1: arrivals.rate: is missing"},
        Broken{"negative rate", "arrivals: {rate: -1}",
               "arrivals.rate: must be a value of type \"number\", above 0"},
        Broken{"trace and rate", "arrivals: {trace: t, rate: 1}", "arrivals.trace: goes with speed alone"},
        Broken{"states without mmpp",
               "arrivals: {rate: 1, states: [{factor: 1, mean: 1s}, {factor: 2, mean: 1s}]}",
               "arrivals.states: belong to process: mmpp"},
        Broken{"overlap", "shape: [{at: 1s, factor: 2, hold: 5s}, {at: 3s, factor: 2, hold: 1s}]",
               "shape[1].at: begins before the shape above it has ended, at 6s"},
        Broken{"aim over deadline", "  - {name: voice, aim: 10s, deadline: 9s}",
               "f.yaml:6:19: classes[0].aim: must not be longer than the deadline"},
        Broken{"patience", "  - {name: voice, aim: 1s, deadline: 9s, patience: 120%}",
               "classes[0].patience: must be above 0% and at most 100%"},
        Broken{"number as text", "  - {name: voice, aim: 1s, deadline: 9s, share: \"1\"}",
               "classes[0].share: must be a value of type \"number\""},
        Broken{"twice", "seed: 1\nseed: 2", "stands twice"},
        Broken{"too many redials", "redial: {most: 99}", "redial.most: must be a value of type \"integer\""},
        Broken{"no YAML", "seed: [1", "is no YAML"},
        Broken{"drift", "first_choice: {places: 2, drift: [20s, 11s]}",
               "first_choice.drift: must be [least, most]"}));

TEST(ScenarioFile, AllErrorsAreToldAtOnce) {
  try {
    parse_scenario("duration: x\narrivals: {rate: 0}\nclasses: [{name: a, aim: 1s}]\nfoo: 1\n", "f");
    FAIL();
  } catch (const yaml::Error& error) {
    EXPECT_EQ(error.problems().size(), 4U) << error.what();
  }
}

TEST(FleetFile, ReadsAndRefuses) {
  const auto f = standin::parse_centrales(
      "centrales:\n  - {count: 3, at: \"127.0.9.1:2905\", lines: 5, processor: {set_up: 2ms}}\n"
      "troubles:\n  - {at: 1s, do: pause, centrales: [2], lasts: 2s}\n",
      "f");
  ASSERT_EQ(f.centrales.size(), 3U);
  EXPECT_EQ(f.centrales[2].at.host, "127.0.9.3");
  EXPECT_EQ(f.centrales[2].place, 2U);
  const auto refused = [](const std::string& text, const std::string& expected) {
    try {
      standin::parse_centrales(text, "f");
      ADD_FAILURE() << text;
    } catch (const yaml::Error& error) {
      EXPECT_NE(std::string(error.what()).find(expected), std::string::npos) << error.what();
    }
  };
  refused("centrales: [{at: \"8.8.8.8:1\"}]", "centrales[0].at: must be a loopback address");
  refused("centrales: [{at: \"127.0.0.1:1\"}, {at: \"127.0.0.1:1\"}]", "f:1:35: centrales[1].at: is taken");
  refused("centrales: [{at: \"127.0.0.1:1\"}]\ntroubles: [{at: 1s, do: pause, centrales: [1], lasts: 1s}]",
          "names centrale 1 of 1");
  refused("centrales: [{at: \"127.0.0.1:1\"}]\ntroubles: [{at: 1s, do: slow, centrales: [0]}]",
          "troubles[0].lasts: is missing");
}

class Traces : public ::testing::Test {
 protected:
  std::string path(const std::string& name) {
    return ::testing::TempDir() + "trace-" + std::to_string(::getpid()) + "-" + name;
  }
  void record(const std::string& text) { std::ofstream(path("in")) << text; }
  ImportReport import(const ImportOptions& o = {}) { return import_trace(path("in"), path("out"), o); }
  std::string refused(const ImportOptions& o = {}) {
    try {
      import(o);
    } catch (const TraceError& error) {
      std::string text = error.what();
      EXPECT_FALSE(std::ifstream(path("out")).good()) << "half a trace was left";
      EXPECT_FALSE(std::ifstream(path("out.part")).good());
      return text.substr(text.find(':') + 1);
    }
    ADD_FAILURE() << "was taken";
    return {};
  }
  std::string imported() {
    std::ifstream in(path("out"));
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
  }
  void TearDown() override {
    ::unlink(path("in").c_str());
    ::unlink(path("out").c_str());
  }
};
constexpr const char* kHead = "at_us,class,number,first_choice,hold_us\n";

TEST_F(Traces, FaultsAreRefusedWithTheirLine) {
  const auto one = [this](const std::string& body, const ImportOptions& o = {}) {
    record(kHead + body);
    return refused(o);
  };
  EXPECT_EQ(one("5,voice,,,\n4,voice,,,\n").substr(0, 35), "3: at_us is 1 us before the line ab");
  EXPECT_EQ(one("-5,voice,,,\n"), "2: at_us is negative: -5");
  EXPECT_EQ(one("1,voice,,,\n1,voice,,,\n").substr(0, 15), "3: stands twice");
  EXPECT_EQ(one("1,voice,,,\n2,voi"), "3: is cut off: no line feed at its end");
  EXPECT_EQ(one("1,voice\n"), "2: has 2 fields where the header names 5");
  EXPECT_EQ(one("x,voice,,,\n"), "2: at_us is no number: 'x'");
  EXPECT_EQ(one("1,,,,\n"), "2: class is missing");
  EXPECT_EQ(one("1,voice,12,,\n"), "2: number must be 16 hex digits, not '12'");
  ImportOptions ends;
  ends.end = 1ms;
  EXPECT_EQ(one("1,voice,,,\n1001,voice,,,\n", ends), "3: at_us lies beyond the end: 1001");
  ImportOptions sort;
  sort.order = ImportOptions::Order::sort;
  sort.window = 100us;
  EXPECT_EQ(one("1000,voice,,,\n800,voice,,,\n", sort),
            "3: at_us is 200 us late, more than the window to sort in");
  sort.most_held = 3;
  sort.window = 1s;
  EXPECT_EQ(one("1,a,,,\n2,a,,,\n3,a,,,\n4,a,,,\n", sort),
            "5: more than 3 lines lie within the window to sort in");
  EXPECT_EQ(one("").substr(0, 14), " holds no call");
}

TEST_F(Traces, SortsWithinTheWindowAndLosesNothing) {
  Random random = stream(3, "trace");
  std::string text = kHead;
  std::multiset<std::int64_t> times;
  for (int i = 0; i < 20000; ++i) {
    const std::int64_t at = i * 100 + static_cast<std::int64_t>(uniform(random) * 40000.0);
    times.insert(at);
    text += std::to_string(at) + ",voice," + base::hex16(static_cast<std::uint64_t>(i + 1)) + ",2,5000\n";
  }
  record(text);
  ImportOptions sort;
  sort.order = ImportOptions::Order::sort;
  sort.window = 50ms;
  const ImportReport r = import(sort);
  EXPECT_EQ(r.read, 20000U);
  EXPECT_EQ(r.written, 20000U);
  EXPECT_GT(r.moved, 1000U);
  EXPECT_LE(r.most_held, 1500U) << "memory is bounded by the window, not by the trace";
  TraceReader reader(path("out"), {LoadClass{.name = "voice"}});
  for (const std::int64_t at : times) {
    const auto call = reader.next();
    ASSERT_TRUE(call);
    ASSERT_EQ(call->at, std::chrono::microseconds(at));
    ASSERT_EQ(call->hold, 5ms);
  }
  EXPECT_FALSE(reader.next());
}

TEST_F(Traces, DoublesAreKeptOrDroppedAsAskedAndCounted) {
  record(std::string(kHead) + "1,a,,,\n1,a,,,\n1,b,,,\n2,a,,,\n");
  ImportOptions o;
  o.doubled = ImportOptions::Doubled::keep;
  EXPECT_EQ(import(o).written, 4U);
  o.doubled = ImportOptions::Doubled::drop;
  const ImportReport r = import(o);
  EXPECT_EQ(r.written, 3U);
  EXPECT_EQ(r.doubled, 1U);
}

TEST_F(Traces, NdjsonWithOtherNamesAndUnits) {
  record("{\"ts\": 1.5, \"class\": \"a\"}\n{\"ts\": 2, \"class\": \"b\", \"first_choice\": 3}\n");
  ImportOptions o;
  o.columns["at_us"] = "ts";
  o.at_unit_us = 1e6;
  EXPECT_EQ(import(o).length, 2s);
  EXPECT_EQ(imported(),
            "reeltack-trace,1\nat_us,class,number,first_choice,hold_us\n1500000,a,,,\n2000000,b,,3,\n");
  TraceReader reader(path("out"), {LoadClass{.name = "a"}});
  EXPECT_TRUE(reader.next());
  EXPECT_THROW(reader.next(), TraceError) << "b is no class of the scenario";
}

}  // namespace
}  // namespace reeltack::load
