// State and helpers that every layer of the decision module uses: settings, the current time, random numbers,
// calls, servers and observed rates. This layer takes no decision; no other layer keeps a copy of its data.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

#include "reeltack/controller.h"

namespace reeltack::policy {

// Priority levels: 0 is the top, 1 is urgent; below, by worth, each level worth half of the one above it,
// down to kLeastWorthLevel; then as many levels for calls of connections that ask for more than their share.
constexpr std::size_t kLevels = 16;
constexpr std::size_t kTopLevel = 0;
constexpr std::size_t kUrgentLevel = 1;
constexpr std::size_t kLeastWorthLevel = 7;
constexpr std::size_t kMaxShareLevels = 6;         // by which such a call is lowered at most
constexpr std::size_t kLowestLevel = kLevels - 1;  // calls to numbers that were found busy
constexpr std::size_t kLateLevel = kLevels - 2;    // calls whose aim has passed
// Interval at which waiting calls are checked again, as a fraction of the shortest aim.
constexpr double kRecheckFraction = 0.025;
// Set-ups of all gateways that a rate assumes at least, for the time before any has been observed.
constexpr double kAssumedSetUps = 4.0;

inline double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }
inline Duration from_seconds(double s) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::clamp(s, 0.0, 1.0e9)));
}
inline Duration scaled(Duration d, double factor) { return from_seconds(seconds(d) * factor); }

// `guarded`: waits for the end of the release guard before it may be sent again.
enum class CallState { waiting, guarded, sent };

struct Call {
  CallArrived request;
  Time arrived_at{};
  Time first_tried_at{};  // first try of its caller, as far as this gateway observed it
  bool late = false;      // the aim had passed when the call arrived
  Duration aim{};
  std::size_t level = kLowestLevel;
  double over_share = 1.0;  // its connection asked for this multiple of what it may ask for
  CallState state = CallState::waiting;
  std::optional<ServerId> bound_to;
  std::uint32_t attempts = 0;
  std::uint64_t arrival_order = 0;

  Time not_before{};           // end of the release guard
  bool answered_full = false;  // one server has already answered that it is full
  bool may_have_run = false;   // an attempt may have had an effect
};

// Calls that wait for one server, by level, oldest first.
struct Queue {
  std::array<std::map<std::uint64_t, CallId>, kLevels> levels;
  // By the latest time at which the call may still be sent (see latest_send()), then by arrival.
  std::set<std::pair<Time, std::uint64_t>> by_latest_send;

  [[nodiscard]] std::size_t count_through(std::size_t level) const {
    std::size_t n = 0;
    for (std::size_t j = 0; j <= level; ++j) n += levels[j].size();
    return n;
  }
  [[nodiscard]] bool empty() const { return count_through(kLowestLevel) == 0; }
};

// The one unanswered set-up of this gateway at a server.
struct PendingSetUp {
  CallId call{};
  std::uint32_t attempt = 0;
  Time sent_at{};
};

struct Server {
  ServerEntry entry;
  Queue queue;
  std::optional<PendingSetUp> pending;
  Duration mean_delay{};         // "delta t measured" of the paper; zero until the first answer
  Duration mean_deviation{};     // of the answers from mean_delay
  std::uint32_t unanswered = 0;  // consecutive attempts without an answer
  Time measured_at{};
  Time last_success_at{};  // when an attempt there last succeeded
  double credit = 0.0;     // in the weighted round robin

  Time no_lines_until{};           // no free line for this gateway until then
  double lines = 0.0;              // as last reported; 0: never reported
  double free_fraction = 1.0;      // of these lines
  double answered_fraction = 1.0;  // moving average of the attempts that were answered at all
  std::uint32_t failures = 0;      // consecutive
  Time backoff_until{};
  Time next_send_at{};           // this gateway's next send slot at the server
  Time send_slot_start{};        // start of the server for which next_send_at was set
  Duration min_send_interval{};  // required by the admission limits while the server is cold
};

// A count of events that decays exponentially with the ramp as time constant; see per_second().
struct Rate {
  double count = 0.0;
  Time updated_at{};
};

struct SharedState {
  [[nodiscard]] static bool is_ready(const Server& s) { return s.entry.state == ServerState::ready; }

  Server* find_server(ServerId id) {
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : &found->second;
  }

  [[nodiscard]] Duration recheck_interval() const {
    return std::max({settings_.tick, scaled(shortest_aim_, kRecheckFraction), Duration{1000}});
  }

  [[nodiscard]] double decayed(const Rate& r) const {
    return r.count * std::exp(-seconds(now_ - r.updated_at) / std::max(seconds(settings_.ramp), 1.0e-9));
  }
  void add(Rate& r, double amount = 1.0) const { r = {decayed(r) + amount, now_}; }
  // `unit`: the amount by which one set-up was counted. A gateway that has run for less than a ramp divides
  // by the time that it has run.
  [[nodiscard]] double per_second(const Rate& r, double unit = 1.0) const {
    const double over = std::max(seconds(settings_.ramp), 1.0e-9);
    // Never zero: in the first step, without a rule for cold servers, the rate would not be a number.
    const double elapsed = std::max({seconds(now_ - first_step_at_), seconds(settings_.fall_span), 0.001});
    return std::max(decayed(r), unit * kAssumedSetUps / settings_.gateways) /
           (over * (1.0 - std::exp(-elapsed / over)));
  }

  // Writes a line for on-call staff, at most once per ramp for each symptom (and server).
  void log(const std::string& symptom) {
    const auto [entry, first] = logged_at_.try_emplace(symptom, now_);
    if (!first && now_ < entry->second + std::max(settings_.ramp, shortest_aim_)) return;
    entry->second = now_;
    actions_->emplace_back(LogLine{symptom});
  }
  void log(const char* symptom, const Server& s) {
    log("server " + std::to_string(static_cast<std::uint32_t>(s.entry.server)) + " " + symptom);
  }

  // SplitMix64: a small generator that gives the same numbers on every machine.
  double uniform() {
    random_state_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t z = random_state_;
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
    return static_cast<double>((z ^ (z >> 31U)) >> 11U) * 0x1.0p-53;
  }
  // Between half and one and a half times `d`, so that gateways do not act in step.
  [[nodiscard]] Duration jittered(Duration d) { return scaled(d, 0.5 + uniform()); }

  Settings settings_;
  std::uint64_t random_state_ = 0;
  Time now_{};
  ActionSink* actions_ = nullptr;
  Time first_step_at_{};
  Time last_step_at_{};
  Duration pause_{};  // how long this gateway may have been paused before this step
  Duration shortest_aim_{};
  std::map<ServerId, Server> servers_;  // ordered, since equal events must give equal actions
  std::unordered_map<CallId, Call> calls_;
  std::vector<Duration> retry_after_by_class_;  // from the admission limits
  std::map<std::string, Time> logged_at_;
  Rate first_tries_;
  Rate established_;
  Rate established_by_size_;  // each call counted by 1 / usable_size_ at that time
  double total_size_ = 0.0;   // of the ready servers
  double usable_size_ = 0.0;  // the same, a cold server reduced to the fraction of its share that it is sent
  std::map<std::uint32_t, Rate> class_tries_;
  std::map<std::uint32_t, Rate> class_established_;
};

}  // namespace reeltack::policy
