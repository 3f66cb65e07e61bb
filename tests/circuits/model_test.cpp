// Model checking: two ends, two circuits, three calls, every interleaving of messages, a break of the
// connection and a restart anywhere. After each state that is reached the network is also left in peace for
// the bound, and nothing may be stuck then.
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

  // The first path to a fault, or nothing.
  std::string run() {
    TwoEnds<G> start(settings_of(2, true), settings_of(2, false));
    start.connect();
    start.quiet(std::chrono::seconds(1));
    std::vector<Node> level{{start, 0, 0, ""}};
    seen_.insert(hash(level.front()));
    for (int depth = 0; depth < budget_.depth && !level.empty() && fault_.empty(); ++depth) {
      std::vector<Node> next;
      for (const Node& node : level) {
        expand(node, next);
        if (!fault_.empty() || seen_.size() >= budget_.states) break;
      }
      reached_ = depth + 1;
      if (seen_.size() >= budget_.states) break;
      level = std::move(next);
    }
    return fault_;
  }
  [[nodiscard]] std::size_t states() const { return seen_.size(); }
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
      to.world.one_call_a_circuit();
      if (!seen_.insert(hash(to)).second) return;
      // Left in peace from here: what was in work is finished by nobody, and yet nothing may stay stuck.
      TwoEnds<G> rest = to.world;
      if (!rest.up) rest.connect();
      rest.quiet(max_settle_time(rest.settings[0]) + std::chrono::seconds(2));
      rest.settled();
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
      for (const auto& [call, fate] : w.calls[end]) {
        const std::string id = std::to_string(call);
        const bool outgoing = kCalls[call - 1].end == end;
        if (fate == Fate::offered)
          step(node, at + " answers " + id, next, [end, call = call](Node& n) { n.world.answer(end, call); });
        if (fate == Fate::out || fate == Fate::offered || fate == Fate::stands)
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
    // The timers, at any moment: an audit may meet a live seizure.
    for (const std::size_t end : {0U, 1U}) {
      if (w.up && w.wire[0].empty() && w.wire[1].empty() && w.ends[end].next_due() != Time::max())
        step(node, end == 0 ? "time passes for high" : "time passes for low", next, [end](Node& n) {
          n.world.now = std::max(n.world.now, n.world.ends[end].next_due());
          n.world.fire(end);
        });
    }
  }
  // What decides what comes next. Two independent 32-bit sums would collide; 64 bits at some million states
  // do not (one in ten million).
  std::uint64_t hash(const Node& node) const {
    std::string out;
    for (const std::size_t end : {0U, 1U}) {
      node.world.ends[end].fingerprint(out);
      for (const Message& m : node.world.wire[end]) {
        out += static_cast<char>(m.kind);
        for (const std::uint64_t v : {std::uint64_t{m.cic}, std::uint64_t{m.count}, m.call,
                                      std::uint64_t{m.sequence}, std::uint64_t{m.received}})
          out += static_cast<char>(v);
        for (const CircuitStatus& word : m.statuses) {
          out += static_cast<char>(word.state);
          out += static_cast<char>(word.received);
          out += static_cast<char>(word.call);
        }
      }
      out += '|';
      for (const auto& [id, fate] : node.world.calls[end]) {
        out += static_cast<char>(id);
        out += static_cast<char>(fate);
      }
    }
    out += static_cast<char>(node.breaks * 2 + node.restarts);
    out += node.world.up ? 'u' : 'd';
    std::uint64_t h = 0xcbf29ce484222325ULL;
    for (const char c : out) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    return h ^ h >> 29U;
  }
  const Budget budget_;
  std::unordered_set<std::uint64_t> seen_;
  std::string fault_;
  int reached_ = 0;
};

// The bound is on states, not on time, so that the verdict is the same everywhere.
std::size_t most_states() {
  const char* asked = std::getenv("REELTACK_MODEL_STATES");
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
  constexpr std::size_t kUsual = 20'000;
#else
  constexpr std::size_t kUsual = 250'000;
#endif
  return asked == nullptr ? kUsual : static_cast<std::size_t>(std::strtoull(asked, nullptr, 10));
}

TEST(Model, EveryInterleavingKeepsTheRules) {
  Search<Group> search({.breaks = 1, .restarts = 1, .depth = 64, .states = most_states()});
  EXPECT_EQ(search.run(), "");
  std::printf("model: %zu states, depth %d\n", search.states(), search.depth());
}
// Without breaks and restarts the same bound reaches deeper into collisions and releases.
TEST(Model, CollisionsAndReleasesAlone) {
  Search<Group> search({.breaks = 0, .restarts = 0, .depth = 64, .states = most_states()});
  EXPECT_EQ(search.run(), "");
  std::printf("model: %zu states, depth %d\n", search.states(), search.depth());
}

// The search must find what is wrong where something is: here glare goes by the order of arrival.
struct GlareByArrival : Group {
  using Group::Group;
  [[nodiscard]] bool wins(Cic /*cic*/) const override { return false; }
};
TEST(Model, FindsGlareThatIsDecidedByArrival) {
  Search<GlareByArrival> search({.breaks = 0, .restarts = 0, .depth = 64, .states = most_states()});
  const std::string fault = search.run();
  EXPECT_NE(fault, "");
  std::printf("found after %zu states: %s\n", search.states(), fault.c_str());
}
struct BothWin : Group {
  using Group::Group;
  [[nodiscard]] bool wins(Cic /*cic*/) const override { return true; }
};
TEST(Model, FindsGlareThatBothEndsWin) {
  Search<BothWin> search({.breaks = 0, .restarts = 0, .depth = 64, .states = most_states()});
  EXPECT_NE(search.run(), "");
}
// ... and here a word that was said before ours was heard counts as a newer one.
struct NoSequences : Group {
  using Group::Group;
  [[nodiscard]] bool is_older(std::uint32_t /*received*/, std::uint32_t /*sent*/) const override {
    return false;
  }
};
TEST(Model, FindsThatOlderWordsAreObeyed) {
  Search<NoSequences> search({.breaks = 1, .restarts = 1, .depth = 64, .states = most_states()});
  EXPECT_NE(search.run(), "");
}

}  // namespace
}  // namespace reeltack::circuits::test
