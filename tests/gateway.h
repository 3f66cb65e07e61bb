// A gateway for tests: drives a Controller, keeps what it did, and checks the five rules on every action.
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
  ActionSink last;               // what the latest event led to
  std::vector<SendSetUp> sends;  // all sends so far
  std::vector<std::uint64_t> refused;
  std::vector<std::uint64_t> failed;
  int asked_for_list = 0;

  void list(std::vector<ServerEntry> entries, bool complete = true) {
    for (const ServerEntry& e : entries) told_[e.server] = e;
    if (complete) {
      for (auto& [id, e] : told_) {
        bool kept = false;
        for (const ServerEntry& n : entries) kept = kept || n.server == id;
        if (!kept) e.state = ServerState::gone;
      }
    }
    on(ServerListReceived{complete, std::move(entries)});
  }
  void arrive(std::uint64_t id, std::uint32_t cls = 0, std::uint32_t to = 0, Duration stays = 3s,
              std::uint64_t number = 0, bool redial = false) {
    CallArrived call{
        .call = CallId{id}, .call_class = cls, .number = CalledNumber{number}, .destination = to};
    call.caller_leaves_at = now + stays;
    call.redial = redial;
    arrive(call);
  }
  void arrive(const CallArrived& call) {
    book_[call.call] = {.leaves = call.caller_leaves_at, .open = true};
    on(call);
  }
  // The answer to the latest attempt of a call.
  void stands(std::uint64_t id) {
    Entry& e = book_.at(CallId{id});
    e.out = false;
    e.open = false;
    on(CallEstablished{CallId{id}, e.attempts - 1, e.server, now - e.sent});
  }
  void ends(std::uint64_t id, AttemptOutcome ending, FullReason reason = FullReason::unknown,
            bool busy = false) {
    Entry& e = book_.at(CallId{id});
    e.out = false;
    if (ending == AttemptOutcome::timeout || ending == AttemptOutcome::reset ||
        ending == AttemptOutcome::cancelled)
      e.released_at = now;
    on(AttemptEnded{.call = CallId{id},
                    .attempt = e.attempts - 1,
                    .server = e.server,
                    .outcome = ending,
                    .number_busy = busy,
                    .reason = reason,
                    .elapsed = now - e.sent});
  }
  void leaves(std::uint64_t id) {
    book_.at(CallId{id}).open = false;
    on(CallerLeft{CallId{id}});
  }
  void lines(std::uint32_t server, double free) {
    on(ServerReported{.server = ServerId{server}, .report = {.free_lines = free, .lines = 100.0}});
  }

  // Let time pass; timers that fall due are handed back on the way.
  void pass(Duration time) {
    const Time until = now + time;
    while (!timers_.empty() && timers_.begin()->first <= until) {
      const auto [at, token] = *timers_.begin();
      timers_.erase(timers_.begin());
      now = std::max(now, at);
      on(TimerFired{token});
    }
    now = until;
  }

  // Time passes without a turn for the gateway; what was due meanwhile stays with its timers.
  void stand_still(Duration time) { now += time; }
  // One turn with all these events, and with the timers that are overdue.
  void turn(std::vector<Event> events) {
    while (!timers_.empty() && timers_.begin()->first <= now) {
      events.emplace_back(TimerFired{timers_.begin()->second});
      timers_.erase(timers_.begin());
    }
    for (const Event& event : events) {
      if (const auto* call = std::get_if<CallArrived>(&event))
        book_[call->call] = {.leaves = call->caller_leaves_at, .open = true};
    }
    for (const Event& event : events) {
      if (const auto* left = std::get_if<CallerLeft>(&event)) book_.at(left->call).open = false;
      if (const auto* stood = std::get_if<CallEstablished>(&event)) {
        book_.at(stood->call).open = false;
        book_.at(stood->call).out = false;
      }
    }
    on(events);
  }

  void on(const Event& event) { on(std::span<const Event>{&event, 1}); }
  void on(std::span<const Event> events) {
    last.clear();
    controller_.on(now, events, last);
    for (const Action& action : last) check(action);
    for (const auto& [id, e] : book_) {
      if (e.open && !e.out && now > e.leaves + 20ms) {
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

  struct Entry {
    Time leaves{};
    bool open = false;
    bool out = false;
    std::uint32_t attempts = 0;
    ServerId server{};
    Time sent{};
    Time released_at{};
  };
  std::map<CallId, Entry>& book() { return book_; }

 private:
  void check(const Action& action) {
    if (const auto* send = std::get_if<SendSetUp>(&action)) {
      ASSERT_TRUE(book_.contains(send->call)) << "a call never handed in";
      Entry& e = book_[send->call];
      EXPECT_TRUE(e.open) << "rule 1: sent after its end";
      EXPECT_FALSE(e.out) << "rule 2: two attempts out";
      ASSERT_TRUE(told_.contains(send->server));
      EXPECT_EQ(told_[send->server].state, ServerState::ready) << "rule 3: sent to a draining or gone server";
      if (e.released_at != Time{}) {
        EXPECT_GE(now - e.released_at, settings_.release_guard) << "rule 5";
      }
      EXPECT_LT(e.attempts, settings_.attempts_cap);
      EXPECT_LE(send->expires_at, e.leaves);
      e.out = true;
      ++e.attempts;
      e.server = send->server;
      e.sent = now;
      sends.push_back(*send);
    } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
      answer(refuse->call, refused);
    } else if (const auto* fail = std::get_if<Fail>(&action)) {
      answer(fail->call, failed);
    } else if (std::holds_alternative<SubscribeToServerList>(action)) {
      ++asked_for_list;
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
      EXPECT_GT(timer->at, now);
      timers_.emplace(timer->at, timer->token);
    }
  }
  void answer(CallId call, std::vector<std::uint64_t>& into) {
    ASSERT_TRUE(book_.contains(call)) << "a call never handed in";
    Entry& e = book_[call];
    EXPECT_TRUE(e.open) << "rule 1: a second final answer";
    EXPECT_LE(now, e.leaves + 20ms) << "rule 1: answered too late";
    e.open = false;
    into.push_back(static_cast<std::uint64_t>(call));
  }

  Settings settings_;
  Controller controller_;
  std::map<CallId, Entry> book_;
  std::map<ServerId, ServerEntry> told_;
  std::multimap<Time, TimerToken> timers_;
};

// Ten calls from the id `from` on that stand after `took`, so that the delays of server `to` are known.
inline void warm_up(Gateway& g, std::uint32_t to, std::uint64_t from, Duration took) {
  for (std::uint64_t id = from; id < from + 10; ++id) {
    g.arrive(id, 0, to);
    g.pass(took);
    g.stands(id);
  }
}

}  // namespace reeltack::test
