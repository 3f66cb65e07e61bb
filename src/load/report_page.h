// The page of a load run, with plots that gnuplot draws where it is installed.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace reeltack::load {

// The page for `report`, whose intervals.csv lies in `dir` already; a plot that cannot be drawn is named so.
// Writes temporary files into `dir` and runs gnuplot. Throws std::runtime_error where it cannot write there.
std::string report_page(const std::string& dir, const nlohmann::json& report);

}  // namespace reeltack::load
