// The decision module: which calls this gateway sets up, when and at which server, and which it refuses.
//
// The mechanism is the overload control of Andersson and Kihl (NTS 17, 2004, section 4), "the paper" in these
// files. A call passes through: rough admission (EQ 1) -> token bucket (level) -> binding to a server (first
//   choice or rotation) -> waiting in that server's queue -> one unanswered set-up per server -> answer,
//   which measures the delay and releases the next call.
// Deviations from the paper are marked EXCEPTION, with their condition.
//
// Each step is a layer that uses only the layers below it: shared state, eligibility, server selection, final
// answers, admission, dispatch, outcomes, server list. This file runs the layers in order at each step and
// sets the timer; it decides on no call.
#include "policy/server_list.h"

namespace reeltack {

constexpr int kIdleRecheckFactor = 4;  // multiple of the recheck interval while no call waits

class Controller::Policy : policy::ServerList {
 public:
  Policy(const Settings& settings, std::uint64_t seed) {
    settings_ = settings;
    random_state_ = seed;
    shortest_aim_ = settings_.classes.empty() ? Duration{} : Duration::max();
    for (const ClassSettings& c : settings_.classes) {
      best_worth_ = std::max(best_worth_, c.worth);
      shortest_aim_ = std::min(shortest_aim_, c.aim);
    }
  }

  // One step: all events are handled before any decision, since a later event may cancel out an earlier one.
  void on(Time now, std::span<const Event> events, ActionSink& actions) {
    now_ = now;
    actions_ = &actions;
    if (first_step_at_ == Time{}) first_step_at_ = last_step_at_ = now;
    detect_pause();
    if (settings_.must_ask_for_list && !list_requested_) request_list();
    for (const Event& event : events) std::visit([this](const auto& e) { handle(e); }, event);
    update_shares();
    for (const CallArrived& request : arrived_) {
      if (!callers_left_.contains(request.call)) admit(request);
    }
    arrived_.clear();
    callers_left_.clear();
    decide();
    last_step_at_ = now;
    actions_ = nullptr;
  }

  [[nodiscard]] std::size_t open_calls() const { return calls_.size(); }
  using ServerList::settings_;

 private:
  using FinalAnswers::handle;
  using OutcomeHandling::handle;
  using ServerList::handle;

  void handle(const CallArrived& request) { arrived_.push_back(request); }
  void handle(const PeerMessageReceived& /*message*/) {}
  void handle(const TimerFired& fired) {
    if (fired.token == TimerToken{timers_}) wake_at_ = now_;
  }

  void decide() {
    bind_guarded();
    for (auto& [id, s] : servers_) shed(s.queue, delay(s));
    shed(unbound_, Duration{});
    for (auto& [id, s] : servers_) {
      relieve(s);
      while (dispatch(s)) continue;
    }
    for (auto& [id, s] : servers_)
      while (dispatch(s)) continue;
    erase_gone_servers();
    set_timer();
  }

  // Wakes up soon while calls wait; otherwise now and then, so that a pause of this gateway can be detected.
  void set_timer() {
    const bool waiting =
        !waiting_.empty() || !guarded_.empty() || (settings_.must_ask_for_list && !list_requested_);
    const Time at = now_ + (waiting ? 1 : kIdleRecheckFactor) * recheck_interval();
    if (wake_at_ > now_ && wake_at_ <= at) return;
    wake_at_ = at;
    actions_->emplace_back(SetTimer{wake_at_, TimerToken{++timers_}});
  }

  std::vector<CallArrived> arrived_;  // in this step
  std::uint64_t timers_ = 0;          // number set so far
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
const Settings& Controller::settings() const { return policy_->settings_; }

}  // namespace reeltack
