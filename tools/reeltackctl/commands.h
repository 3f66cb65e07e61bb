// The subcommands of reeltackctl, a file each.
//
// Owns: their registration and what they share: exit codes, the log, the end by Ctrl-C, the progress line.
// Must never: hold logic that a test can't reach; that lives in src/.
#pragma once

#include <CLI/CLI.hpp>
#include <atomic>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "load/player.h"
#include "mgmt/client.h"

namespace reeltack::ctl {

inline constexpr int kGood = 0;
inline constexpr int kFailed = 1;
inline constexpr int kUsage = 2;

struct Shared {
  bool json = false;         // --json: for machines
  std::string log = "text";  // --log
  int result = kGood;        // what the chosen subcommand returned
};

void add_load(CLI::App& app, Shared& shared);
void add_baseline(CLI::App& load, Shared& shared);
void add_side_by_side(CLI::App& baseline, Shared& shared);
void add_standin(CLI::App& app, Shared& shared);
void add_between(CLI::App& standin, Shared& shared);
void add_demo(CLI::App& app, Shared& shared);
void add_trunk(CLI::App& app, Shared& shared);
void add_mgmt(CLI::App& app, Shared& shared);
void add_measure(CLI::App& mgmt, Shared& shared);

// What a watch of the management address has seen, for people and machines.
double ms(Duration d);
nlohmann::json watch_json(const mgmt::Watch& seen);
int watch_result(
    const mgmt::Watch& seen);  // kFailed where an answer was late or missing, said on standard error

const std::atomic<bool>& stopped();  // set by SIGINT and SIGTERM
void catch_stop();
// A line on standard error that is written over, on a terminal; nothing in a pipe.
std::function<void(const load::Recorder&, Duration, std::size_t, std::size_t)> progress_line(Duration whole);
void end_progress_line();
// The folder in which this program stands, for what was built beside it.
std::string own_folder();
void set_up_log(const std::string& form);

}  // namespace reeltack::ctl
