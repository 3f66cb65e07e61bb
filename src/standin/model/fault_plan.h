// Which links a fault is on, and when: names, groups of names, and a schedule.
//
// Owns: what names of links mean, and the faults that the schedule puts on a link at a time.
// Must never: read a clock, do I/O, or keep what was set by hand.
//
// Members are known by position. No link leads from a member to itself. Threads: const functions from any.
// Errors: std::invalid_argument from the constructor and links(), naming the word that nobody has.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "standin/model/faults.h"

namespace reeltack::standin {

// Links from each of `from` to each of `to`: names of members, of groups, or "*".
struct LinkSet {
  std::vector<std::string> from{"*"};
  std::vector<std::string> to{"*"};
  bool both = false;  // the links back, too
};

struct ScheduledFault {
  Duration at{};  // from the schedule's beginning
  Duration lasts{};
  LinkSet links;
  Fault fault;
};

class FaultPlan {
 public:
  using Groups = std::map<std::string, std::vector<std::string>>;
  FaultPlan(std::vector<std::string> members, Groups groups, std::vector<ScheduledFault> schedule);

  using Link = std::pair<std::size_t, std::size_t>;                 // from, to
  [[nodiscard]] std::vector<Link> links(const LinkSet& set) const;  // each once, in order
  [[nodiscard]] std::size_t member(const std::string& name) const;
  [[nodiscard]] const std::vector<std::string>& members() const { return members_; }

  // All that stands on each link at a time since the beginning; links without a fault are left out.
  [[nodiscard]] std::map<Link, Fault> at(Duration since) const;
  // The first time after this one at which something begins or ends.
  [[nodiscard]] std::optional<Duration> next(Duration since) const;

 private:
  [[nodiscard]] std::vector<std::size_t> named(const std::vector<std::string>& words) const;
  const std::vector<std::string> members_;
  const Groups groups_;
  std::vector<std::pair<ScheduledFault, std::vector<Link>>> schedule_;
};

}  // namespace reeltack::standin
