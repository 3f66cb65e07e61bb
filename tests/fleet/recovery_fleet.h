// A fleet of Recovery objects in virtual time. Facts reach the members that are up and on the same side of a
// partition after a delay, stores retain what is written, offices answer according to `truth`. Each step
// calls check() of every member. Reads no clock.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "fleet/recovery/recovery.h"

namespace reeltack::fleet::recovery {
using namespace std::chrono_literals;

struct TestFleet {
  struct Member {
    std::unique_ptr<Recovery> recovery;  // none: the member is down
    Incarnation incarnation = 1;
    std::map<std::string, std::pair<std::string, Time>> store;
    std::map<facts::Key, std::pair<std::string, Time>> facts;
    std::vector<StageChanged> stages;
    std::optional<Terms> terms;
    std::map<ServerId, std::size_t> changes;  // of the verdict or address in its terms
    std::size_t side = 0, recoveries = 0, bytes = 0;
    Time began{};
  };
  struct Flight {
    Time at;
    std::size_t to;
    facts::Fact fact;
  };

  explicit TestFleet(std::size_t size, std::size_t offices = 8, Duration delay_of = 100ms)
      : members(size), delay(delay_of) {
    settings.class_worth = {1.0, 5.0, 2.0};
    settings.class_aim = {2s, 500ms, 1s};
    settings.ramp = 30s;
    settings.fall_span = 5s;
    settings.fall_multiple = 1.25;
    for (std::uint32_t i = 0; i < offices; ++i)
      truth[ServerId{i}] = {{ServerId{i}, 1000 + i, {9, 80}, 0, 1.0}, true};
  }
  static MemberId name(std::size_t i) { return MemberId{1000 + i}; }
  bool connected(std::size_t a, std::size_t b) const {
    return members[a].recovery && members[b].recovery && members[a].side == members[b].side;
  }

  void deliver(std::size_t i, const Event& event) {
    if (!members[i].recovery) return;
    Actions actions;
    members[i].recovery->on(now, event, actions);
    apply(i, actions);
  }
  void start(std::size_t i, std::optional<Duration> store_age = std::nullopt, bool link = true) {
    Member& m = members[i];
    m.recovery = std::make_unique<Recovery>(settings, name(i));
    m.began = now;
    m.stages.clear();
    m.terms.reset();
    m.facts.clear();
    ++m.incarnation;
    std::vector<Record> records;
    for (const auto& [key, value] : m.store)
      records.push_back({key, value.first, store_age ? *store_age : now - value.second});
    deliver(i, Restored{read_stored_state(records, false)});
    if (!link) return;
    deliver(i, LinkUp{});
    for (std::size_t j = 0; j < members.size(); ++j)
      if (j != i && connected(i, j))
        for (const auto& [key, value] : members[j].facts) send(j, i, key, value);
    update_members();
  }
  void kill(std::size_t i) {
    members[i].recovery.reset();
    update_members();
  }
  void update_members() {
    for (std::size_t i = 0; i < members.size(); ++i) {
      MembersChanged changed;
      changed.known = members.size();
      for (std::size_t j = 0; j < members.size(); ++j)
        if (connected(i, j)) {
          changed.live.push_back(name(j));
          changed.incarnations.push_back(members[j].incarnation);
        }
      deliver(i, changed);
    }
  }
  void partition(const std::vector<std::size_t>& sides) {
    for (std::size_t i = 0; i < sides.size(); ++i) members[i].side = sides[i];
    update_members();
    for (std::size_t i = 0; i < members.size(); ++i)
      for (std::size_t j = 0; j < members.size(); ++j)
        if (i != j && connected(i, j))
          for (const auto& [key, value] : members[j].facts) send(j, i, key, value);
  }
  ListReceived list(std::uint64_t number = 1) const {
    ListReceived received{number, true, {}};
    for (const auto& [id, office] : truth)
      if (office.second)
        received.offices.push_back({office.first, Rank::listed, OfficeState::ready, {}, Duration{}});
    return received;
  }
  void deliver_list(std::size_t i, std::uint64_t number = 1) { deliver(i, list(number)); }
  // The member tries every office that its terms allow and observes its true state.
  void traffic(std::size_t i) {
    if (!members[i].terms) return;
    const Terms terms = *members[i].terms;
    for (const Terms::Line& line : terms.offices) {
      if (line.verdict != Verdict::trusted && !line.ours) continue;
      const auto& office = truth.at(line.office.id);
      const OfficeState state = office.second ? OfficeState::answered : OfficeState::refused;
      deliver(i, OfficeObserved{{line.office, Rank::own, state, {}, Duration{}}});
    }
  }
  void run(Duration span, bool with_traffic = true) {
    for (const Time end = now + span; now < end; now += 20ms) {
      std::vector<Flight> due;
      std::erase_if(flights, [&](const Flight& f) {
        if (f.at > now) return false;
        due.push_back(f);
        return true;
      });
      for (const Flight& f : due) deliver(f.to, FactReceived{f.fact});
      for (std::size_t i = 0; i < members.size(); ++i) {
        Recovery* recovery = members[i].recovery.get();
        if (recovery == nullptr) continue;
        if (recovery->next() <= now) {
          Actions actions;
          recovery->tick(now, actions);
          apply(i, actions);
        }
        recovery->check(now);
        if (with_traffic && (now - Time{}) % 200ms == 0ms) traffic(i);
      }
    }
  }
  bool all(Stage stage) const {
    for (const Member& m : members)
      if (m.recovery && m.recovery->stage() != stage) return false;
    return true;
  }
  std::vector<Verdict> verdicts(std::size_t i) const {
    std::vector<Verdict> all;
    for (const OfficeAssessment& assessment : members[i].recovery->offices(now))
      all.push_back(assessment.verdict);
    return all;
  }
  // Brings the fleet into full service, each member with its store.
  void settle(Duration span = 20s) {
    for (std::size_t i = 0; i < members.size(); ++i) {
      start(i);
      deliver_list(i);
    }
    run(span);
    for (Member& m : members) m.recoveries = 0;
  }

