// The decision module on long random streams: a digest of all its actions, and the time that an event takes.
//
// Two versions decide alike if they print the same digests, built by the same compiler on the same machine
// (the module's exponentials come from the C library, so digests of other machines may differ, and none is
// kept). The world here is a plain one and judges nothing: servers answer, fail and change at random, in
// virtual time.
#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <random>
#include <string_view>

#include "reeltack/controller.h"

namespace {

using namespace std::chrono_literals;
using namespace reeltack;

class World {
 public:
  World(Settings settings, std::uint64_t seed)
      : set_(std::move(settings)), random_(seed), controller_(set_, seed) {}

  void run(Duration day, Duration gap) {
    const Time end = now_ + day;
    std::vector<ServerEntry> all;
    for (std::uint32_t i = 0; i < 12; ++i) all.push_back({.server = ServerId{i}, .place = i % 6});
    at(now_, ServerListReceived{true, all});
    for (Time t = now_; t < end; t += part(gap)) at(t, arrival(t));
    for (Time t = now_ + 1s; t < end; t += part(1500ms)) at(t, list_change(t));
    for (Time t = now_; t < end; t += part(150ms)) {
      const double free = below(30) == 0 ? 0.0 : static_cast<double>(below(100));
      at(t, ServerReported{.server = ServerId{below(12)}, .report = {.free_lines = free, .lines = 100.0}});
    }
    std::vector<Event> turn;
    while (!events_.empty() && events_.begin()->first < end) {
      now_ =
          events_.begin()->first + (below(2000) == 0 ? part(2s) : set_.tick);  // now and then it stands still
      turn.clear();
      while (!events_.empty() && events_.begin()->first <= now_) {
        const Event& event = events_.begin()->second;
        if (wanted(event)) turn.push_back(event);
        events_.erase(events_.begin());
      }
      ActionSink actions;
      const auto began = std::chrono::steady_clock::now();
      controller_.on(now_, turn, actions);
      took_ += std::chrono::steady_clock::now() - began;
      handed_in_ += turn.size();
      add(static_cast<std::uint64_t>(now_.time_since_epoch().count()));
      for (const Action& action : actions) carry_out(action);
    }
  }

  void print(std::string_view name, std::uint64_t seed) const {
    std::printf("%-12.*s seed %llu: digest %016llx", static_cast<int>(name.size()), name.data(),
                static_cast<unsigned long long>(seed), static_cast<unsigned long long>(digest_));
    for (const auto& [kind, n] : kinds_) {
      std::printf(" %.*s %zu", static_cast<int>(kind.size()), kind.data(), n);
    }
    std::printf(" open %zu\n", controller_.open_calls());
    std::fprintf(stderr, "  %zu events, %.2f us each\n", handed_in_,
                 std::chrono::duration<double, std::micro>(took_).count() / static_cast<double>(handed_in_));
  }

 private:
  std::uint32_t below(std::uint32_t n) { return static_cast<std::uint32_t>(random_() % n); }
  Duration part(Duration mean) { return mean * (1 + below(199)) / 100; }
  void at(Time t, Event event) { events_.emplace(t, std::move(event)); }
  void add(std::uint64_t word) { digest_ = (digest_ ^ word) * 0x100000001b3ULL + (digest_ >> 47U); }

  CallArrived arrival(Time t) {
    CallArrived call{.call = CallId{++calls_},
                     .call_class = below(static_cast<std::uint32_t>(set_.classes.size()))};
    call.number = CalledNumber{below(400)};
    call.work_hint = part(10ms);
    call.caller_leaves_at = t + part(4s);
    call.destination = below(6);
    call.dropped_before = below(50) == 0;
    call.in_transit = set_.shape == Shape::mesh && below(5) == 0;
    if (below(8) == 0) at(t + part(1s), CallerLeft{call.call});
    return call;
  }
  ServerListReceived list_change(Time t) {
    const ServerId id{below(12)};
    const bool back = below(3) > 0;
    return {false,
            {{.server = id,
              .place = static_cast<std::uint32_t>(id) % 6,
              .capacity = 1.0 + below(3),
              .state = back            ? ServerState::ready
                       : below(2) == 0 ? ServerState::draining
                                       : ServerState::gone,
              .started_at = below(2) == 0 ? t : Time{}}}};
  }

  // What a gateway knows to be over is not handed in.
  bool wanted(const Event& event) {
    if (const auto* call = std::get_if<CallArrived>(&event)) open_[call->call] = *call;
    if (const auto* left = std::get_if<CallerLeft>(&event)) return open_.erase(left->call) > 0;
    if (const auto* stood = std::get_if<CallEstablished>(&event)) open_.erase(stood->call);
    return true;
  }

