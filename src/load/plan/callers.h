// What the callers of a run do: their tries, their patience, their redials, and what each call came to.
//
// Owns: every call from its planned instant to its end, the ids of its tries, and the judgement on what the
//   target says (a second answer, an answer to a call nobody made, a description no endpoint gave).
// Must never: do I/O, read a clock, or let what the target does move a planned instant.
//
// Takes events, returns actions, as the decision module does; equal inputs give equal outputs. A try's
// latency counts from its planned instant, so that a generator or a target that stands still cannot hide it
// (Tene, "How NOT to Measure Latency", 2013). Threads: one at a time.
#pragma once

#include <queue>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "load/plan/recorder.h"
#include "load/plan/schedule.h"

namespace reeltack::load {

enum class TryId : std::uint64_t {};  // goes on the wire as 16 hex digits

// Asked of whoever owns the wire.
struct PlaceTry {
  TryId id{};
  std::uint32_t call_class = 0;
  std::uint32_t first_choice = 0;
  std::uint64_t number = 0;
  Duration patience{};     // left now
  bool again = false;      // it was cut and comes again
  std::uint64_t user = 0;  // below `users`; equal for all tries of a call
};
struct GiveUpTry {
  TryId id{};
  std::uint64_t user = 0;
};
struct ReleaseTry {
  TryId id{};
  std::uint64_t user = 0;
};
using CallerAction = std::variant<PlaceTry, GiveUpTry, ReleaseTry>;
using CallerActions = std::vector<CallerAction>;

// The calls of a run.
class Callers {
 public:
  // `salt` keeps the ids of two runs against one target apart. `users`: how many closed-loop callers the run
  // is compared with, a connection each. `check_descriptions`: they are a fake endpoint's.
  Callers(const Scenario& scenario, std::uint64_t salt, std::size_t users, Recorder& recorder,
          bool check_descriptions);

  // Times are spans from the run's start.
  void arrive(Duration now, const Arrival& arrival, CallerActions& actions);
  void sent(Duration now, TryId id);  // its first byte has gone
  void stands(Duration now, TryId id, std::string_view description, CallerActions& actions);
  enum class No { refused, failed };
  void refused(Duration now, TryId id, No how, Duration later);
  void heard_give_up(Duration now, TryId id);       // the target has taken the giving up
  void released(Duration now, TryId id, bool cut);  // by the target
  void lost(Duration now, TryId id);                // the connection it was open on has ended
  void unreadable(const std::string& words) { recorder_.violation(&Violations::unreadable, words); }
  void fire(Duration now, CallerActions& actions);          // everything due by now
  [[nodiscard]] Duration next_due() const;                  // Duration::max(): nothing
  [[nodiscard]] std::size_t open() const { return open_; }  // calls without a result
  [[nodiscard]] std::size_t standing() const { return standing_; }
  [[nodiscard]] std::uint64_t crossed() const { return crossed_; }  // answers that met a giving up
  // First answers to tries that count as unanswered already.
  [[nodiscard]] std::uint64_t late() const { return late_; }
  // The run is over: what is open has waited until now and counts so; what stands is released.
  void close(Duration now, CallerActions& actions);

 private:
  enum class Phase { trying, waiting, given_up, standing, done };
  struct Call {
    Arrival arrival;
    Phase phase = Phase::waiting;
    std::uint32_t tries = 0;
    TryId current{};
    Duration planned{};  // of the current try
    Duration sent_at{};  // of the current try, if it was sent
    bool was_sent = false;
    bool alone = false;   // a closed-loop caller would have made the current try
    bool again = false;   // it stood and was cut
    bool judged = false;  // its result is counted
    double worth = 0.0;   // earned, taken back if it is cut
  };
  // A try that its caller has given up and whose end the target has not reported yet.
  struct Abandoned {
    std::uint64_t key = 0;
    bool last = false;  // no other try follows: the call's result waits for this
  };
  struct Due {
    enum class What { patience, leave, redial, release, forget };
    Duration at{};
    What what{};
    std::uint64_t key = 0;
    TryId id{};
    bool operator>(const Due& o) const { return at > o.at; }
  };
  [[nodiscard]] TryId id_of(const Arrival& a, std::uint32_t tries) const;
  [[nodiscard]] bool ever_made(TryId id) const;
  [[nodiscard]] std::uint64_t user_of(std::uint64_t key) const { return mix(key) % users_.size(); }
  [[nodiscard]] std::uint64_t user_of(TryId id) const;  // of a try that this run has made
  static std::uint64_t key_of(const Arrival& a) { return std::uint64_t{a.call_class} << 52U | a.index; }
  Call* trying(TryId id);  // the call whose current try this is, still without an answer
  void unexpected(TryId id, const char* what);
  void place(Duration now, std::uint64_t key, Call& call, CallerActions& actions);
  void measure(Duration now, Call& call);
  void give_up(Duration now, std::uint64_t key, Call& call, bool may_redial, CallerActions& actions);
  bool redial(Duration now, std::uint64_t key, Call& call, Duration later);  // false: no more
  void judge(Duration now, Call& call, Result result);
  void settle(Duration now, TryId id, Result result);  // an abandoned try's end is known
  void settle_unanswered(Duration now, TryId id);
  bool take_late_answer(TryId id);  // true: the first answer to a try that counts as unanswered
  void forget(std::uint64_t key) { calls_.erase(key); }

  const Scenario& scenario_;
  const std::uint64_t salt_;
  Recorder& recorder_;
  const bool check_;
  std::unordered_map<std::uint64_t, Call> calls_;     // by class and index
  std::unordered_map<TryId, std::uint64_t> current_;  // tries whose answer is awaited, or whose call stands
  std::unordered_map<TryId, Abandoned> abandoned_;
  std::unordered_set<TryId> unanswered_;  // tries that no answer has come to, awaited no more
  std::vector<std::uint64_t> made_;  // arrivals of each class so far: indices below are calls of this run
  std::vector<TryId> users_;         // the try that each closed-loop caller waits for
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  std::size_t open_ = 0;
  std::size_t standing_ = 0;
  std::uint64_t crossed_ = 0;
  std::uint64_t late_ = 0;
};

}  // namespace reeltack::load
