// How one controller stands to the approved version, as seen by another: from its report, the age of the
// report and the time since the last change; and the alarm on it, with its delays.
//
// A member's own claim to be in step is not believed: the observer computes the rules required of it. Times
// are those of the observer's steady clock, passed in. Not thread-safe. Equal inputs give equal outputs.
#pragma once

#include <deque>

#include "fleet/drift/drift_facts.h"
#include "fleet/members/ids.h"
#include "rules/catalogue.h"

namespace reeltack::fleet::drift {

enum class View : std::uint8_t {
  unknown,      // it has never reported
  unreachable,  // dead or left; its last report and age are kept
  stale,        // it is alive, and its report is old
  ahead,        // its version is newer than the one approved here
  adopting,     // not as required, within the grace period
  pending,      // the differing rules take effect at its next start
  in_step,
  behind,    // an older version, past the grace period
  diverged,  // this version, but other rules, past the grace period
  flapping,  // its rules change back and forth
};
inline constexpr std::size_t kViews = 10;
const char* name_of(View view);
[[nodiscard]] constexpr bool is_deviation(View view) { return view >= View::behind; }

struct ViewSettings {
  Duration grace = std::chrono::seconds(2);         // after its rules changed, or it started
  Duration propagation = std::chrono::seconds(15);  // after its version changed, which must reach it first
  Duration confirm = std::chrono::seconds(1);       // a deviation lasts this long before the alarm is raised
  Duration clear = std::chrono::seconds(5);         // and is gone this long before the alarm is cleared
  Duration flap_window = std::chrono::seconds(20);
  std::size_t flaps = 4;  // changes of its rules within the window
};

// What is known of the rules of one member.
class MemberRules {
 public:
  void on_report(Time now, const RulesReport& report, Duration age);
  void on_restart(Time now);  // it runs under another incarnation
  void set_alive(Time now, bool alive);

  // `approved` is the version approved here, `required` the digest of the rules it requires of this member,
  // `since` the time of its approval here.
  [[nodiscard]] View view(Time now, const ViewSettings& settings, const VersionId& approved,
                          rules::Digest required, Time since, Duration stale_after) const;
  // Updates the alarm by the present view; true if it was raised or cleared.
  bool update_alarm(Time now, const ViewSettings& settings, View view);
  [[nodiscard]] bool alarmed() const { return alarmed_; }
  [[nodiscard]] const std::optional<RulesReport>& report() const { return report_; }
  [[nodiscard]] Time reported_at() const { return reported_at_; }
  [[nodiscard]] rules::Severity worst_severity() const;  // of the keys that it reports as different

 private:
  std::optional<RulesReport> report_;
  Time reported_at_ = Time::min();  // when it was made, by its age
  Time changed_at_ = Time::min();   // its governed rules or its version changed
  Time started_at_ = Time::min();
  std::deque<Time> changes_;
  bool alive_ = false;
  bool alarmed_ = false;
  std::optional<Time> deviating_since_, conforming_since_;
};

}  // namespace reeltack::fleet::drift
