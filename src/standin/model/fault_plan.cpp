// Names of links and the schedule of faults: see the header.
#include "standin/model/fault_plan.h"

#include <algorithm>
#include <set>
#include <stdexcept>

namespace reeltack::standin {

FaultPlan::FaultPlan(std::vector<std::string> members, Groups groups, std::vector<ScheduledFault> schedule)
    : members_(std::move(members)), groups_(std::move(groups)) {
  std::set<std::string> seen{"*"};
  const auto own = [&seen](const std::string& name) {
    if (!seen.insert(name).second) throw std::invalid_argument("'" + name + "' names two things");
  };
  for (const std::string& name : members_) own(name);
  for (const auto& [name, of] : groups_) {
    own(name);
    for (const std::string& m : of) (void)member(m);
  }
  for (ScheduledFault& s : schedule) {
    if (const std::string wrong = check_fault(s.fault); !wrong.empty()) throw std::invalid_argument(wrong);
    std::vector<Link> on = links(s.links);
    schedule_.emplace_back(std::move(s), std::move(on));
  }
}

std::size_t FaultPlan::member(const std::string& name) const {
  const auto found = std::find(members_.begin(), members_.end(), name);
  if (found == members_.end()) throw std::invalid_argument("no member is called '" + name + "'");
  return static_cast<std::size_t>(found - members_.begin());
}

std::vector<std::size_t> FaultPlan::named(const std::vector<std::string>& words) const {
  std::vector<std::size_t> out;
  for (const std::string& word : words) {
    const auto group = groups_.find(word);
    if (word == "*") {
      for (std::size_t i = 0; i < members_.size(); ++i) out.push_back(i);
    } else if (group != groups_.end()) {
      for (const std::string& m : group->second) out.push_back(member(m));
    } else if (std::find(members_.begin(), members_.end(), word) != members_.end()) {
      out.push_back(member(word));
    } else {
      throw std::invalid_argument("no member or group is called '" + word + "'");
    }
  }
  return out;
}

std::vector<FaultPlan::Link> FaultPlan::links(const LinkSet& set) const {
  std::set<Link> out;
  for (const std::size_t from : named(set.from)) {
    for (const std::size_t to : named(set.to)) {
      if (from == to) continue;
      out.emplace(from, to);
      if (set.both) out.emplace(to, from);
    }
  }
  return {out.begin(), out.end()};
}

std::map<FaultPlan::Link, Fault> FaultPlan::at(Duration since) const {
  std::map<Link, Fault> out;
  for (const auto& [s, on] : schedule_) {
    if (since < s.at || since >= s.at + s.lasts) continue;
    for (const Link& link : on) {
      const auto [found, fresh] = out.try_emplace(link, s.fault);
      if (!fresh) found->second = together(found->second, s.fault);
    }
  }
  return out;
}

std::optional<Duration> FaultPlan::next(Duration since) const {
  std::optional<Duration> out;
  for (const auto& [s, on] : schedule_) {
    for (const Duration at : {s.at, s.at + s.lasts}) {
      if (at > since) out = std::min(out.value_or(at), at);
    }
  }
  return out;
}

}  // namespace reeltack::standin
