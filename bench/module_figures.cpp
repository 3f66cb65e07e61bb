// Runs the decision module on long random event streams; prints a digest of all its actions and, on standard
// error, the time per event.
//
// Two versions of the module take the same decisions if they print the same digests when built by the same
// compiler on the same machine. The module's exponentials come from the C library, so digests may differ
// between machines, and none is stored. The simulated world evaluates nothing: servers answer, fail and
// change at random, in virtual time.
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
      : settings_(std::move(settings)), random_(seed), controller_(settings_, seed) {}

  void run(Duration duration, Duration mean_gap) {
    const Time end = now_ + duration;
    std::vector<ServerEntry> servers;
    for (std::uint32_t i = 0; i < 12; ++i) servers.push_back({.server = ServerId{i}, .place = i % 6});
    at(now_, ServerListReceived{true, servers});
    for (Time t = now_; t < end; t += vary(mean_gap)) at(t, arrival(t));
    for (Time t = now_ + 1s; t < end; t += vary(1500ms)) at(t, list_change(t));
    for (Time t = now_; t < end; t += vary(150ms)) {
      const double free = below(30) == 0 ? 0.0 : static_cast<double>(below(100));
      at(t, ServerReported{.server = ServerId{below(12)}, .report = {.free_lines = free, .lines = 100.0}});
    }
    std::vector<Event> batch;
    while (!events_.empty() && events_.begin()->first < end) {
      // Now and then the gateway is paused.
      now_ = events_.begin()->first + (below(2000) == 0 ? vary(2s) : settings_.tick);
      batch.clear();
      while (!events_.empty() && events_.begin()->first <= now_) {
        const Event& event = events_.begin()->second;
        if (is_current(event)) batch.push_back(event);
        events_.erase(events_.begin());
      }
      ActionSink actions;
      const auto started = std::chrono::steady_clock::now();
      controller_.on(now_, batch, actions);
      elapsed_ += std::chrono::steady_clock::now() - started;
      handled_ += batch.size();
      add(static_cast<std::uint64_t>(now_.time_since_epoch().count()));
      for (const Action& action : actions) carry_out(action);
    }
  }

  void print(std::string_view name, std::uint64_t seed) const {
    std::printf("%-12.*s seed %llu: digest %016llx", static_cast<int>(name.size()), name.data(),
                static_cast<unsigned long long>(seed), static_cast<unsigned long long>(digest_));
    for (const auto& [action, n] : counts_) {
      std::printf(" %.*s %zu", static_cast<int>(action.size()), action.data(), n);
    }
    std::printf(" open %zu\n", controller_.open_calls());
    std::fprintf(stderr, "  %zu events, %.2f us each\n", handled_,
                 std::chrono::duration<double, std::micro>(elapsed_).count() / static_cast<double>(handled_));
  }

 private:
  std::uint32_t below(std::uint32_t n) { return static_cast<std::uint32_t>(random_() % n); }
  // Uniform between 0.01 and 1.99 times the mean.
  Duration vary(Duration mean) { return mean * (1 + below(199)) / 100; }
  void at(Time t, Event event) { events_.emplace(t, std::move(event)); }
  void add(std::uint64_t value) { digest_ = (digest_ ^ value) * 0x100000001b3ULL + (digest_ >> 47U); }

  CallArrived arrival(Time t) {
    CallArrived call{.call = CallId{++calls_},
                     .call_class = below(static_cast<std::uint32_t>(settings_.classes.size()))};
    call.number = CalledNumber{below(400)};
    call.work_hint = vary(10ms);
    call.caller_leaves_at = t + vary(4s);
    call.destination = below(6);
    call.dropped_before = below(50) == 0;
    call.in_transit = settings_.shape == Shape::mesh && below(5) == 0;
    if (below(8) == 0) at(t + vary(1s), CallerLeft{call.call});
    return call;
  }
  ServerListReceived list_change(Time t) {
    const ServerId id{below(12)};
    const bool is_ready = below(3) > 0;
    return {false,
            {{.server = id,
              .place = static_cast<std::uint32_t>(id) % 6,
              .capacity = 1.0 + below(3),
              .state = is_ready        ? ServerState::ready
                       : below(2) == 0 ? ServerState::draining
                                       : ServerState::gone,
              .started_at = below(2) == 0 ? t : Time{}}}};
  }

  // Whether the gateway would report the event: not that a caller left whose call has ended.
  bool is_current(const Event& event) {
    if (const auto* call = std::get_if<CallArrived>(&event)) open_[call->call] = *call;
    if (const auto* left = std::get_if<CallerLeft>(&event)) return open_.erase(left->call) > 0;
    if (const auto* established = std::get_if<CallEstablished>(&event)) open_.erase(established->call);
    return true;
  }

  void carry_out(const Action& action) {
    add(action.index());
    if (const auto* send = std::get_if<SendSetUp>(&action)) {
      ++counts_["sent"];
      add(static_cast<std::uint64_t>(send->call) * 64 + static_cast<std::uint64_t>(send->server));
      add(static_cast<std::uint64_t>(send->expires_at.time_since_epoch().count()));
      answer(*send);
    } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
      ++counts_["refused"];
      add(static_cast<std::uint64_t>(refuse->call));
      add(static_cast<std::uint64_t>(refuse->retry_after.count()));
      schedule_redial(refuse->call, refuse->retry_after);
    } else if (const auto* fail = std::get_if<Fail>(&action)) {
      ++counts_["failed"];
      add(static_cast<std::uint64_t>(fail->call));
      schedule_redial(fail->call, {});
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
      add(static_cast<std::uint64_t>(timer->at.time_since_epoch().count()));
      at(timer->at, TimerFired{timer->token});
    } else if (std::holds_alternative<SubscribeToServerList>(action)) {
      ++counts_["asked"];
      if (below(3) == 0) at(now_ + vary(500ms), ServerListFailed{});
    } else if (const auto* line = std::get_if<LogLine>(&action)) {
      ++counts_["lines"];
      for (const char c : line->text) add(static_cast<unsigned char>(c));
    }
  }
  void answer(const SendSetUp& send) {
    // Each server has its own delay; some are slow for a while.
    const auto server = static_cast<std::uint32_t>(send.server);
    const bool slow = (now_.time_since_epoch() / 10s + server) % 7 == 0;
    const Duration delay = vary(slow ? 900ms : 15ms + server * 6ms);
    AttemptEnded ended{.call = send.call, .attempt = attempts_[send.call]++, .server = send.server};
    const std::uint32_t fate = slow ? below(140) : below(1000);
    ended.elapsed = delay;
    ended.call_ended = below(100) == 0;
    if (below(20) == 0) ended.report = {.free_lines = static_cast<double>(below(60)), .lines = 100.0};
    if (fate == 0 || now_ + delay > send.expires_at) {
      ended.outcome = AttemptOutcome::timeout;
      ended.elapsed = send.expires_at - now_;
    } else if (fate < 40) {
      ended.outcome =
          std::array{AttemptOutcome::full, AttemptOutcome::busy_or_error, AttemptOutcome::connect_failed,
                     AttemptOutcome::reset, AttemptOutcome::not_sent}[fate % 5];
      ended.reason = below(2) == 0 ? FullReason::no_lines : FullReason::processor;
      ended.requested_wait = ended.outcome == AttemptOutcome::full ? vary(300ms) : Duration{};
      ended.number_busy = ended.outcome == AttemptOutcome::busy_or_error && below(2) == 0;
    } else {
      return at(now_ + delay, CallEstablished{send.call, ended.attempt, send.server, delay});
    }
    at(now_ + ended.elapsed, ended);
  }
  void schedule_redial(CallId id, Duration after) {
    const auto found = open_.find(id);
    if (found == open_.end()) return;
    CallArrived call = found->second;
    open_.erase(found);
    if (below(3) == 0) return;
    call.call = CallId{++calls_};
    call.redial = settings_.redials_marked;
    const Time t = now_ + std::max(after, vary(400ms));
    call.caller_leaves_at = t + vary(3s);
    at(t, call);
  }

  Settings settings_;
  std::mt19937_64 random_;
  Controller controller_;
  Time now_{100s};
  std::multimap<Time, Event> events_;
  std::map<CallId, CallArrived> open_;
  std::map<CallId, std::uint32_t> attempts_;
  std::uint64_t calls_ = 0;
  std::uint64_t digest_ = 0xcbf29ce484222325ULL;
  std::map<std::string_view, std::size_t> counts_;  // of actions, by name
  std::chrono::nanoseconds elapsed_{};              // in the controller
  std::size_t handled_ = 0;                         // events
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

// The first argument is the number of seeds; default 4.
int main(int argc, char** argv) {
  const std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 4;
  for (const auto& [name, settings] : variants()) {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      World world(settings, seed);
      world.run(600s, seed % 2 == 0 ? 40ms : 6ms);  // overload for odd seeds, light load for even ones
      world.print(name, seed);
    }
  }
}
