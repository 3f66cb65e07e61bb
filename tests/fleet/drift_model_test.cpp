// Model check of approval: three controllers, two contents of one epoch and one of a later epoch, with votes
// delivered late or never, crashes that lose what was not persisted, and one controller cut off at any time.
// Breadth-first over every order of events to a bounded depth; equal states are visited once.
//
// Invariants: never two approved contents of one epoch; the approved epoch of a controller never decreases,
// restarts included. Two seeded faults are each detected.
#include <gtest/gtest.h>

#include <deque>
#include <unordered_set>

#include "drift_world.h"
#include "fleet/drift/approval.h"

namespace reeltack::fleet::drift {
namespace {

constexpr std::size_t kControllers = 3;
enum class Seeded { none, visible_size, published_before_persisted };

struct Controller {
  Approval approval{MemberId{}};
  Vote durable;  // on disk
  std::optional<Vote> persisting;
  std::optional<Version> approved_durable;
  bool up = true;
};
struct State {
  std::array<Controller, kControllers> controllers;
  std::array<bool, 2> offered{};
  int cut = -1;  // the controller that is cut off; -1: none
  int depth = 0;
  std::map<Epoch, rules::Digest> seen;        // ever approved by any controller
  std::array<Epoch, kControllers> highest{};  // ever approved, by controller
};

const Version kContents[] = {version(1, "4"), version(1, "3"), version(2, "5")};

std::string key_of(const State& s) {
  std::string out = std::to_string(s.cut) + (s.offered[0] ? "a" : "") + (s.offered[1] ? "b" : "");
  for (const Controller& c : s.controllers)
    out += "#" + std::string(c.up ? "u" : "d") + c.approval.state() + write(c.durable) +
           (c.persisting ? "k" : "") +
           (c.approved_durable ? std::to_string(id_of(*c.approved_durable).digest) : "");
  return out;
}

class Explorer {
 public:
  explicit Explorer(Seeded seeded) : seeded_(seeded) {}

  // The first violation found up to this depth; empty: none.
  std::string run(int depth) {
    State first;
    for (std::size_t i = 0; i < kControllers; ++i) first.controllers[i].approval = Approval(World::id(i));
    push(first);
    while (!queue_.empty() && found_.empty()) {
      const State s = std::move(queue_.front());
      queue_.pop_front();
      if (s.depth < depth) each_next(s);
    }
    return found_;
  }
  [[nodiscard]] std::size_t states() const { return known_.size(); }

 private:
  void push(State s) {
    if (known_.insert(key_of(s)).second) queue_.push_back(std::move(s));
  }
  [[nodiscard]] static bool reaches(const State& s, std::size_t i, std::size_t j) {
    return s.controllers[i].up && s.controllers[j].up && s.cut != static_cast<int>(i) &&
           s.cut != static_cast<int>(j);
  }

  void each_next(const State& s) {
    const auto with = [&](const auto& change) {
      State next = s;
      ++next.depth;
      if (!change(next)) return;
      for (std::size_t i = 0; i < kControllers; ++i) after(next, i);
      push(std::move(next));
    };
    // Two operators offer versions at two controllers; the second continues with a later epoch.
    if (!s.offered[0])
      with([](State& n) { return n.offered[0] = n.controllers[0].approval.offer(kContents[0]); });
    if (!s.offered[1])
      with([](State& n) { return n.offered[1] = n.controllers[2].approval.offer(kContents[1]); });
    if (s.offered[1]) with([](State& n) { return n.controllers[2].approval.offer(kContents[2]); });
    for (std::size_t i = 0; i < kControllers; ++i) {
      if (s.controllers[i].persisting) with([i](State& n) { return persist(n.controllers[i]); });
      if (s.controllers[i].up) with([i](State& n) { return crash(n.controllers[i]); });
      if (!s.controllers[i].up) with([i](State& n) { return restart(n.controllers[i], World::id(i)); });
      for (std::size_t j = 0; j < kControllers; ++j)
        if (i != j && reaches(s, i, j)) with([&, i, j](State& n) { return deliver(n, i, j); });
    }
    for (int cut = -1; cut < static_cast<int>(kControllers); ++cut)
      if (cut != s.cut) with([cut](State& n) { return n.cut = cut, true; });
  }
  static bool persist(Controller& c) {
    c.durable = *c.persisting;
    c.approval.vote_persisted(*c.persisting);
    c.persisting.reset();
    return true;
  }
  static bool crash(Controller& c) {
    c.up = false;
    c.persisting.reset();
    return true;
  }
  static bool restart(Controller& c, MemberId id) {
    c.up = true;
    c.approval = Approval(id);
    c.approval.restore(c.durable, std::nullopt, c.approved_durable);
    return true;
  }
  // Delivers from i to j the vote and the contents that i holds.
  bool deliver(State& n, std::size_t i, std::size_t j) const {
    Vote vote = n.controllers[i].approval.published();
    if (seeded_ == Seeded::published_before_persisted && n.controllers[i].persisting)
      vote.vote = n.controllers[i].persisting->vote;
    n.controllers[j].approval.receive(World::id(i), vote);
    for (const auto* held : {&n.controllers[i].approval.held(), &n.controllers[i].approval.approved()})
      if (*held)
        for (const VersionPart& part : parts_of(**held))
          n.controllers[j].approval.receive(World::id(i), 0, part);
    return true;
  }
  void after(State& n, std::size_t i) {
    Controller& c = n.controllers[i];
    if (!c.up) return;
    if (const auto vote = c.approval.take_vote_to_persist()) c.persisting = vote;
    std::size_t size = kControllers;
    if (seeded_ == Seeded::visible_size) {
      size = 0;
      for (std::size_t j = 0; j < kControllers; ++j) size += i == j || reaches(n, i, j) ? 1 : 0;
    }
    if (!c.approval.update_approved(size)) return;
    c.approval.check();
    c.approved_durable = c.approval.approved();
    const VersionId id = id_of(*c.approval.approved());
    const auto [known, fresh] = n.seen.emplace(id.epoch, id.digest);
    if (!fresh && known->second != id.digest) found_ = "two contents approved under one epoch";
    if (id.epoch < n.highest[i]) found_ = "approved epoch decreased";
    n.highest[i] = id.epoch;
  }

  Seeded seeded_;
  std::deque<State> queue_;
  std::unordered_set<std::string> known_;
  std::string found_;
};

TEST(DriftModel, NeverTwoContentsOfOneEpochNorAnOlderEpoch) {
  Explorer explorer(Seeded::none);
  EXPECT_EQ(explorer.run(9), "");
  EXPECT_GT(explorer.states(), 10'000U) << "the search has covered something";
  RecordProperty("states", static_cast<int>(explorer.states()));
  std::printf("%zu states\n", explorer.states());
}

TEST(DriftModel, MajorityOfTheVisibleSizeIsDetected) {
  EXPECT_EQ(Explorer(Seeded::visible_size).run(9), "two contents approved under one epoch");
}

TEST(DriftModel, VotePublishedBeforeItIsDurableIsDetected) {
  EXPECT_EQ(Explorer(Seeded::published_before_persisted).run(13), "two contents approved under one epoch");
}

}  // namespace
}  // namespace reeltack::fleet::drift
