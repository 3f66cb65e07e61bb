// Model checking: two ends, two circuits, three calls, all interleavings of messages, with a break of
// the connection and a restart at any point. From each state reached, the network is also left alone
// for the settle time, after which nothing may be stuck.
#include <gtest/gtest.h>

#include <cstdlib>
#include <unordered_set>
#include <vector>

#include "two_ends.h"

namespace reeltack::circuits::test {
namespace {

struct Budget {
  int breaks = 0;
  int restarts = 0;
  int depth = 0;
  std::size_t states = 0;
};

template <class G>
class Search {
 public:
  struct Node {
    TwoEnds<G> world;
    int breaks = 0;
    int restarts = 0;
    std::string path;
  };
  explicit Search(const Budget& budget) : budget_(budget) {}

  // Returns the first path to a fault, or an empty string.
  std::string run() {
    TwoEnds<G> start(settings_of(2, true), settings_of(2, false));
    start.connect();
    start.run_for(std::chrono::seconds(1));
    std::vector<Node> level{{start, 0, 0, ""}};
    visited_.insert(hash(level.front()));
    for (int depth = 0; depth < budget_.depth && !level.empty() && fault_.empty(); ++depth) {
      std::vector<Node> next;
      for (const Node& node : level) {
        expand(node, next);
        if (!fault_.empty() || visited_.size() >= budget_.states) break;
      }
      reached_ = depth + 1;
      if (visited_.size() >= budget_.states) break;
      level = std::move(next);
    }
    return fault_;
  }
  [[nodiscard]] std::size_t states() const { return visited_.size(); }
  [[nodiscard]] int depth() const { return reached_; }

 private:
  struct Origin {
    std::size_t end;
    std::uint64_t call;
  };
  static constexpr Origin kCalls[] = {{0, 1}, {1, 2}, {0, 3}};

