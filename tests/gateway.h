// A gateway for tests: drives a Controller in virtual time, records its actions and checks the five rules on
// all of them.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "reeltack/controller.h"

namespace reeltack::test {

using namespace std::chrono_literals;

inline Settings plain_settings() {
  Settings s;
  s.gateways = 6;
  s.classes = {{.aim = 2s, .deadline = 9s, .worth = 1.0, .late_worth = 0.1},
               {.aim = 1500ms, .deadline = 9s, .worth = 3.0, .late_worth = 0.25}};
  s.tick = 5ms;
  s.release_guard = 500ms;
  s.cold_from = 0.3;
  s.ramp = 14s;
  s.fall_multiple = 2.0;
  s.fall_span = 1500ms;
  s.attempts_cap = 6;
  s.may_cancel = true;
  s.redials_marked = true;
  return s;
}

inline ServerEntry ready(std::uint32_t id, std::uint32_t place) {
  return {
      .server = ServerId{id}, .place = place, .capacity = 1.0, .state = ServerState::ready, .started_at = {}};
}

class Gateway {
 public:
  explicit Gateway(Settings settings = plain_settings(), std::uint64_t seed = 1)
      : settings_(std::move(settings)), controller_(settings_, seed) {}

  Time now = Time{100s};
  ActionSink last_actions;       // of the latest step
  std::vector<SendSetUp> sends;  // all sends so far
  std::vector<std::uint64_t> refused;
  std::vector<std::uint64_t> failed;
  int list_requests = 0;

  void receive_list(std::vector<ServerEntry> entries, bool complete = true) {
    for (const ServerEntry& e : entries) listed_[e.server] = e;
    if (complete) {
      for (auto& [id, e] : listed_) {
        bool found = false;
        for (const ServerEntry& n : entries) found = found || n.server == id;
        if (!found) e.state = ServerState::gone;
      }
    }
    on(ServerListReceived{complete, std::move(entries)});
  }
  void arrive(std::uint64_t id, std::uint32_t call_class = 0, std::uint32_t destination = 0,
              Duration patience = 3s, std::uint64_t number = 0, bool redial = false) {
    CallArrived call{.call = CallId{id},
                     .call_class = call_class,
                     .number = CalledNumber{number},
                     .destination = destination};
    call.caller_leaves_at = now + patience;
    call.redial = redial;
    arrive(call);
  }
  void arrive(const CallArrived& call) {
    calls_[call.call] = {.leaves_at = call.caller_leaves_at, .open = true};
    on(call);
  }
  // The latest attempt of the call succeeds.
  void establish(std::uint64_t id) {
    CallRecord& c = calls_.at(CallId{id});
    c.pending = false;
    c.open = false;
    on(CallEstablished{CallId{id}, c.attempts - 1, c.server, now - c.sent_at});
  }
  // The latest attempt of the call ends otherwise.
  void end_attempt(std::uint64_t id, AttemptOutcome outcome, FullReason reason = FullReason::unknown,
                   bool number_busy = false) {
    CallRecord& c = calls_.at(CallId{id});
    c.pending = false;
    if (outcome == AttemptOutcome::timeout || outcome == AttemptOutcome::reset ||
        outcome == AttemptOutcome::cancelled)
      c.released_at = now;
    on(AttemptEnded{.call = CallId{id},
                    .attempt = c.attempts - 1,
                    .server = c.server,
                    .outcome = outcome,
                    .number_busy = number_busy,
                    .reason = reason,
                    .elapsed = now - c.sent_at});
  }
  void caller_leaves(std::uint64_t id) {
    calls_.at(CallId{id}).open = false;
    on(CallerLeft{CallId{id}});
  }
  void report_lines(std::uint32_t server, double free) {
    on(ServerReported{.server = ServerId{server}, .report = {.free_lines = free, .lines = 100.0}});
  }

  // Advances the clock; timers fire when they are due.
  void advance(Duration time) {
    const Time until = now + time;
    while (!timers_.empty() && timers_.begin()->first <= until) {
      const auto [at, token] = *timers_.begin();
      timers_.erase(timers_.begin());
      now = std::max(now, at);
      on(TimerFired{token});
    }
    now = until;
  }

