// What every step knows: settings, the time told, random numbers, calls, servers and the rates of what was
// seen. Decides nothing; no step keeps a second copy of what stands here.
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

// Levels: 0 top, 1 urgent, the rest by worth, each worth half the one above.
constexpr std::size_t kLevels = 10;
constexpr std::size_t kTop = 0;
constexpr std::size_t kUrgent = 1;
constexpr std::size_t kLowest = kLevels - 1;  // numbers found busy
constexpr std::size_t kLate = kLevels - 2;    // callers whose aim has passed
constexpr double kLookAgain = 0.025;          // of the shortest aim: then a waiting call is looked at again
constexpr double kLeast = 4.0;  // set-ups of all gateways, taken for before any is seen. Not measured.

inline double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }
inline Duration from_seconds(double s) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::clamp(s, 0.0, 1.0e9)));
}
inline Duration part_of(Duration d, double part) { return from_seconds(seconds(d) * part); }

enum class State { waiting, guarded, sent };

struct Call {
  CallArrived told;
  Time arrived{};
  Time first_tried{};  // when its caller first tried, as far as this gateway saw
  bool late = false;   // the aim had run out when it arrived
  Duration aim{};
  std::size_t level = kLowest;
  State state = State::waiting;
  std::optional<ServerId> bound;
  std::uint32_t attempts = 0;
  std::uint64_t order = 0;  // place in the order of arrival

  Time not_before{};         // release guard
  bool turned_back = false;  // answered full once
  bool may_have_run = false;
};

// Set-ups that wait for one server, by level, oldest first.
struct Queue {
  std::array<std::map<std::uint64_t, CallId>, kLevels> levels;
  std::set<std::pair<Time, std::uint64_t>> due;  // when the aim's margin is used up, for those below the top

  [[nodiscard]] std::size_t count_to(std::size_t level) const {
    std::size_t n = 0;
    for (std::size_t j = 0; j <= level; ++j) n += levels[j].size();
    return n;
  }
  [[nodiscard]] bool empty() const { return count_to(kLowest) == 0; }
};

struct Slot {
  CallId call{};
  std::uint32_t attempt = 0;
  Time sent{};
};

struct Server {
  ServerEntry told;
  Queue queue;
  std::optional<Slot> slot;
  Duration measured{};       // delta t measured; nought until the first answer
  Duration deviation{};      // mean, of the answers from it
  std::uint32_t missed = 0;  // attempts without an answer, in a row
  Time measured_at{};
  Time last_good{};   // when it last did what it was asked
  double turn = 0.0;  // credit in the weighted rotation

  Time no_lines_until{};       // shows no free line for this gateway
  double lines = 0.0;          // as last told; 0: never told
  double free_part = 1.0;      // of these
  double good = 1.0;           // part of the attempts that were answered at all, of late
  std::uint32_t failures = 0;  // in a row
  Time rests_until{};
  Time turn_at{};   // this gateway's next turn there
  Time turn_of{};   // the start of the server that it is kept for
  Duration pace{};  // by the terms: between two turns while it is cold, at the least
};

// So many a second over the last ramp, fading; a gateway that has run for less takes what it has seen.
struct Rate {
  double count = 0.0;
  Time counted{};
};

struct Shared {
  [[nodiscard]] static bool listed_ready(const Server& s) { return s.told.state == ServerState::ready; }

  Server* find_server(ServerId id) {
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : &found->second;
  }

  [[nodiscard]] Duration look_again() const {
    return std::max({set_.tick, part_of(shortest_aim_, kLookAgain), Duration{1000}});
  }

  [[nodiscard]] double fade(const Rate& r) const {
    return r.count * std::exp(-seconds(now_ - r.counted) / std::max(seconds(set_.ramp), 1.0e-9));
  }
  void count(Rate& r, double by = 1.0) const { r = {fade(r) + by, now_}; }
  // `unit`: what each of its set-ups was counted by.
  [[nodiscard]] double a_second(const Rate& r, double unit = 1.0) const {
    const double over = std::max(seconds(set_.ramp), 1.0e-9);
    // Never nought: in the first turn, without a rule on cold servers, the rate would not be a number.
    const double ran = std::max({seconds(now_ - began_), seconds(set_.fall_span), 0.001});
    return std::max(fade(r), unit * kLeast / set_.gateways) / (over * (1.0 - std::exp(-ran / over)));
  }

  // A line for on-call staff, at most one for a symptom (and server) in a ramp's time.
  void note(const std::string& symptom) {
    const auto [told, first] = noted_.try_emplace(symptom, now_);
    if (!first && now_ < told->second + std::max(set_.ramp, shortest_aim_)) return;
    told->second = now_;
    out_->emplace_back(LogLine{symptom});
  }
  void note(const char* symptom, const Server& s) {
    note("server " + std::to_string(static_cast<std::uint32_t>(s.told.server)) + " " + symptom);
  }

  // SplitMix64: a small generator whose numbers are the same on every machine.
  double uniform() {
    random_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t z = random_;
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
    return static_cast<double>((z ^ (z >> 31U)) >> 11U) * 0x1.0p-53;
  }
  // Around so long, not in step.
  [[nodiscard]] Duration spread(Duration d) { return part_of(d, 0.5 + uniform()); }

  Settings set_;
  std::uint64_t random_ = 0;
  Time now_{};
  ActionSink* out_ = nullptr;
  Time began_{};
  Time heard_{};       // when it last had a turn
  Duration paused_{};  // how long it may have stood still before this turn
  Duration shortest_aim_{};
  std::map<ServerId, Server> servers_;  // ordered: equal events must give equal actions
  std::unordered_map<CallId, Call> calls_;
  std::vector<Duration> closed_;  // by the terms and class: come back in so long
  std::map<std::string, Time> noted_;
  Rate first_tries_;
  Rate stood_;
  Rate stood_by_size_;       // each counted by 1 / able_size_, as that was then
  double total_size_ = 0.0;  // of the ready servers
  double able_size_ = 0.0;   // the same, a cold one by the part of its share that it is sent
  std::map<std::uint32_t, Rate> class_tries_;
  std::map<std::uint32_t, Rate> class_stood_;
};

}  // namespace reeltack::policy
