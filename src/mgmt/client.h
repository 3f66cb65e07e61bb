// The caller's side of the management address, for the operators' tool and tests.
//
// Owns: one question on a connection of its own, the reading of figures, and how long answers took.
// Must never: print, decide what is good, or wait past the deadline it was given.
//
// Threads: each function runs on its caller's. Errors: MgmtError, whose text says what was asked of whom and
// what came instead. Times: absolute deadlines of the steady clock (base::now()); spans in nanoseconds.
#pragma once

#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "net/buffers.h"

namespace reeltack::mgmt {

struct MgmtError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Reply {
  bool ok = false;   // the first line began with OK
  std::string text;  // all that came, to the end of the connection
  Duration took{};   // from the dial to the end
};
// Sends `verb` as one line. Throws MgmtError where nobody answers by the deadline, or with neither OK nor
// ERR.
Reply ask(const net::Address& at, const std::string& verb, Time by);

// `proxy.NAME=VALUE` lines between the first and END. Throws MgmtError naming the line for anything else: an
// answer cut short has no END.
std::map<std::string, std::uint64_t> parse_figures(const std::string& text);

// Answer times of one watch, and its failures.
class Watch {
 public:
  void took(Duration answer) { times_.push_back(answer); }
  void failed(std::string why) { failures_.push_back(std::move(why)); }
  [[nodiscard]] std::size_t answered() const { return times_.size(); }
  [[nodiscard]] const std::vector<std::string>& failures() const { return failures_; }
  [[nodiscard]] std::size_t late(Duration bound) const;
  // The smallest time that at least this part of the answers did not exceed; 0 where there are none.
  [[nodiscard]] Duration percentile(double part) const;

 private:
  std::vector<Duration> times_;
  std::vector<std::string> failures_;
};

// Asks for the figures each `every`, while `more` says so of the next planned instant; blocks until then. A
// time counts from its planned instant, so that a slow answer does not hide those that should have followed
// it.
Watch watch_figures(const net::Address& at, Duration every, const std::function<bool(Time)>& more);

}  // namespace reeltack::mgmt
