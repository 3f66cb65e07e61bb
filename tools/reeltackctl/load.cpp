// reeltackctl load: run, check, import, compare, baseline.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <memory>

#include "commands.h"
#include "load/report.h"
#include "load/scenario_file.h"
#include "load/trace.h"
#include "load/trace_import.h"
#include "standin/centrale_log.h"
#include "standin/centrales.h"

namespace reeltack::ctl {
namespace {

CLI::Validator span_check() {
  return {[](std::string& text) {
            try {
              load::parse_span(text);
              return std::string();
            } catch (const std::invalid_argument& error) {
              return std::string(error.what());
            }
          },
          "TIME"};
}

CLI::Validator target_check() {
  return {[](std::string& text) {
            try {
              load::parse_target(text);
              return std::string();
            } catch (const std::invalid_argument& error) {
              return std::string(error.what());
            }
          },
          "TARGET"};
}

struct RunOptions {
  std::string scenario;
  std::vector<std::string> targets;
  std::string report = "load-report";
  std::optional<std::uint64_t> seed;
  std::string fleet;
  std::vector<std::string> logs;
  bool foreign = false;
};

int run(const RunOptions& o, const Shared& shared) {
  load::Scenario scenario = load::read_scenario(o.scenario);
  if (o.seed) scenario.seed = *o.seed;
  load::PlayerOptions options;
  for (const std::string& target : o.targets) options.targets.push_back(load::parse_target(target));
  options.check_descriptions = !o.foreign;
  options.stop = &stopped();
  options.progress = progress_line(scenario.duration);
  std::unique_ptr<standin::Centrales> centrales;
  if (!o.fleet.empty()) centrales = std::make_unique<standin::Centrales>(standin::read_centrales(o.fleet));
  catch_stop();
  spdlog::info("playing {} for {} on {} connections to each of {} targets", o.scenario,
               load::show_span(scenario.duration), scenario.connections, options.targets.size());
  const auto played = load::play(scenario, options);
  end_progress_line();
  std::vector<load::OfficeEvent> seen;
  if (centrales) seen = centrales->take_log();
  for (const std::string& path : o.logs) {
    const auto more = standin::read_log(path);
    seen.insert(seen.end(), more.begin(), more.end());
  }
  std::stable_sort(seen.begin(), seen.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
  load::RulesChecker checker;
  for (const auto& event : seen) checker.take(event);
  checker.finish();
  const bool both_sides = centrales || !o.logs.empty();
  const auto* rules = both_sides ? &checker.found() : nullptr;
  load::write_report(o.report, *played, rules);
  const auto report = load::report_json(*played, rules);
  std::cout << (shared.json ? report.dump() + "\n"
                            : load::show_report(report) + "report    " + o.report + "/report.html\n");
  const bool good =
      played->valid() && report["violations"]["total"] == 0 && (rules == nullptr || rules->total() == 0);
  return good ? kGood : kFailed;
}

int check(const std::string& path, const Shared& shared) {
  try {
    const load::Scenario s = load::read_scenario(path);
    std::uint64_t calls = 0;
    load::TraceSource source;
    std::unique_ptr<load::TraceReader> trace;
    if (s.process == load::Process::trace) {
      trace = std::make_unique<load::TraceReader>(s.trace, s.classes);
      source = [&trace] { return trace->next(); };
    }
    load::Schedule schedule(s, std::move(source));
    while (schedule.next()) ++calls;
    if (shared.json) {
      std::cout << nlohmann::json{{"good", true}, {"calls", calls}, {"beyond_end", schedule.beyond()}}.dump()
                << "\n";
    } else {
      std::cout << path << ": good, " << calls << " calls in " << load::show_span(s.duration) << ", "
                << s.classes.size() << " classes";
      if (schedule.beyond() > 0)
        std::cout << "; " << schedule.beyond() << " calls of the trace lie beyond the end";
      std::cout << "\n";
    }
    return kGood;
  } catch (const yaml::Error& error) {
    if (!shared.json) throw;
    nlohmann::json problems;
    for (const yaml::Problem& p : error.problems())
      problems.push_back(
          {{"file", p.file}, {"line", p.line}, {"column", p.column}, {"key", p.key}, {"text", p.text}});
    std::cout << nlohmann::json{{"good", false}, {"problems", problems}}.dump() << "\n";
    return kFailed;
  }
}

struct ImportWords {
  std::string from, to, order = "strict", doubled = "refuse", window = "5s", end;
  std::vector<std::string> columns;
  std::string unit = "us";
};

int import(const ImportWords& w, const Shared& shared) {
  load::ImportOptions options;
  options.order = w.order == "sort" ? load::ImportOptions::Order::sort : load::ImportOptions::Order::strict;
  options.doubled = w.doubled == "keep"   ? load::ImportOptions::Doubled::keep
                    : w.doubled == "drop" ? load::ImportOptions::Doubled::drop
                                          : load::ImportOptions::Doubled::refuse;
  options.window = load::parse_span(w.window);
  if (!w.end.empty()) options.end = load::parse_span(w.end);
  options.at_unit_us = w.unit == "s" ? 1e6 : w.unit == "ms" ? 1e3 : 1.0;
  for (const std::string& pair : w.columns) {
    const std::size_t equal = pair.find('=');
    if (equal == std::string::npos)
      throw CLI::ValidationError("--column", "must be OURS=THEIRS, not '" + pair + "'");
    options.columns[pair.substr(0, equal)] = pair.substr(equal + 1);
  }
  const load::ImportReport r = load::import_trace(w.from, w.to, options);
  if (shared.json) {
    std::cout << nlohmann::json{{"read", r.read},
                                {"written", r.written},
                                {"moved", r.moved},
                                {"doubled", r.doubled},
                                {"length_s", std::chrono::duration<double>(r.length).count()},
                                {"most_held", r.most_held}}
                     .dump()
              << "\n";
  } else {
    std::cout << w.to << ": " << r.written << " of " << r.read << " calls over " << load::show_span(r.length)
              << "; " << r.moved << " out of order (by " << load::show_span(r.furthest) << " at most), "
              << r.doubled << " doubled (" << (r.doubled > 0 && r.read != r.written ? "dropped" : "kept")
              << ")\n";
  }
  return kGood;
}

int compare(const std::string& a, const std::string& b, double worse_percent, const Shared& shared) {
  const auto c = load::compare_reports(load::load_report(a), load::load_report(b), worse_percent / 100.0);
  std::cout << (shared.json ? c.json.dump() + "\n" : c.table);
  return c.worse ? kFailed : kGood;
}

}  // namespace

void add_load(CLI::App& app, Shared& shared) {
  CLI::App* load = app.add_subcommand(
      "load", "Load a controller: run a scenario, check one, import a trace, compare reports");
  load->require_subcommand(1);

  auto o = std::make_shared<RunOptions>();
  CLI::App* r = load->add_subcommand("run", "Play a scenario against targets and write a report");
  r->add_option("scenario", o->scenario, "SCENARIO.yaml")->required()->check(CLI::ExistingFile);
  r->add_option("--target", o->targets,
                "sip:HOST:PORT or ws:HOST:PORT, on loopback; more than one shares the load")
      ->required()
      ->check(target_check());
  r->add_option("--report", o->report, "Folder of the report")->capture_default_str();
  r->add_option("--seed", o->seed, "In place of the scenario's");
  r->add_option("--fleet", o->fleet,
                "Start these stand-in centrales too, and check the rules from their side")
      ->check(CLI::ExistingFile);
  r->add_option("--centrale-log", o->logs, "Check the rules by the log that stand-in centrales wrote")
      ->check(CLI::ExistingFile);
  r->add_flag("--foreign-centrales", o->foreign,
              "The centrales are no stand-ins: do not check what they describe");
  r->callback([o, &shared] { shared.result = run(*o, shared); });

  auto path = std::make_shared<std::string>();
  CLI::App* c = load->add_subcommand("check", "Read a scenario and say all that is wrong with it");
  c->add_option("scenario", *path, "SCENARIO.yaml")->required();
  c->callback([path, &shared] { shared.result = check(*path, shared); });

  auto w = std::make_shared<ImportWords>();
  CLI::App* i = load->add_subcommand("import", "Turn a recording (CSV or NDJSON) into a trace");
  i->add_option("trace", w->from, "What was recorded")->required()->check(CLI::ExistingFile);
  i->add_option("--out", w->to, "The trace to write")->required();
  i->add_option("--order", w->order, "strict refuses what is out of order, sort sorts it within the window")
      ->check(CLI::IsMember({"strict", "sort"}))
      ->capture_default_str();
  i->add_option("--window", w->window, "How late a line may come where sorted")
      ->check(span_check())
      ->capture_default_str();
  i->add_option("--doubled", w->doubled, "Of the same call twice at the same instant")
      ->check(CLI::IsMember({"refuse", "keep", "drop"}))
      ->capture_default_str();
  i->add_option("--end", w->end, "A call beyond it is refused")->check(span_check());
  i->add_option("--column", w->columns, "A column's name in the recording: at_us=ts");
  i->add_option("--unit", w->unit, "Of the recording's times")
      ->check(CLI::IsMember({"us", "ms", "s"}))
      ->capture_default_str();
  i->callback([w, &shared] { shared.result = import(*w, shared); });

  auto ab = std::make_shared<std::pair<std::string, std::string>>();
  auto worse = std::make_shared<double>(10.0);
  CLI::App* cmp =
      load->add_subcommand("compare", "What changed from one report to another; 1 if it got worse");
  cmp->add_option("first", ab->first, "Folder of a report")->required();
  cmp->add_option("second", ab->second, "Folder of a report")->required();
  cmp->add_option("--worse", *worse, "Per cent by which a figure may get worse")->capture_default_str();
  cmp->callback([ab, worse, &shared] { shared.result = compare(ab->first, ab->second, *worse, shared); });

  CLI::App* s = load->add_subcommand("schema", "Print the schema of scenarios");
  s->callback([] { std::cout << load::scenario_schema(); });

  add_baseline(*load, shared);
}

}  // namespace reeltack::ctl
