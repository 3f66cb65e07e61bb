#include "world.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace reeltack::test {

namespace {

using namespace std::chrono_literals;

constexpr Duration kNetworkDelay = 1ms;  // one way, between a controller and a server
constexpr Duration kMaxQueueTime = 1s;   // a server answers full if a call would wait longer
constexpr Duration kCallerPatience = 3s;

Duration from_seconds(double s) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s));
}

}  // namespace

World::World(WorldPlan plan) : plan_(std::move(plan)), random_(plan_.seed) {
  if (plan_.traffic.empty()) plan_.traffic.assign(plan_.controllers, 1.0);
  if (plan_.class_work.empty()) plan_.class_work.assign(plan_.settings.classes.size(), 1.0);
  next_controller_ = {plan_.traffic.begin(), plan_.traffic.end()};
  mean_work_ = std::accumulate(plan_.class_work.begin(), plan_.class_work.end(), 0.0) /
               static_cast<double>(plan_.class_work.size());
  members_.resize(plan_.controllers);
  for (std::size_t i = 0; i < members_.size(); ++i) start_controller(i);
}

void World::at(Time time, std::function<void()> step) {
  steps_.push({std::max(time, now_), next_step_++, std::move(step)});
}

void World::run_until(Time end) {
  while (!steps_.empty() && steps_.top().time <= end) {
    const Step step = steps_.top();
    steps_.pop();
    now_ = step.time;
    step.run();
  }
  now_ = end;
}

Duration World::random_delay(Duration max_delay) {
  return from_seconds(uniform() * std::chrono::duration<double>(max_delay).count());
}

void World::set_load(double calls_per_second) {
  calls_per_second_ = calls_per_second;
  schedule_arrival(++stream_);
}

void World::schedule_arrival(std::uint64_t stream) {
  if (calls_per_second_ <= 0.0) return;
  at(now_ + from_seconds(-std::log(1.0 - uniform()) / calls_per_second_), [this, stream] {
    if (stream != stream_) return;
    arrive();
    schedule_arrival(stream);
  });
}

void World::arrive() {
  const std::size_t i = next_controller_(random_);
  Member& member = members_[i];
  CallArrived call{.call = CallId{++next_call_}};
  call.call_class = static_cast<std::uint32_t>(random_() % plan_.settings.classes.size());
  call.number = CalledNumber{next_call_};
  call.caller_leaves_at = now_ + kCallerPatience;
  call.destination = static_cast<std::uint32_t>(random_() % std::max<std::size_t>(servers_.size(), 1));
  member.open_calls[call.call] = call.caller_leaves_at;
  member.class_of[call.call] = call.call_class;
  at(call.caller_leaves_at, [this, i, generation = member.generation, id = call.call] {
    Member& m = members_[i];
    if (m.generation == generation && m.open_calls.erase(id) > 0) report(i, generation, CallerLeft{id});
  });
  report(i, member.generation, call);
}

void World::report(std::size_t i, std::uint32_t generation, const Event& event) {
  if (members_[i].generation != generation) return;
  ActionSink actions;
  members_[i].controller->on(now_, event, actions);
  for (const Action& action : actions) execute(i, action);
}

void World::execute(std::size_t i, const Action& action) {
  Member& member = members_[i];
  if (const auto* set_up = std::get_if<SendSetUp>(&action)) {
    send(i, *set_up);
  } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
    member.open_calls.erase(refuse->call);
  } else if (const auto* fail = std::get_if<Fail>(&action)) {
    member.open_calls.erase(fail->call);
  } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
    at(timer->at, [this, i, generation = member.generation, token = timer->token] {
      report(i, generation, TimerFired{token});
    });
  }
}

void World::send(std::size_t i, const SendSetUp& set_up) {
  Member& member = members_[i];
  const auto id = static_cast<std::uint32_t>(set_up.server);
  FakeServer& server = servers_.at(id);
  const double work = plan_.class_work[member.class_of.at(set_up.call)];
  const std::uint32_t attempt = member.attempts[set_up.call]++;
  if (server.up && server.account) {
    SlowStart& start = starts_[*server.account];
    start.all.add(now_, work / mean_work_);
    if (member.known_starts[id] == server.started_at) start.notified.add(now_, work / mean_work_);
  }
  answer(i, set_up, attempt, work);
}

void World::answer(std::size_t i, const SendSetUp& set_up, std::uint32_t attempt, double work) {
  FakeServer& server = servers_.at(static_cast<std::uint32_t>(set_up.server));
  AttemptEnded ended{.call = set_up.call, .attempt = attempt, .server = set_up.server};
  if (!server.up) {
    ended.outcome = AttemptOutcome::connect_failed;
    return schedule_end(i, 2 * kNetworkDelay, ended);
  }
  const Time begins_at = std::max(server.busy_until, now_ + kNetworkDelay);
  if (begins_at > now_ + kMaxQueueTime) {
    ended.outcome = AttemptOutcome::full;
    ended.reason = FullReason::processor;
    return schedule_end(i, 2 * kNetworkDelay, ended);
  }
  const double warmth_now =
      server.started_at == Time{} ? 1.0 : warmth(plan_.settings, now_ - server.started_at);
  server.busy_until = begins_at + from_seconds(work / mean_work_ / (server.capacity * warmth_now));
  const Time answered_at = server.busy_until + kNetworkDelay;
  if (answered_at > set_up.expires_at) {
    ended.outcome = AttemptOutcome::timeout;
    return schedule_end(i, set_up.expires_at - now_, ended);
  }
  at(answered_at, [this, i, generation = members_[i].generation, start = server.start_number, set_up, attempt,
                   sent_at = now_] {
    Member& member = members_[i];
    if (member.generation != generation) return;
    if (servers_.at(static_cast<std::uint32_t>(set_up.server)).start_number != start) {
      AttemptEnded lost{.call = set_up.call, .attempt = attempt, .server = set_up.server};
      lost.outcome = AttemptOutcome::reset;
      lost.elapsed = now_ - sent_at;
      lost.call_ended = !member.open_calls.contains(set_up.call);
      return report(i, generation, lost);
    }
    answered_ += member.open_calls.erase(set_up.call);
    report(i, generation, CallEstablished{set_up.call, attempt, set_up.server, now_ - sent_at});
  });
}

void World::schedule_end(std::size_t i, Duration after, AttemptEnded ended) {
  ended.elapsed = after;
  at(now_ + after, [this, i, generation = members_[i].generation, ended]() mutable {
    ended.call_ended = !members_[i].open_calls.contains(ended.call);
    report(i, generation, ended);
  });
}

}  // namespace reeltack::test