  void carry_out(const Action& action) {
    add(action.index());
    if (const auto* send = std::get_if<SendSetUp>(&action)) {
      ++kinds_["sent"];
      add(static_cast<std::uint64_t>(send->call) * 64 + static_cast<std::uint64_t>(send->server));
      add(static_cast<std::uint64_t>(send->expires_at.time_since_epoch().count()));
      answer(*send);
    } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
      ++kinds_["refused"];
      add(static_cast<std::uint64_t>(refuse->call));
      add(static_cast<std::uint64_t>(refuse->retry_after.count()));
      dial_again(refuse->call, refuse->retry_after);
    } else if (const auto* fail = std::get_if<Fail>(&action)) {
      ++kinds_["failed"];
      add(static_cast<std::uint64_t>(fail->call));
      dial_again(fail->call, {});
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
      add(static_cast<std::uint64_t>(timer->at.time_since_epoch().count()));
      at(timer->at, TimerFired{timer->token});
    } else if (std::holds_alternative<SubscribeToServerList>(action)) {
      ++kinds_["asked"];
      if (below(3) == 0) at(now_ + part(500ms), ServerListFailed{});
    } else if (const auto* line = std::get_if<LogLine>(&action)) {
      ++kinds_["lines"];
      for (const char c : line->text) add(static_cast<unsigned char>(c));
    }
  }
  void answer(const SendSetUp& send) {
    // Each server has its own pace; some are slow for a while.
    const auto own = static_cast<std::uint32_t>(send.server);
    const bool slow = (now_.time_since_epoch() / 10s + own) % 7 == 0;
    const Duration took = part(slow ? 900ms : 15ms + own * 6ms);
    AttemptEnded ended{.call = send.call, .attempt = attempts_[send.call]++, .server = send.server};
    const std::uint32_t fate = slow ? below(140) : below(1000);
    ended.elapsed = took;
    ended.call_ended = below(100) == 0;
    if (below(20) == 0) ended.report = {.free_lines = static_cast<double>(below(60)), .lines = 100.0};
    if (fate == 0 || now_ + took > send.expires_at) {
      ended.outcome = AttemptOutcome::timeout;
      ended.elapsed = send.expires_at - now_;
    } else if (fate < 40) {
      ended.outcome =
          std::array{AttemptOutcome::full, AttemptOutcome::busy_or_error, AttemptOutcome::connect_failed,
                     AttemptOutcome::reset, AttemptOutcome::not_sent}[fate % 5];
      ended.reason = below(2) == 0 ? FullReason::no_lines : FullReason::processor;
      ended.requested_wait = ended.outcome == AttemptOutcome::full ? part(300ms) : Duration{};
      ended.number_busy = ended.outcome == AttemptOutcome::busy_or_error && below(2) == 0;
    } else {
      return at(now_ + took, CallEstablished{send.call, ended.attempt, send.server, took});
    }
    at(now_ + ended.elapsed, ended);
  }
  void dial_again(CallId id, Duration after) {
    const auto found = open_.find(id);
    if (found == open_.end()) return;
    CallArrived call = found->second;
    open_.erase(found);
    if (below(3) == 0) return;
    call.call = CallId{++calls_};
    call.redial = set_.redials_marked;
    const Time t = now_ + std::max(after, part(400ms));
    call.caller_leaves_at = t + part(3s);
    at(t, call);
  }

  Settings set_;
  std::mt19937_64 random_;
  Controller controller_;
  Time now_{100s};
  std::multimap<Time, Event> events_;
  std::map<CallId, CallArrived> open_;
  std::map<CallId, std::uint32_t> attempts_;
  std::uint64_t calls_ = 0;
  std::uint64_t digest_ = 0xcbf29ce484222325ULL;
  std::map<std::string_view, std::size_t> kinds_;
  std::chrono::nanoseconds took_{};
  std::size_t handed_in_ = 0;
};

std::map<std::string_view, Settings> variants() {
  Settings pools;
  pools.gateways = 6;
  pools.classes = {{.aim = 2s, .deadline = 9s, .worth = 1.0, .late_worth = 0.1},
                   {.aim = 1500ms, .deadline = 9s, .aim_stretch = 2.0, .worth = 3.0, .places = {0, 1, 3}},
                   {.aim = 1s, .deadline = 5s, .worth = 1.2, .effect = Effect::once}};
  pools.tick = 5ms;
  pools.release_guard = 300ms;
  pools.cold_from = 0.3;
  pools.ramp = 14s;
  pools.fall_multiple = 2.0;
  pools.fall_span = 1500ms;
  pools.attempts_cap = 6;
  pools.redials_marked = true;
  Settings mesh = pools;
  mesh.shape = Shape::mesh;
  mesh.own_place = 2;
  mesh.attempts_cap = 2;
  mesh.redials_marked = false;
  Settings no_cold_rule = pools;
  no_cold_rule.fall_span = {};
  no_cold_rule.must_ask_for_list = true;
  no_cold_rule.must_ask_in = 5s;
  Settings crowd = pools;
  crowd.gateways = 300;
  crowd.may_advise_retry = true;
  crowd.retry_advice_cap = 4s;
  return {{"pools", pools}, {"mesh", mesh}, {"no-cold-rule", no_cold_rule}, {"crowd", crowd}};
}

}  // namespace

// The first argument is the number of seeds (4).
int main(int argc, char** argv) {
  const std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 4;
  for (const auto& [name, settings] : variants()) {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      World world(settings, seed);
      world.run(600s, seed % 2 == 0 ? 40ms : 6ms);  // by turns idle and pressed
      world.print(name, seed);
    }
  }
}