  RecoverySettings settings;
  std::vector<Member> members;
  std::map<ServerId, std::pair<Office, bool>> truth;  // whether it answers
  std::vector<Flight> flights;
  Duration delay;
  std::map<std::pair<std::size_t, std::size_t>, Duration> extra_delay;  // from one member to another
  Time now = Time{} + 1h;

 private:
  void send(std::size_t from, std::size_t to, const facts::Key& key,
            const std::pair<std::string, Time>& value) {
    facts::Fact fact{name(from), members[from].incarnation, 1, key, value.first, false, now - value.second};
    const auto extra = extra_delay.find({from, to});
    flights.push_back({now + delay + (extra == extra_delay.end() ? 0ms : extra->second), to, fact});
  }
  void apply(std::size_t i, const Actions& actions) {
    Member& m = members[i];
    for (const Action& action : actions) {
      if (const auto* changed = std::get_if<StageChanged>(&action)) {
        m.stages.push_back(*changed);
        if (changed->to == Stage::probation) ++m.recoveries;
      } else if (const auto* terms = std::get_if<Terms>(&action)) {
        if (m.terms)
          for (const Terms::Line& previous : m.terms->offices)
            for (const Terms::Line& line : terms->offices)
              if (previous.office.id == line.office.id &&
                  (previous.verdict != line.verdict || previous.office.at != line.office.at))
                ++m.changes[line.office.id];
        m.terms = *terms;
      } else if (const auto* persist = std::get_if<Persist>(&action)) {
        m.store[persist->key] = {persist->value, now};
      } else if (const auto* publish = std::get_if<Publish>(&action)) {
        m.facts[publish->key] = {*publish->value, now};
        m.bytes += publish->value->size() + 12;
        for (std::size_t j = 0; j < members.size(); ++j)
          if (j != i && connected(i, j)) send(i, j, publish->key, m.facts[publish->key]);
      }
    }
  }
};

}  // namespace reeltack::fleet::recovery
