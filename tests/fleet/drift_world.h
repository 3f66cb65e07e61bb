// Drifts of several controllers with nothing between them but what a test lets pass.
//
// Owns: each one's rules, disk and facts, and who hears whom. Must never: judge.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fleet/drift/drift.h"

namespace reeltack::fleet::drift {

using namespace std::chrono_literals;

inline rules::Tree tree_of(const rules::Rules& rules) {
  rules::Tree out;
  for (const auto& [key, value] : rules) static_cast<void>(out.put(key, value));
  return out;
}

class World {
 public:
  struct One {
    std::unique_ptr<Drift> drift;  // none: it is down
    std::string name, zone;
    rules::Rules file{{"module.attempts", "5"}, {"module.release_guard", "300000000ns"}};
    std::map<std::string, std::string> disk;
    bool store = true;
    std::map<facts::Key, std::string> facts;
    std::map<std::size_t, std::map<facts::Key, std::string>> heard;  // of each other
    Incarnation incarnation = 1;
    int group = 0;
    std::vector<std::string> notes;
  };

  explicit World(std::size_t size) : all(size) {
    for (std::size_t i = 0; i < size; ++i) {
      all[i].name = "n" + std::to_string(i);
      all[i].zone = i % 2 == 0 ? "este" : "oeste";
      start(i);
    }
  }
  static MemberId id(std::size_t i) { return MemberId{i + 1}; }

  // What the store holds as approved is laid over the file, as at a start of the program.
  void start(std::size_t i) {
    One& one = all[i];
    one.drift = std::make_unique<Drift>(DriftSettings{.name = one.name, .zone = one.zone}, id(i));
    one.facts.clear();
    one.heard.clear();
    Restored restored;
    const auto kept = [&one](const char* key) {
      const auto found = one.disk.find(key);
      return found == one.disk.end() ? std::nullopt : std::optional(found->second);
    };
    restored = {kept(kVoteRecord), kept(kHeldRecord), kept(kApprovedRecord)};
    tell(i, restored);
    rules::Rules running = one.file;
    if (const auto& approved = one.drift->approved())
      for (const auto& [key, value] : required_rules(*approved, one.name, one.zone))
        running.insert_or_assign(key, value);
    tell(i, RulesReadBack{tree_of(running)});
  }
  void stop(std::size_t i) {
    all[i].drift.reset();
    ++all[i].incarnation;
  }
  void offer(std::size_t i, const Version& version) { tell(i, Offered{version}); }
  void decide_by(std::size_t i, const rules::Rules& rules) { tell(i, RulesReadBack{tree_of(rules)}); }

  void tell(std::size_t i, const Event& event) {
    One& one = all[i];
    if (!one.drift) return;
    Actions actions;
    one.drift->on(now, event, actions);
    carry_out(i, actions);
  }
  // So long, in steps; what may pass passes in each.
  void run(Duration lasts, Duration step = 200ms) {
    for (const Time end = now + lasts; now < end; now += step) {
      for (std::size_t i = 0; i < all.size(); ++i) meet(i);
      for (std::size_t i = 0; i < all.size(); ++i) {
        if (!all[i].drift) continue;
        Actions actions;
        all[i].drift->tick(now, actions);
        carry_out(i, actions);
        all[i].drift->check();
      }
    }
  }
  [[nodiscard]] bool hears(std::size_t i, std::size_t j) const {
    return all[j].drift && all[i].group == all[j].group;
  }
  [[nodiscard]] std::uint64_t alarms() const {
    std::uint64_t out = 0;
    for (const One& one : all) out += one.drift ? one.drift->counts().alarms : 0;
    return out;
  }
  [[nodiscard]] Name approved(std::size_t i) const {
    return all[i].drift && all[i].drift->approved() ? name_of(*all[i].drift->approved()) : Name{};
  }
  [[nodiscard]] bool noted(std::size_t i, const std::string& words) const {
    for (const std::string& note : all[i].notes)
      if (note.find(words) != std::string::npos) return true;
    return false;
  }

  std::vector<One> all;
  Time now{1000s};

 private:
  void carry_out(std::size_t i, const Actions& actions) {
    One& one = all[i];
    std::vector<Vote> kept;
    for (const Action& action : actions) {
      if (const auto* publish = std::get_if<Publish>(&action)) {
        if (publish->value)
          one.facts[publish->key] = *publish->value;
        else
          one.facts.erase(publish->key);
      } else if (const auto* keep = std::get_if<Keep>(&action)) {
        if (!one.store) continue;
        one.disk[keep->key] = keep->value;
        if (keep->vote) kept.push_back(*keep->vote);
      } else if (const auto* note = std::get_if<Note>(&action)) {
        one.notes.push_back(note->text);
      }
    }
    for (const Vote& vote : kept) tell(i, VotePersisted{vote});
  }
  void meet(std::size_t i) {
    if (!all[i].drift) return;
    Members members;
    members.agreed = all.size();
    for (std::size_t j = 0; j < all.size(); ++j)
      if (j != i)
        members.members.push_back({id(j), all[j].incarnation, all[j].name, all[j].zone, hears(i, j)});
    tell(i, members);
    for (std::size_t j = 0; j < all.size(); ++j) {
      if (j == i || !hears(i, j)) continue;
      auto& heard = all[i].heard[j];
      const auto facts = all[j].facts;
      for (const auto& [key, value] : facts) {
        const auto before = heard.find(key);
        if (before != heard.end() && before->second == value) continue;
        heard[key] = value;
        tell(i, Told{{id(j), all[j].incarnation, 1, key, value, false, 0s}});
      }
    }
  }
};

inline Version version(Epoch epoch, const std::string& attempts = "5") {
  return {epoch, {{"module.attempts", attempts}}, {}, {}};
}

}  // namespace reeltack::fleet::drift
