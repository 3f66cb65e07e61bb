#include "load/report.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <sstream>

#include "load/scenario_file.h"

extern char** environ;  // NOLINT: POSIX wants it declared by its user

namespace reeltack::load {
namespace {

using nlohmann::json;

double ms(Duration d) {
  return std::round(std::chrono::duration<double, std::milli>(d).count() * 1000.0) / 1000.0;
}
double us(Duration d) {
  return std::round(std::chrono::duration<double, std::micro>(d).count() * 10.0) / 10.0;
}

json spread_json(const Spread& s) {
  return {{"count", s.count()},
          {"mean", ms(s.mean())},
          {"p50", ms(s.percentile(0.5))},
          {"p90", ms(s.percentile(0.9))},
          {"p99", ms(s.percentile(0.99))},
          {"p999", ms(s.percentile(0.999))},
          {"max", ms(s.max())}};
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

void write(const std::string& path, const std::string& text) {
  std::ofstream out(path, std::ios::trunc | std::ios::binary);
  if (!(out << text) || !out.flush()) throw std::runtime_error(path + ": cannot be written");
}

std::string intervals_csv(const Played& run) {
  std::ostringstream out;
  out << "at_s,planned,started";
  for (const char* name : kResultNames) out << "," << name;
  out << ",answers,p50_ms,p90_ms,p99_ms,max_ms\n";
  const double step = std::chrono::duration<double>(run.recorder.interval()).count();
  double at = 0.0;
  for (const Interval& i : run.recorder.intervals()) {
    out << at << "," << i.planned << "," << i.started;
    for (const std::uint64_t r : i.results) out << "," << r;
    out << "," << i.latency.count() << "," << ms(i.latency.percentile(0.5)) << ","
        << ms(i.latency.percentile(0.9)) << "," << ms(i.latency.percentile(0.99)) << ","
        << ms(i.latency.max()) << "\n";
    at += step;
  }
  return out.str();
}

// Runs gnuplot on the script and returns the SVG that it writes; empty: it is not installed or failed.
std::string plotted(const std::string& script, const std::string& dir) {
  const std::string in = dir + "/.plot.gp";
  const std::string svg = dir + "/.plot.svg";
  write(in, script);
  std::string out;
  std::string program = "gnuplot";
  std::array<char*, 3> arguments{program.data(), const_cast<char*>(in.c_str()), nullptr};
  posix_spawn_file_actions_t files;
  ::posix_spawn_file_actions_init(&files);
  ::posix_spawn_file_actions_addopen(&files, 1, svg.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
  ::posix_spawn_file_actions_addopen(&files, 2, "/dev/null", O_WRONLY, 0);
  pid_t pid = 0;
  int status = -1;
  if (::posix_spawnp(&pid, "gnuplot", &files, nullptr, arguments.data(), environ) == 0)
    ::waitpid(pid, &status, 0);
  ::posix_spawn_file_actions_destroy(&files);
  if (status == 0) {
    std::ifstream from(svg);
    std::ostringstream text;
    text << from.rdbuf();
    out = text.str();
    if (const std::size_t begin = out.find("<svg"); begin != std::string::npos) out.erase(0, begin);
  }
  std::filesystem::remove(in);
  std::filesystem::remove(svg);
  return out;
}

std::string plot_script(const std::string& title, const std::string& y, const std::string& csv,
                        const std::string& more, const std::vector<std::pair<int, std::string>>& columns) {
  std::string out =
      "set terminal svg size 860,300 font 'sans,11' background '#ffffff'\nset datafile separator ','\n"
      "set key outside right top\nset grid ytics lc rgb '#dddddd'\nset xlabel 'time (s)'\nset xrange "
      "[0:*]\n" +
      more + "set title '" + title + "'\nset ylabel '" + y + "'\nplot ";
  const char* comma = "";
  for (const auto& [column, name] : columns) {
    out.append(comma).append("'").append(csv).append("' every ::1 using 1:").append(std::to_string(column));
    out.append(" with steps lw 1.6 title '").append(name).append("'");
    comma = ", ";
  }
  return out + "\n";
}

std::string escaped(const std::string& text) {
  std::string out;
  for (const char c : text) {
    if (c == '<')
      out += "&lt;";
    else if (c == '>')
      out += "&gt;";
    else if (c == '&')
      out += "&amp;";
    else
      out += c;
  }
  return out;
}

std::string html(const std::string& dir, const json& report) {
  const std::string csv = dir + "/intervals.csv";
  std::string plots;
  const auto add = [&](const std::string& script) {
    const std::string svg = plotted(script, dir);
    plots += svg.empty() ? "<p>No plot: gnuplot is not installed or could not draw it. The figures are in "
                           "intervals.csv.</p>\n"
                         : svg + "\n";
  };
  add(plot_script("Arrivals", "calls a second", csv, "set yrange [0:*]\n", {{2, "planned"}, {3, "started"}}));
  add(plot_script("Planned instant to final answer", "ms", csv, "set logscale y\n",
                  {{10, "50%"}, {11, "90%"}, {12, "99%"}, {13, "max"}}));
  add(plot_script("Results", "calls a second", csv, "set yrange [0:*]\n",
                  {{4, "stands"}, {5, "refused"}, {6, "failed"}, {7, "given up"}, {8, "unanswered"}}));
  return "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Load "
         "report</title>\n<style>body{font:14px sans-serif;"
         "max-width:900px;margin:2em auto;padding:0 "
         "1em}pre{background:#f5f5f5;padding:1em;overflow-x:auto}svg{max-width:100%;height:auto}"
         ".bad{color:#b00020;font-weight:bold}</style></head><body>\n<h1>Load report</h1>\n" +
         (report["verdict"] == "valid" ? std::string()
                                       : "<p class=\"bad\">" + escaped(report["verdict_text"]) + "</p>\n") +
         "<pre>" + escaped(show_report(report)) + "</pre>\n" + plots + "</body></html>\n";
}

std::string fixed(double value, int digits) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(digits) << value;
  return out.str();
}

}  // namespace

json report_json(const Played& run, const RulesChecker::Found* rules) {
  const Recorder& r = run.recorder;
  json out = tally_json(r.all());
  out["version"] = kReportVersion;
  out["kind"] = "reeltack-load-report";
  out["verdict"] = run.valid() ? "valid" : "invalid";
  out["verdict_text"] = run.valid() ? ""
                                    : "invalid: the generator started its arrivals too late, 99% within " +
                                          show_span(r.lateness().percentile(0.99)) + " where " +
                                          show_span(run.scenario.lateness_bound) +
                                          " is the bound; what was measured is the generator";
  out["arrivals"]["unsent"] = run.unsent;
  out["arrivals"]["beyond_end"] = run.beyond;
  out["lateness_us"] = {{"p50", us(r.lateness().percentile(0.5))},
                        {"p99", us(r.lateness().percentile(0.99))},
                        {"max", us(r.lateness().max())}};
  out["closed_loop_ms"] = spread_json(r.closed_loop());
  out["left_standing"] = run.left_standing;
  out["crossed"] = run.crossed;
  out["run"] = {{"seed", run.scenario.seed},
                {"started_unix_ms", run.started_unix_ms},
                {"lasted_s", ms(run.lasted) / 1000.0},
                {"ended_early", run.ended_early},
                {"targets", run.targets},
                {"connections", run.connections},
                {"connection_breaks", run.breaks},
                {"cpu_s", run.cpu_seconds},
                {"peak_mb", run.peak_mb}};
  for (std::size_t i = 0; i < r.classes().size(); ++i)
    out["classes"][run.scenario.classes[i].name] = tally_json(r.classes()[i]);
  const Violations& v = r.violations();
  out["violations"] = {{"second_answers", v.second_answers},
                       {"unknown_calls", v.unknown_calls},
                       {"unreadable", v.unreadable},
                       {"foreign_descriptions", v.foreign_descriptions},
                       {"total", v.total()},
                       {"samples", v.samples}};
  if (rules != nullptr)
    out["rules"] = {{"set_ups", rules->set_ups},
                    {"stood", rules->stood},
                    {"most_attempts", rules->most_attempts},
                    {"two_out", rules->two_out},
                    {"too_many", rules->too_many},
                    {"too_soon", rules->too_soon},
                    {"after_drain", rules->after_drain},
                    {"unsure", rules->unsure},
                    {"total", rules->total()},
                    {"samples", rules->samples}};
  return out;
}

void write_report(const std::string& dir, const Played& run, const RulesChecker::Found* rules) {
  std::error_code error;
  std::filesystem::create_directories(dir, error);
  if (error) throw std::runtime_error(dir + ": cannot be made: " + error.message());
  const json report = report_json(run, rules);
  write(dir + "/report.json", report.dump(2) + "\n");
  write(dir + "/intervals.csv", intervals_csv(run));
  write(dir + "/report.html", html(dir, report));
}

std::string show_report(const json& r) {
  std::ostringstream out;
  out << "calls     " << r["arrivals"]["planned"] << " planned, " << r["arrivals"]["started"] << " started, "
      << r["tries"] << " tries in " << fixed(r["run"]["lasted_s"], 1) << " s"
      << (r["run"]["ended_early"] ? " (ended early)" : "") << "\n";
  out << "results  ";
  for (const char* name : kResultNames) out << " " << r["results"][name] << " " << name;
  out << "\nworth     " << fixed(r["worth"]["earned"], 1) << " of " << fixed(r["worth"]["offered"], 1) << " ("
      << fixed(100.0 * r["worth"]["part"].get<double>(), 1) << "%)\n";
  out << "                        p50        p90        p99       p999        max\n";
  const auto row = [&out](const std::string& name, const json& s) {
    out << std::left << std::setw(18) << name << std::right;
    for (const char* p : {"p50", "p90", "p99", "p999", "max"})
      out << " " << std::setw(8) << fixed(s[p], 2) << "ms";
    out << "\n";
  };
  row("latency", r["latency_ms"]);
  row("from first byte", r["service_ms"]);
  row("(closed loop)", r["closed_loop_ms"]);
  for (const auto& [name, c] : r["classes"].items()) row("  " + name, c["latency_ms"]);
  out << "lateness  " << r["lateness_us"]["p50"] << " us at 50%, " << r["lateness_us"]["p99"]
      << " us at 99%, " << r["lateness_us"]["max"] << " us at most\n";
  out << "violations " << r["violations"]["total"];
  for (const auto& sample : r["violations"]["samples"]) out << "\n  " << sample.get<std::string>();
  if (r.contains("rules")) {
    out << "\nrules     " << r["rules"]["set_ups"] << " set-ups at the centrales, "
        << r["rules"]["most_attempts"] << " attempts at most, " << r["rules"]["total"] << " breaches";
    for (const auto& sample : r["rules"]["samples"]) out << "\n  " << sample.get<std::string>();
  }
  out << "\n";
  if (r["verdict"] != "valid") out << r["verdict_text"].get<std::string>() << "\n";
  return out.str();
}

json load_report(const std::string& dir) {
  const std::string path = std::filesystem::is_directory(dir) ? dir + "/report.json" : dir;
  std::ifstream in(path);
  if (!in) throw std::runtime_error(path + ": cannot be read");
  json out = json::parse(in, nullptr, false);
  if (!out.is_object() || out.value("kind", "") != "reeltack-load-report")
    throw std::runtime_error(path + ": is no load report");
  if (out.value("version", 0) != kReportVersion)
    throw std::runtime_error(path + ": has version " + std::to_string(out.value("version", 0)) +
                             ", this tool reads " + std::to_string(kReportVersion));
  return out;
}

Comparison compare_reports(const json& a, const json& b, double bound) {
  // What is held, and whether more of it is better.
  struct Figure {
    const char* name;
    const char* pointer;
    int better;     // 1: more is, -1: less is, 0: only shown
    double ignore;  // differences below this much are noise
  };
  static constexpr Figure kFigures[] = {
      {"calls planned", "/arrivals/planned", 0, 0.0},   {"stands", "/results/stands", 0, 0.0},
      {"unanswered", "/results/unanswered", -1, 0.0},   {"worth (part)", "/worth/part", 1, 0.0},
      {"latency p50 (ms)", "/latency_ms/p50", -1, 0.2}, {"latency p99 (ms)", "/latency_ms/p99", -1, 1.0},
      {"latency max (ms)", "/latency_ms/max", 0, 0.0},  {"lateness p99 (us)", "/lateness_us/p99", 0, 0.0},
      {"violations", "/violations/total", -1, 0.0}};
  Comparison out;
  std::ostringstream table;
  table << std::left << std::setw(20) << "" << std::right << std::setw(14) << "first" << std::setw(14)
        << "second" << std::setw(10) << "ratio"
        << "\n";
  for (const Figure& f : kFigures) {
    const double x = a.at(json::json_pointer(f.pointer));
    const double y = b.at(json::json_pointer(f.pointer));
    const double worse_by = f.better > 0 ? x - y : y - x;
    const bool worse = f.better != 0 && worse_by > f.ignore && worse_by > bound * std::abs(x);
    out.worse = out.worse || worse;
    const std::string ratio = x == 0.0 ? (y == 0.0 ? "1.00" : "-") : fixed(y / x, 2);
    table << std::left << std::setw(20) << f.name << std::right << std::setw(14) << fixed(x, 3)
          << std::setw(14) << fixed(y, 3) << std::setw(10) << ratio << (worse ? "  worse" : "") << "\n";
    out.json["figures"][f.name] = {{"first", x}, {"second", y}, {"worse", worse}};
  }
  for (const json* r : {&a, &b}) {
    if ((*r)["verdict"] == "valid") continue;
    out.worse = true;
    table << (r == &a ? "first: " : "second: ") << (*r)["verdict_text"].get<std::string>() << "\n";
  }
  if (a["run"]["seed"] != b["run"]["seed"] || a["arrivals"]["planned"] != b["arrivals"]["planned"])
    table << "note: the two runs played different schedules\n";
  out.json["worse"] = out.worse;
  out.table = table.str();
  return out;
}

}  // namespace reeltack::load
