// Forwarding of urgent facts: to which members, how often, until when, and within which bounds.
#include <algorithm>
#include <cmath>
#include <numeric>

#include "fleet/push/eager_push.h"

namespace reeltack::fleet::eager_push {
namespace {

constexpr std::size_t kMessageOverhead = 80;  // as for the members' messages
constexpr std::size_t kFactOverhead =
    72;  // owner 9, incarnation 11, version 11, kind 4, subject 11, age 8, lengths and tags 15

std::size_t fanout_of(std::size_t live) {
  return static_cast<std::size_t>(std::ceil(std::log(static_cast<double>(live)))) + 1;
}

}  // namespace

std::size_t encoded_size(const facts::Fact& fact) { return kFactOverhead + fact.value.size(); }
std::size_t encoded_size(const Message& message) {
  return std::accumulate(message.facts.begin(), message.facts.end(), kMessageOverhead,
                         [](std::size_t sum, const facts::Fact& f) { return sum + encoded_size(f); });
}

void EagerPush::start_push(Time now, const facts::Fact& fact, const Value& value, MemberId from) {
  if (pushed_.size() >= settings_.max_pushed) {
    ++counts_.dropped;
    return;
  }
  Pushed pushed{fact, now, now, 0, {}, {}};
  if (from != self_) pushed.received_from.insert(from);
  pushed_.insert_or_assign({value.office.id, value.office.start, value.office.at}, std::move(pushed));
}

bool EagerPush::finished(Time now, const Pushed& pushed, std::size_t fanout) const {
  if (pushed.pushes >= settings_.push_delays.size()) return true;
  if (pushed.fact.age + (now - pushed.age_at) > settings_.max_age) return true;
  return pushed.pushes > 0 && pushed.received_from.size() >= 2 * fanout;
}

std::vector<Push> EagerPush::due(Time now, std::span<const MemberId> live, std::span<const MemberId> dead) {
  std::vector<Push> out;
  if (now < next()) return out;
  std::erase_if(admitted_, [&](const auto& of) { return now >= of.second.since + std::chrono::seconds(2); });
  const std::size_t fanout = fanout_of(live.size() + 1);
  const std::vector<MemberId> live_order = shuffled(live);
  const std::vector<MemberId> dead_order = shuffled(dead);
  std::map<MemberId, std::vector<facts::Fact>> to;
  for (auto& [meaning, pushed] : pushed_) {
    if (due_at(pushed) > now) continue;
    if (!finished(now, pushed, fanout)) {
      std::vector<MemberId> selected = select(pushed, live_order, fanout);
      for (const MemberId member : select(pushed, dead_order, kPushesToDead)) selected.push_back(member);
      for (const MemberId member : selected) {
        ++pushed.times_sent[member];
        to[member].emplace_back(pushed.fact).age += now - pushed.age_at;
      }
    }
    ++pushed.pushes;
  }
  std::erase_if(pushed_, [&](const auto& of) { return finished(now, of.second, fanout); });
  for (const auto& [member, facts] : to) pack(now, member, facts, out);
  return out;
}

std::vector<MemberId> EagerPush::shuffled(std::span<const MemberId> members) {
  std::vector<MemberId> order(members.begin(), members.end());
  for (std::size_t i = order.size(); i > 1; --i) std::swap(order[i - 1], order[draws_.below(i)]);
  return order;
}

// Members that are not known to have the fact, in the given order, those sent to least often first.
std::vector<MemberId> EagerPush::select(const Pushed& pushed, const std::vector<MemberId>& order,
                                        std::size_t fanout) const {
  std::vector<MemberId> selected;
  for (std::size_t times = 0; times < settings_.push_delays.size(); ++times) {
    for (const MemberId member : order) {
      if (selected.size() >= fanout) return selected;
      if (member == pushed.fact.owner || pushed.received_from.contains(member)) continue;
      const auto sent = pushed.times_sent.find(member);
      if ((sent == pushed.times_sent.end() ? 0 : sent->second) == times) selected.push_back(member);
    }
  }
  return selected;
}

// Uses as many messages as needed; messages above the bounds per second are dropped.
void EagerPush::pack(Time now, MemberId to, const std::vector<facts::Fact>& facts, std::vector<Push>& out) {
  for (auto fact = facts.begin(); fact != facts.end();) {
    Push push{to, {}};
    std::size_t bytes = kMessageOverhead;
    do {
      bytes += encoded_size(*fact);
      push.facts.push_back(*fact++);
    } while (fact != facts.end() && push.facts.size() < kMaxFactsPerMessage &&
             bytes + encoded_size(*fact) <= kMaxMessageBytes);
    if (!messages_.take(now, 1, settings_.max_messages_per_second) ||
        !bytes_.take(now, bytes, settings_.max_bytes_per_second)) {
      ++counts_.dropped;
      continue;
    }
    ++counts_.messages_sent;
    counts_.bytes_sent += bytes;
    out.push_back(std::move(push));
  }
}

Time EagerPush::next() const {
  Time next = Time::max();
  for (const auto& [meaning, pushed] : pushed_) next = std::min(next, due_at(pushed));
  return next;
}

}  // namespace reeltack::fleet::eager_push