  // Advances the clock while the gateway is paused: timers that become due do not fire.
  void pause(Duration time) { now += time; }
  // One step with all these events and the timers that are overdue.
  void step(std::vector<Event> events) {
    while (!timers_.empty() && timers_.begin()->first <= now) {
      events.emplace_back(TimerFired{timers_.begin()->second});
      timers_.erase(timers_.begin());
    }
    for (const Event& event : events) {
      if (const auto* call = std::get_if<CallArrived>(&event))
        calls_[call->call] = {.leaves_at = call->caller_leaves_at, .open = true};
    }
    for (const Event& event : events) {
      if (const auto* left = std::get_if<CallerLeft>(&event)) calls_.at(left->call).open = false;
      if (const auto* established = std::get_if<CallEstablished>(&event)) {
        calls_.at(established->call).open = false;
        calls_.at(established->call).pending = false;
      }
    }
    on(events);
  }

  void on(const Event& event) { on(std::span<const Event>{&event, 1}); }
  void on(std::span<const Event> events) {
    last_actions.clear();
    controller_.on(now, events, last_actions);
    for (const Action& action : last_actions) check(action);
    for (const auto& [id, c] : calls_) {
      if (c.open && !c.pending && now > c.leaves_at + 20ms) {
        ADD_FAILURE() << "rule 1: call " << static_cast<std::uint64_t>(id) << " has no final answer in time";
      }
    }
  }

  [[nodiscard]] bool sent_to(std::uint64_t call, std::uint32_t server) const {
    for (const SendSetUp& s : sends) {
      if (s.call == CallId{call} && s.server == ServerId{server}) return true;
    }
    return false;
  }
  [[nodiscard]] std::size_t sent_count(std::uint64_t call) const {
    std::size_t n = 0;
    for (const SendSetUp& s : sends) n += s.call == CallId{call} ? 1 : 0;
    return n;
  }
  [[nodiscard]] bool was_refused(std::uint64_t call) const {
    return std::find(refused.begin(), refused.end(), call) != refused.end();
  }
  [[nodiscard]] std::size_t open_calls() const { return controller_.open_calls(); }

  struct CallRecord {
    Time leaves_at{};
    bool open = false;     // a final answer is due
    bool pending = false;  // an attempt is unanswered
    std::uint32_t attempts = 0;
    ServerId server{};  // of the latest attempt
    Time sent_at{};
    Time released_at{};
  };
  std::map<CallId, CallRecord>& calls() { return calls_; }

 private:
  void check(const Action& action) {
    if (const auto* send = std::get_if<SendSetUp>(&action)) {
      ASSERT_TRUE(calls_.contains(send->call)) << "a call that never arrived";
      CallRecord& c = calls_[send->call];
      EXPECT_TRUE(c.open) << "rule 1: sent after the call ended";
      EXPECT_FALSE(c.pending) << "rule 2: two pending attempts";
      ASSERT_TRUE(listed_.contains(send->server));
      EXPECT_EQ(listed_[send->server].state, ServerState::ready)
          << "rule 3: sent to a draining or gone server";
      if (c.released_at != Time{}) {
        EXPECT_GE(now - c.released_at, settings_.release_guard) << "rule 5";
      }
      EXPECT_LT(c.attempts, settings_.attempts_cap);
      EXPECT_LE(send->expires_at, c.leaves_at);
      c.pending = true;
      ++c.attempts;
      c.server = send->server;
      c.sent_at = now;
      sends.push_back(*send);
    } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
      final_answer(refuse->call, refused);
    } else if (const auto* fail = std::get_if<Fail>(&action)) {
      final_answer(fail->call, failed);
    } else if (std::holds_alternative<SubscribeToServerList>(action)) {
      ++list_requests;
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
      EXPECT_GT(timer->at, now);
      timers_.emplace(timer->at, timer->token);
    }
  }
  void final_answer(CallId call, std::vector<std::uint64_t>& into) {
    ASSERT_TRUE(calls_.contains(call)) << "a call that never arrived";
    CallRecord& c = calls_[call];
    EXPECT_TRUE(c.open) << "rule 1: a second final answer";
    EXPECT_LE(now, c.leaves_at + 20ms) << "rule 1: answered too late";
    c.open = false;
    into.push_back(static_cast<std::uint64_t>(call));
  }

  Settings settings_;
  Controller controller_;
  std::map<CallId, CallRecord> calls_;
  std::map<ServerId, ServerEntry> listed_;
  std::multimap<Time, TimerToken> timers_;
};

// Ten calls with ids from `first_id` that are each established after `delay`, so that the delay of the server
// at `destination` is known.
inline void warm_up(Gateway& g, std::uint32_t destination, std::uint64_t first_id, Duration delay) {
  for (std::uint64_t id = first_id; id < first_id + 10; ++id) {
    g.arrive(id, 0, destination);
    g.advance(delay);
    g.establish(id);
  }
}

}  // namespace reeltack::test
