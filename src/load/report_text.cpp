// The table of a run for people.
#include <iomanip>
#include <sstream>

#include "load/report.h"
#include "load/report_numbers.h"

namespace reeltack::load {

std::string show_report(const nlohmann::json& r) {
  std::ostringstream out;
  out << "calls     " << r["arrivals"]["planned"] << " planned, " << r["arrivals"]["started"] << " started, "
      << r["tries"] << " tries in " << fixed(r["run"]["lasted_s"], 1) << " s"
      << (r["run"]["ended_early"] ? " (ended early)" : "") << "\n";
  out << "results  ";
  for (const char* name : kResultNames) out << " " << r["results"][name] << " " << name;
  out << "\nworth     " << fixed(r["worth"]["earned"], 1) << " of " << fixed(r["worth"]["offered"], 1) << " ("
      << fixed(100.0 * r["worth"]["part"].get<double>(), 1) << "%)\n";
  out << "                        p50        p90        p99       p999        max\n";
  const auto row = [&out](const std::string& name, const nlohmann::json& s) {
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

}  // namespace reeltack::load
