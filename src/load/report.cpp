#include "load/report.h"

#include <chrono>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "load/report_files.h"
#include "load/report_numbers.h"
#include "load/report_page.h"

namespace reeltack::load {

namespace {

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
    out << "," << i.latency.count() << "," << milliseconds(i.latency.percentile(0.5)) << ","
        << milliseconds(i.latency.percentile(0.9)) << "," << milliseconds(i.latency.percentile(0.99)) << ","
        << milliseconds(i.latency.max()) << "\n";
    at += step;
  }
  return out.str();
}

}  // namespace

void write_text(const std::string& path, const std::string& text) {
  std::ofstream out(path, std::ios::trunc | std::ios::binary);
  if (!(out << text) || !out.flush()) throw std::runtime_error(path + ": cannot be written");
}

void write_report(const std::string& dir, const Played& run, const RulesChecker::Found* rules) {
  std::error_code error;
  std::filesystem::create_directories(dir, error);
  if (error) throw std::runtime_error(dir + ": cannot be made: " + error.message());
  const nlohmann::json report = report_json(run, rules);
  write_text(dir + "/report.json", report.dump(2) + "\n");
  write_text(dir + "/intervals.csv", intervals_csv(run));
  write_text(dir + "/report.html", report_page(dir, report));
}

}  // namespace reeltack::load
