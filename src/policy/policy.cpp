// The decision module: which calls this gateway sets up, when, at which server, and which it refuses.
// The mechanism is the overload control of Andersson and Kihl (NTS 17, 2004, section 4). A call's way: rough
//   admission (EQ 1) -> token bucket (level) -> bind (first choice or rotation) -> waits at its server's
//   queue
//   -> one unanswered set-up per server -> answer (measures the delay) -> next one.
// What departs from it is marked EXCEPTION, with its condition. Each step is a layer that calls those under
// it only: shared, tests, choice, finals, arrival, slots, outcomes, list. This file owns the turn, which is
// the order in which they run, and the timer; it decides on no call.
#include "policy/list.h"

namespace reeltack {

constexpr int kIdleLooks = 4;  // while nothing waits, so many times less often

class Controller::Policy : policy::List {
 public:
  Policy(const Settings& settings, std::uint64_t seed) {
    set_ = settings;
    random_ = seed;
    shortest_aim_ = set_.classes.empty() ? Duration{} : Duration::max();
    for (const ClassSettings& c : set_.classes) {
      best_worth_ = std::max(best_worth_, c.worth);
      shortest_aim_ = std::min(shortest_aim_, c.aim);
    }
  }

  // One turn: all that came is taken before anything is decided, for a later event may undo an earlier one.
  void on(Time now, std::span<const Event> events, ActionSink& actions) {
    now_ = now;
    out_ = &actions;
    if (began_ == Time{}) began_ = heard_ = now;
    note_pause();
    if (set_.must_ask_for_list && !asked_) ask_for_list();
    for (const Event& event : events) std::visit([this](const auto& e) { take(e); }, event);
    note_shares();
    for (const CallArrived& told : arrived_) {
      if (!left_.contains(told.call)) arrive(told);
    }
    arrived_.clear();
    left_.clear();
    run();
    heard_ = now;
    out_ = nullptr;
  }

  [[nodiscard]] std::size_t open_calls() const { return calls_.size(); }
  using List::set_;

 private:
  using Finals::take;
  using List::take;
  using Outcomes::take;

  void take(const CallArrived& told) { arrived_.push_back(told); }
  void take(const PeerMessageReceived& /*said*/) {}
  void take(const TimerFired& fired) {
    if (fired.token == TimerToken{timers_}) wake_at_ = now_;
  }

  void run() {
    release_guarded();
    for (auto& [id, s] : servers_) shed(s.queue, delay(s));
    shed(unbound_, Duration{});
    for (auto& [id, s] : servers_) {
      relieve(s);
      while (dispatch(s)) continue;
    }
    for (auto& [id, s] : servers_)
      while (dispatch(s)) continue;
    forget_gone();
    wake_later();
  }

  // While calls wait, look again soon; else now and then, so that a pause of this gateway's own shows.
  void wake_later() {
    const bool waiting = !by_order_.empty() || !guarded_.empty() || (set_.must_ask_for_list && !asked_);
    const Time at = now_ + (waiting ? 1 : kIdleLooks) * look_again();
    if (wake_at_ > now_ && wake_at_ <= at) return;
    wake_at_ = at;
    out_->emplace_back(SetTimer{wake_at_, TimerToken{++timers_}});
  }

  std::vector<CallArrived> arrived_;  // in this turn
  std::uint64_t timers_ = 0;
};

Controller::Controller(const Settings& settings, std::uint64_t seed)
    : policy_(std::make_unique<Policy>(settings, seed)) {}
Controller::~Controller() = default;
Controller::Controller(Controller&&) noexcept = default;
Controller& Controller::operator=(Controller&&) noexcept = default;

void Controller::on(Time now, std::span<const Event> events, ActionSink& actions) {
  policy_->on(now, events, actions);
}
void Controller::on(Time now, const Event& event, ActionSink& actions) { on(now, {&event, 1}, actions); }
std::size_t Controller::open_calls() const { return policy_->open_calls(); }
const Settings& Controller::settings() const { return policy_->set_; }

}  // namespace reeltack
