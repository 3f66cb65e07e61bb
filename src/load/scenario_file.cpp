#include "load/scenario_file.h"

#include <algorithm>
#include <filesystem>

#include "yaml/field_reader.h"

namespace reeltack::load {

extern const char* const kScenarioSchema;
const char* scenario_schema() { return kScenarioSchema; }

namespace {

using nlohmann::json;
using yaml::parse_span;
using yaml::show_span;

class Reader : yaml::FieldReader {
 public:
  explicit Reader(const yaml::Document& document) : FieldReader(document), top_(value()) {}

  Scenario read() {
    Scenario out;
    out.seed = top_.value("seed", std::uint64_t{1});
    out.duration = span(top_, "", "duration", {});
    if (out.duration <= Duration{}) fail("/duration", "must be above 0");
    out.settle = span(top_, "", "settle", out.settle);
    read_classes(out);
    read_arrivals(out);
    read_shapes(out);
    read_callers(out);
    finish();
    return out;
  }

 private:
  static double part(const json& at, const char* key, double fallback) {
    return at.contains(key) ? std::stod(std::string(at[key])) / 100.0
                            : fallback;  // the schema saw to its form
  }

  void read_arrivals(Scenario& out) {
    const json& a = top_["arrivals"];
    const bool traced = a.contains("trace");
    if (traced && (a.contains("process") || a.contains("rate") || a.contains("states")))
      fail("/arrivals/trace", "goes with speed alone: a trace has its own process and rate");
    if (traced) {
      out.process = Process::trace;
      out.trace = a["trace"];
      out.speed = a.value("speed", 1.0);
      if (top_.contains("shape")) fail("/shape", "has no meaning where a trace is played");
      return;
    }
    if (a.contains("speed")) fail("/arrivals/speed", "belongs to a trace");
    if (!a.contains("rate")) return fail("/arrivals/rate", "is missing: calls a second, or name a trace");
    out.rate = a["rate"];
    const std::string process = a.value("process", "poisson");
    out.process = process == "constant" ? Process::constant
                  : process == "mmpp"   ? Process::mmpp
                                        : Process::poisson;
    if (out.process != Process::mmpp) {
      if (a.contains("states")) fail("/arrivals/states", "belong to process: mmpp");
      return;
    }
    if (!a.contains("states")) return fail("/arrivals/states", "is missing: mmpp needs at least two");
    bool some = false;
    for (std::size_t i = 0; i < a["states"].size(); ++i) {
      const json& s = a["states"][i];
      const std::string at = "/arrivals/states/" + std::to_string(i);
      State state{s["factor"], span(s, at, "mean", std::chrono::seconds(1))};
      if (state.mean < std::chrono::milliseconds(1)) fail(at + "/mean", "must be 1ms or more");
      some = some || state.factor > 0.0;
      out.states.push_back(state);
    }
    if (!some) fail("/arrivals/states", "need one with a factor above 0");
  }

  void read_shapes(Scenario& out) {
    const json shapes = top_.value("shape", json::array());
    for (std::size_t i = 0; i < shapes.size(); ++i) {
      const std::string at = "/shape/" + std::to_string(i);
      Shape s;
      s.at = span(shapes[i], at, "at", {});
      s.factor = shapes[i]["factor"];
      s.rise = span(shapes[i], at, "rise", {});
      s.hold = span(shapes[i], at, "hold", {});
      s.fall = span(shapes[i], at, "fall", {});
      if (s.end() == s.at) fail(at, "lasts no time: give rise, hold or fall");
      if (s.at >= out.duration) fail(at + "/at", "lies after the end of the arrivals");
      if (!out.shapes.empty() && s.at < out.shapes.back().end())
        fail(at + "/at",
             "begins before the shape above it has ended, at " + show_span(out.shapes.back().end()));
      out.shapes.push_back(s);
    }
  }

