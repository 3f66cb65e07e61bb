#include "world.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace reeltack::test {

namespace {

using namespace std::chrono_literals;

constexpr Duration kNetwork = 1ms;      // one way between a controller and a server
constexpr Duration kLongestQueue = 1s;  // a server refuses what would wait longer
constexpr Duration kPatience = 3s;      // of a caller

Duration from_seconds(double s) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s));
}

}  // namespace

World::World(WorldPlan plan) : plan_(std::move(plan)), random_(plan_.seed) {
  if (plan_.traffic.empty()) plan_.traffic.assign(plan_.controllers, 1.0);
  if (plan_.class_work.empty()) plan_.class_work.assign(plan_.settings.classes.size(), 1.0);
  sender_ = {plan_.traffic.begin(), plan_.traffic.end()};
  mean_work_ = std::accumulate(plan_.class_work.begin(), plan_.class_work.end(), 0.0) /
               static_cast<double>(plan_.class_work.size());
  members_.resize(plan_.controllers);
  for (std::size_t i = 0; i < members_.size(); ++i) launch(i);
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

Duration World::within(Duration span) {
  return from_seconds(uniform() * std::chrono::duration<double>(span).count());
}

void World::load(double calls_a_second) {
  calls_a_second_ = calls_a_second;
  next_arrival(++stream_);
}

void World::next_arrival(std::uint64_t stream) {
  if (calls_a_second_ <= 0.0) return;
  at(now_ + from_seconds(-std::log(1.0 - uniform()) / calls_a_second_), [this, stream] {
    if (stream != stream_) return;
    arrive();
    next_arrival(stream);
  });
}

void World::arrive() {
  const std::size_t i = sender_(random_);
  Member& member = members_[i];
  CallArrived call{.call = CallId{++next_call_}};
  call.call_class = static_cast<std::uint32_t>(random_() % plan_.settings.classes.size());
  call.number = CalledNumber{next_call_};
  call.caller_leaves_at = now_ + kPatience;
  call.destination = static_cast<std::uint32_t>(random_() % std::max<std::size_t>(servers_.size(), 1));
  member.open[call.call] = call.caller_leaves_at;
  member.class_of[call.call] = call.call_class;
  at(call.caller_leaves_at, [this, i, life = member.life, id = call.call] {
    Member& m = members_[i];
    if (m.life == life && m.open.erase(id) > 0) hand_over(i, life, CallerLeft{id});
  });
  hand_over(i, member.life, call);
}

void World::hand_over(std::size_t i, std::uint32_t life, const Event& event) {
  if (members_[i].life != life) return;
  ActionSink actions;
  members_[i].controller->on(now_, event, actions);
  for (const Action& action : actions) carry_out(i, action);
}

void World::carry_out(std::size_t i, const Action& action) {
  Member& member = members_[i];
  if (const auto* set_up = std::get_if<SendSetUp>(&action)) {
    send(i, *set_up);
  } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
    member.open.erase(refuse->call);
  } else if (const auto* fail = std::get_if<Fail>(&action)) {
    member.open.erase(fail->call);
  } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
    at(timer->at,
       [this, i, life = member.life, token = timer->token] { hand_over(i, life, TimerFired{token}); });
  }
}

void World::send(std::size_t i, const SendSetUp& set_up) {
  Member& member = members_[i];
  const auto id = static_cast<std::uint32_t>(set_up.server);
  FakeServer& server = servers_.at(id);
  const double work = plan_.class_work[member.class_of.at(set_up.call)];
  const std::uint32_t attempt = member.attempts[set_up.call]++;
  if (server.up && server.followed) {
    SlowStart& start = starts_[*server.followed];
    start.all.sent(now_, work / mean_work_);
    if (member.knows[id] == server.started) start.notified.sent(now_, work / mean_work_);
  }
  answer(i, set_up, attempt, work);
}

void World::answer(std::size_t i, const SendSetUp& set_up, std::uint32_t attempt, double work) {
  FakeServer& server = servers_.at(static_cast<std::uint32_t>(set_up.server));
  AttemptEnded ended{.call = set_up.call, .attempt = attempt, .server = set_up.server};
  if (!server.up) {
    ended.outcome = AttemptOutcome::connect_failed;
    return end_later(i, 2 * kNetwork, ended);
  }
  const Time begins = std::max(server.busy_until, now_ + kNetwork);
  if (begins > now_ + kLongestQueue) {
    ended.outcome = AttemptOutcome::full;
    ended.reason = FullReason::processor;
    return end_later(i, 2 * kNetwork, ended);
  }
  const double warm = server.started == Time{} ? 1.0 : warmth(plan_.settings, now_ - server.started);
  server.busy_until = begins + from_seconds(work / mean_work_ / (server.capacity * warm));
  const Time answered = server.busy_until + kNetwork;
  if (answered > set_up.expires_at) {
    ended.outcome = AttemptOutcome::timeout;
    return end_later(i, set_up.expires_at - now_, ended);
  }
  at(answered, [this, i, life = members_[i].life, start = server.start_number, set_up, attempt, sent = now_] {
    Member& member = members_[i];
    if (member.life != life) return;
    if (servers_.at(static_cast<std::uint32_t>(set_up.server)).start_number != start) {
      AttemptEnded lost{.call = set_up.call, .attempt = attempt, .server = set_up.server};
      lost.outcome = AttemptOutcome::reset;
      lost.elapsed = now_ - sent;
      lost.call_ended = !member.open.contains(set_up.call);
      return hand_over(i, life, lost);
    }
    answered_ += member.open.erase(set_up.call);
    hand_over(i, life, CallEstablished{set_up.call, attempt, set_up.server, now_ - sent});
  });
}

void World::end_later(std::size_t i, Duration after, AttemptEnded ended) {
  ended.elapsed = after;
  at(now_ + after, [this, i, life = members_[i].life, ended]() mutable {
    ended.call_ended = !members_[i].open.contains(ended.call);
    hand_over(i, life, ended);
  });
}

}  // namespace reeltack::test