  template <class Act>
  void step(const Node& from, const std::string& name, std::vector<Node>& next, Act act) {
    if (!fault_.empty()) return;
    Node to = from;
    to.path += (to.path.empty() ? "" : ", ") + name;
    try {
      act(to);
      to.world.check_one_call_per_circuit();
      if (!visited_.insert(hash(to)).second) return;
      // Without further requests: nobody completes the pending calls, and yet nothing may stay stuck.
      TwoEnds<G> rest = to.world;
      if (!rest.up) rest.connect();
      rest.run_for(max_settle_time(rest.settings[0]) + std::chrono::seconds(2));
      rest.check_settled();
      next.push_back(std::move(to));
    } catch (const std::logic_error& error) {
      fault_ = std::string(error.what()) + " after: " + to.path;
    }
  }
  void expand(const Node& node, std::vector<Node>& next) {
    const TwoEnds<G>& w = node.world;
    for (const std::size_t end : {0U, 1U}) {
      const std::string at = end == 0 ? "high" : "low";
      if (!w.wire[end].empty())
        step(node, std::string(name_of(w.wire[end].front().kind)) + " to " + at, next,
             [end](Node& n) { n.world.deliver(end); });
      for (const auto& [call, call_state] : w.calls[end]) {
        const std::string id = std::to_string(call);
        const bool outgoing = kCalls[call - 1].end == end;
        if (call_state == CallState::offered)
          step(node, at + " answers " + id, next, [end, call = call](Node& n) { n.world.answer(end, call); });
        if (call_state == CallState::out || call_state == CallState::offered ||
            call_state == CallState::established)
          step(node, at + " releases " + id, next,
               [=, call = call](Node& n) { n.world.release(end, call, outgoing); });
      }
      if (node.restarts < budget_.restarts)
        step(node, at + " restarts", next, [end](Node& n) {
          ++n.restarts;
          n.world.restart(end);
        });
    }
    for (const Origin& o : kCalls) {
      if (w.up && w.calls[o.end].find(o.call) == w.calls[o.end].end())
        step(node, std::string(o.end == 0 ? "high" : "low") + " seizes for " + std::to_string(o.call), next,
             [o](Node& n) { n.world.originate(o.end, o.call); });
    }
    if (w.up && node.breaks < budget_.breaks)
      step(node, "break", next, [](Node& n) {
        ++n.breaks;
        n.world.disconnect();
      });
    if (!w.up) step(node, "connect", next, [](Node& n) { n.world.connect(); });
    // The timers, at any moment: an audit may coincide with a seizure.
    for (const std::size_t end : {0U, 1U}) {
      if (w.up && w.wire[0].empty() && w.wire[1].empty() && w.ends[end].next_due() != Time::max())
        step(node, end == 0 ? "time passes for high" : "time passes for low", next, [end](Node& n) {
          n.world.now = std::max(n.world.now, n.world.ends[end].next_due());
          n.world.fire(end);
        });
    }
  }
  // Hash of everything that determines the further behaviour. Two independent 32-bit sums would
  // collide; with 64 bits a collision among some million states has a probability of one in ten
  // million.
  std::uint64_t hash(const Node& node) const {
    std::string out;
    for (const std::size_t end : {0U, 1U}) {
      node.world.ends[end].fingerprint(out);
      for (const Message& m : node.world.wire[end]) {
        out += static_cast<char>(m.kind);
        for (const std::uint64_t v : {std::uint64_t{m.cic}, std::uint64_t{m.count}, m.call,
                                      std::uint64_t{m.sequence}, std::uint64_t{m.received}})
          out += static_cast<char>(v);
        for (const CircuitStatus& word : m.status) {
          out += static_cast<char>(word.state);
          out += static_cast<char>(word.received);
          out += static_cast<char>(word.call);
        }
      }
      out += '|';
      for (const auto& [id, call_state] : node.world.calls[end]) {
        out += static_cast<char>(id);
        out += static_cast<char>(call_state);
      }
    }
    out += static_cast<char>(node.breaks * 2 + node.restarts);
    out += node.world.up ? 'u' : 'd';
    std::uint64_t h = 0xcbf29ce484222325ULL;
    for (const char c : out) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    return h ^ h >> 29U;
  }
  const Budget budget_;
  std::unordered_set<std::uint64_t> visited_;
  std::string fault_;
  int reached_ = 0;
};

// The search is limited by states and not by time, so that the result is the same on every machine.
std::size_t max_states() {
  const char* asked = std::getenv("REELTACK_MODEL_STATES");
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
  constexpr std::size_t kUsual = 20'000;
#else
  constexpr std::size_t kUsual = 250'000;
#endif
  return asked == nullptr ? kUsual : static_cast<std::size_t>(std::strtoull(asked, nullptr, 10));
}

TEST(Model, EveryInterleavingKeepsTheInvariants) {
  Search<Group> search({.breaks = 1, .restarts = 1, .depth = 64, .states = max_states()});
  EXPECT_EQ(search.run(), "");
  std::printf("model: %zu states, depth %d\n", search.states(), search.depth());
}
// Without breaks and restarts the same limit reaches deeper into collisions and releases.
TEST(Model, CollisionsAndReleasesAlone) {
  Search<Group> search({.breaks = 0, .restarts = 0, .depth = 64, .states = max_states()});
  EXPECT_EQ(search.run(), "");
  std::printf("model: %zu states, depth %d\n", search.states(), search.depth());
}

// The search must detect a broken rule. Here glare is decided by the order of arrival.
struct GlareByArrival : Group {
  using Group::Group;
  [[nodiscard]] bool wins(Cic /*cic*/) const override { return false; }
};
TEST(Model, DetectsGlareDecidedByArrival) {
  Search<GlareByArrival> search({.breaks = 0, .restarts = 0, .depth = 64, .states = max_states()});
  const std::string fault = search.run();
  EXPECT_NE(fault, "");
  std::printf("found after %zu states: %s\n", search.states(), fault.c_str());
}
struct BothWin : Group {
  using Group::Group;
  [[nodiscard]] bool wins(Cic /*cic*/) const override { return true; }
};
TEST(Model, DetectsGlareThatBothEndsWin) {
  Search<BothWin> search({.breaks = 0, .restarts = 0, .depth = 64, .states = max_states()});
  EXPECT_NE(search.run(), "");
}
// Here a message sent before ours was received counts as a newer one.
struct IgnoresSequences : Group {
  using Group::Group;
  [[nodiscard]] bool is_older(std::uint32_t /*received*/, std::uint32_t /*sent*/) const override {
    return false;
  }
};
TEST(Model, DetectsThatOutdatedMessagesAreObeyed) {
  Search<IgnoresSequences> search({.breaks = 1, .restarts = 1, .depth = 64, .states = max_states()});
  EXPECT_NE(search.run(), "");
}

}  // namespace
}  // namespace reeltack::circuits::test
