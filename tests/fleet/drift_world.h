// Several controllers' Drift objects in virtual time, with their rules, disks and facts. Facts pass between
// controllers of the same group.
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
  struct Node {
    std::unique_ptr<Drift> drift;  // null: it is down
    std::string name, zone;
    rules::Rules file{{"module.attempts", "5"}, {"module.release_guard", "300000000ns"}};
    std::map<std::string, std::string> disk;
    bool store = true;
    std::map<facts::Key, std::string> facts;
    std::map<std::size_t, std::map<facts::Key, std::string>> received;  // from each other
    Incarnation incarnation = 1;
    int group = 0;
    std::vector<std::string> log;
  };

  explicit World(std::size_t size) : nodes(size) {
    for (std::size_t i = 0; i < size; ++i) {
      nodes[i].name = "n" + std::to_string(i);
      nodes[i].zone = i % 2 == 0 ? "este" : "oeste";
      start(i);
    }
  }
  static MemberId id(std::size_t i) { return MemberId{i + 1}; }

  // As at a start of the program, the approved rules in the store override those of the file.
  void start(std::size_t i) {
    Node& node = nodes[i];
    node.drift = std::make_unique<Drift>(DriftSettings{.name = node.name, .zone = node.zone}, id(i));
    node.facts.clear();
    node.received.clear();
    RecordsRestored restored;
    const auto record = [&node](const char* key) {
      const auto found = node.disk.find(key);
      return found == node.disk.end() ? std::nullopt : std::optional(found->second);
    };
    restored = {record(kVoteRecord), record(kHeldRecord), record(kApprovedRecord)};
    deliver(i, restored);
    rules::Rules running = node.file;
    if (const auto& approved = node.drift->approved())
      for (const auto& [key, value] : required_rules(*approved, node.name, node.zone))
        running.insert_or_assign(key, value);
    deliver(i, RulesReadBack{tree_of(running)});
  }
  void stop(std::size_t i) {
    nodes[i].drift.reset();
    ++nodes[i].incarnation;
  }
  void offer(std::size_t i, const Version& version) { deliver(i, VersionOffered{version}); }
  void set_rules(std::size_t i, const rules::Rules& rules) { deliver(i, RulesReadBack{tree_of(rules)}); }

  void deliver(std::size_t i, const Event& event) {
    Node& node = nodes[i];
    if (!node.drift) return;
    Actions actions;
    node.drift->on(now, event, actions);
    execute(i, actions);
  }
  // Runs for this duration in steps; in each, facts pass wherever they can.
  void run(Duration lasts, Duration step = 200ms) {
    for (const Time end = now + lasts; now < end; now += step) {
      for (std::size_t i = 0; i < nodes.size(); ++i) exchange(i);
      for (std::size_t i = 0; i < nodes.size(); ++i) {
        if (!nodes[i].drift) continue;
        Actions actions;
        nodes[i].drift->tick(now, actions);
        execute(i, actions);
        nodes[i].drift->check();
      }
    }
  }
  [[nodiscard]] bool reaches(std::size_t i, std::size_t j) const {
    return nodes[j].drift && nodes[i].group == nodes[j].group;
  }
  [[nodiscard]] std::uint64_t alarms() const {
    std::uint64_t out = 0;
    for (const Node& node : nodes) out += node.drift ? node.drift->counts().alarms : 0;
    return out;
  }
  [[nodiscard]] VersionId approved(std::size_t i) const {
    return nodes[i].drift && nodes[i].drift->approved() ? id_of(*nodes[i].drift->approved()) : VersionId{};
  }
  [[nodiscard]] bool logged(std::size_t i, const std::string& text) const {
    for (const std::string& line : nodes[i].log)
      if (line.find(text) != std::string::npos) return true;
    return false;
  }

  std::vector<Node> nodes;
  Time now{1000s};

 private:
  void execute(std::size_t i, const Actions& actions) {
    Node& node = nodes[i];
    std::vector<Vote> persisted;
    for (const Action& action : actions) {
      if (const auto* publish = std::get_if<Publish>(&action)) {
        if (publish->value)
          node.facts[publish->key] = *publish->value;
        else
          node.facts.erase(publish->key);
      } else if (const auto* persist = std::get_if<Persist>(&action)) {
        if (!node.store) continue;
        node.disk[persist->key] = persist->value;
        if (persist->vote) persisted.push_back(*persist->vote);
      } else if (const auto* line = std::get_if<LogLine>(&action)) {
        node.log.push_back(line->text);
      }
    }
    for (const Vote& vote : persisted) deliver(i, VotePersisted{vote});
  }
  void exchange(std::size_t i) {
    if (!nodes[i].drift) return;
    MembersChanged members;
    members.agreed = nodes.size();
    for (std::size_t j = 0; j < nodes.size(); ++j)
      if (j != i)
        members.members.push_back({id(j), nodes[j].incarnation, nodes[j].name, nodes[j].zone, reaches(i, j)});
    deliver(i, members);
    for (std::size_t j = 0; j < nodes.size(); ++j) {
      if (j == i || !reaches(i, j)) continue;
      auto& received = nodes[i].received[j];
      const auto facts = nodes[j].facts;
      for (const auto& [key, value] : facts) {
        const auto before = received.find(key);
        if (before != received.end() && before->second == value) continue;
        received[key] = value;
        deliver(i, FactReceived{{id(j), nodes[j].incarnation, 1, key, value, false, 0s}});
      }
    }
  }
};

inline Version version(Epoch epoch, const std::string& attempts = "5") {
  return {epoch, {{"module.attempts", attempts}}, {}, {}};
}

}  // namespace reeltack::fleet::drift
