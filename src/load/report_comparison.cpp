// Reading reports back and comparing two of them.
#include <cmath>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <sstream>
#include <stdexcept>

#include "load/report.h"
#include "load/report_numbers.h"

namespace reeltack::load {

using nlohmann::json;

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
