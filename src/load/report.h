// The report of a run: report.json, intervals.csv and report.html in a folder.
//
// Owns: the form of the report (version 1, docs/load.md) and its plots.
// Must never: change a figure, or show a run as good that is not.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "load/plan/rules.h"
#include "load/player.h"

namespace reeltack::load {

inline constexpr int kReportVersion = 1;

nlohmann::json report_json(const Played& run, const RulesChecker::Found* rules);
// Writes all three files; gnuplot draws the plots where it is installed, and the page says so where it is
// not. Throws std::runtime_error with the file that could not be written.
void write_report(const std::string& dir, const Played& run, const RulesChecker::Found* rules);
std::string show_report(const nlohmann::json& report);  // a table for people

// What changed from one report to another, as ratios. Throws std::runtime_error for what is no report.
struct Comparison {  // NOLINT(bugprone-exception-escape): of the JSON library's moves
  std::string table;
  nlohmann::json json;
  bool worse = false;  // by more than `bound` in a figure that is held, or an invalid run
};
nlohmann::json load_report(const std::string& dir);
Comparison compare_reports(const nlohmann::json& a, const nlohmann::json& b, double bound);

}  // namespace reeltack::load
