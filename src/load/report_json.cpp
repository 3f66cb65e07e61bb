// The figures of a run as report.json has them.
#include "load/report.h"
#include "load/report_numbers.h"
#include "load/scenario_file.h"

namespace reeltack::load {

namespace {

using nlohmann::json;

json spread_json(const Spread& s) {
  return {{"count", s.count()},
          {"mean", milliseconds(s.mean())},
          {"p50", milliseconds(s.percentile(0.5))},
          {"p90", milliseconds(s.percentile(0.9))},
          {"p99", milliseconds(s.percentile(0.99))},
          {"p999", milliseconds(s.percentile(0.999))},
          {"max", milliseconds(s.max())}};
}

json tally_json(const Tally& t) {
  json results;
  for (std::size_t i = 0; i < kResultNames.size(); ++i) results[kResultNames[i]] = t.results[i];
  return {{"arrivals", {{"planned", t.planned}, {"started", t.started}}},
          {"tries", t.tries},
          {"cut", t.cut},
          {"results", results},
          {"worth",
           {{"offered", t.worth_offered},
            {"earned", t.worth_earned},
            {"part", t.worth_offered > 0.0 ? t.worth_earned / t.worth_offered : 0.0}}},
          {"latency_ms", spread_json(t.latency)},
          {"service_ms", spread_json(t.service)}};
}

// Empty for a valid run.
std::string verdict_text(const Played& run) {
  if (run.valid()) return {};
  return "invalid: the generator started its arrivals too late, 99% within " +
         show_span(run.recorder.lateness().percentile(0.99)) + " where " +
         show_span(run.scenario.lateness_bound) + " is the bound; what was measured is the generator";
}

json run_json(const Played& run) {
  return {{"seed", run.scenario.seed},
          {"started_unix_ms", run.started_unix_ms},
          {"lasted_s", milliseconds(run.lasted) / 1000.0},
          {"ended_early", run.ended_early},
          {"targets", run.targets},
          {"connections", run.connections},
          {"connection_breaks", run.breaks},
          {"cpu_s", run.cpu_seconds},
          {"peak_mb", run.peak_mb}};
}

json violations_json(const Violations& v) {
  return {{"second_answers", v.second_answers},
          {"unknown_calls", v.unknown_calls},
          {"unreadable", v.unreadable},
          {"foreign_descriptions", v.foreign_descriptions},
          {"total", v.total()},
          {"samples", v.samples}};
}

json rules_json(const RulesChecker::Found& rules) {
  return {{"set_ups", rules.set_ups},
          {"stood", rules.stood},
          {"most_attempts", rules.most_attempts},
          {"two_out", rules.two_out},
          {"too_many", rules.too_many},
          {"too_soon", rules.too_soon},
          {"after_drain", rules.after_drain},
          {"unsure", rules.unsure},
          {"total", rules.total()},
          {"samples", rules.samples}};
}

}  // namespace

nlohmann::json report_json(const Played& run, const RulesChecker::Found* rules) {
  const Recorder& r = run.recorder;
  nlohmann::json out = tally_json(r.all());
  out["version"] = kReportVersion;
  out["kind"] = "reeltack-load-report";
  out["verdict"] = run.valid() ? "valid" : "invalid";
  out["verdict_text"] = verdict_text(run);
  out["arrivals"]["unsent"] = run.unsent;
  out["arrivals"]["beyond_end"] = run.beyond;
  out["lateness_us"] = {{"p50", microseconds(r.lateness().percentile(0.5))},
                        {"p99", microseconds(r.lateness().percentile(0.99))},
                        {"max", microseconds(r.lateness().max())}};
  out["closed_loop_ms"] = spread_json(r.closed_loop());
  out["left_standing"] = run.left_standing;
  out["crossed"] = run.crossed;
  out["late"] = run.late;
  out["run"] = run_json(run);
  for (std::size_t i = 0; i < r.classes().size(); ++i)
    out["classes"][run.scenario.classes[i].name] = tally_json(r.classes()[i]);
  out["violations"] = violations_json(r.violations());
  if (rules != nullptr) out["rules"] = rules_json(*rules);
  return out;
}

}  // namespace reeltack::load