  void read_classes(Scenario& out) {
    const json& classes = top_["classes"];
    for (std::size_t i = 0; i < classes.size(); ++i) {
      const json& c = classes[i];
      const std::string at = "/classes/" + std::to_string(i);
      LoadClass one;
      one.name = c["name"];
      one.share = c.value("share", 1.0);
      one.aim = span(c, at, "aim", {});
      one.deadline = span(c, at, "deadline", {});
      one.patience = part(c, "patience", one.patience);
      one.worth = c.value("worth", one.worth);
      one.late_worth = c.value("late_worth", one.late_worth);
      one.leaves_early = part(c, "leaves_early", 0.0);
      if (one.aim <= Duration{}) fail(at + "/aim", "must be above 0");
      if (one.aim > one.deadline) fail(at + "/aim", "must not be longer than the deadline");
      if (one.patience <= 0.0 || one.patience > 1.0)
        fail(at + "/patience", "must be above 0% and at most 100%");
      if (one.leaves_early > 1.0) fail(at + "/leaves_early", "must be at most 100%");
      if (std::any_of(out.classes.begin(), out.classes.end(),
                      [&one](const LoadClass& o) { return o.name == one.name; }))
        fail(at + "/name", "names a class twice");
      if (c.contains("hold")) {
        const json& h = c["hold"];
        const std::string law = h.value("distribution", "exponential");
        one.hold_law = law == "constant"    ? HoldLaw::constant
                       : law == "lognormal" ? HoldLaw::lognormal
                                            : HoldLaw::exponential;
        one.hold_mean = span(h, at + "/hold", "mean", one.hold_mean);
        one.hold_sigma = h.value("sigma", one.hold_sigma);
        if (one.hold_mean <= Duration{}) fail(at + "/hold/mean", "must be above 0");
        if (h.contains("sigma") && one.hold_law != HoldLaw::lognormal)
          fail(at + "/hold/sigma", "belongs to distribution: lognormal");
      }
      out.classes.push_back(std::move(one));
    }
  }

  void read_callers(Scenario& out) {
    const json redial = top_.value("redial", json::object());
    out.redials = redial.value("most", redial.empty() ? 0 : 3);
    out.redial_wait = span(redial, "/redial", "wait", out.redial_wait);
    out.redial_spread = part(redial, "spread", 0.0);
    out.cut_comes_again = redial.value("cut", false);
    const json first = top_.value("first_choice", json::object());
    out.places = first.value("places", 1U);
    if (first.contains("drift")) {
      try {
        out.drift_least = parse_span(first["drift"][0]);
        out.drift_most = parse_span(first["drift"][1]);
      } catch (const std::invalid_argument& error) {
        fail("/first_choice/drift", error.what());
      }
      if (out.drift_least > out.drift_most) fail("/first_choice/drift", "must be [least, most]");
      if (out.drift_least < std::chrono::milliseconds(10))
        fail("/first_choice/drift", "must be 10ms or more");
    }
    const json numbers = top_.value("numbers", json::object());
    out.numbers = numbers.value("count", out.numbers);
    out.zipf = numbers.value("zipf", out.zipf);
    out.connections = top_.value("connections", out.connections);
    out.released_by =
        top_.value("released_by", "caller") == "centrale" ? ReleasedBy::centrale : ReleasedBy::caller;
    const json limits = top_.value("limits", json::object());
    out.lateness_bound = span(limits, "/limits", "lateness", out.lateness_bound);
    out.backlog_bytes = limits.value("backlog_mb", std::size_t{64}) * 1024 * 1024;
  }

  const json& top_;
};

Scenario read(const yaml::Document& document) {
  document.check(json::parse(kScenarioSchema));
  return Reader(document).read();
}

}  // namespace

Scenario parse_scenario(const std::string& text, const std::string& file) {
  return read(yaml::Document::parse(text, file));
}
Scenario read_scenario(const std::string& path) {
  Scenario out = read(yaml::Document::read(path));
  // A trace is named from the scenario's own folder.
  if (!out.trace.empty() && std::filesystem::path(out.trace).is_relative())
    out.trace = (std::filesystem::path(path).parent_path() / out.trace).string();
  return out;
}

}  // namespace reeltack::load
