#include "load/report_page.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>
#include <vector>

#include "load/report.h"
#include "load/report_files.h"

extern char** environ;  // NOLINT: POSIX wants it declared by its user

namespace reeltack::load {

namespace {

using nlohmann::json;

// Runs gnuplot on the script and returns the SVG that it writes; empty: it is not installed or failed.
std::string draw_plot(const std::string& script, const std::string& dir) {
  const std::string in = dir + "/.plot.gp";
  const std::string svg = dir + "/.plot.svg";
  write_text(in, script);
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

}  // namespace

std::string report_page(const std::string& dir, const nlohmann::json& report) {
  const std::string csv = dir + "/intervals.csv";
  std::string plots;
  const auto add = [&](const std::string& script) {
    const std::string svg = draw_plot(script, dir);
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

}  // namespace reeltack::load
