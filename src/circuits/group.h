// A trunk group: numbered circuits between two ends, either of which may seize any of them.
//
// Owns: the state of each circuit at this end, their selection, dual seizure (glare), release, reset,
// blocking,
//   and the audits that compare this end's view with the far end's and settle what disagrees.
// Must never: do I/O, read a clock, start a thread, or cut a call that both ends know.
//
// After ISUP (ITU-T Q.764: 2.9.1 dual seizure, 2.8.2 blocking, 2.9.3 reset, 2.8.3 circuit group query; names
// of messages after Q.763), with two things added for a wire that can break and come back:
//
// - Sequence numbers. Each end counts the messages it has sent on a circuit since the connection came up, and
//   each message tells how many of the other end's it had heard. A message that had not heard this end's last
//   word is an older word than that one, whatever the clocks say. So a reset that was decided before a
//   seizure came does nothing to that seizure, and an audit's answer speaks only of circuits on which nothing
//   is in flight. Messages of one connection arrive in order or not at all.
// - A call stands without a connection. What had not been answered when the connection broke is over at both
//   ends; what stood goes on, and is compared when the connection is back.
//
// Dual seizure: the end with the higher signalling point code controls the circuits with even codes, the
// other those with odd ones (Q.764, 2.9.1.4). Where both have seized a circuit, the controlling end's call
// stands and the other end's has never run, whichever message comes first.
//
// Told events, returns actions, in order, to be carried out at once. Equal inputs give equal outputs. Nothing
// is allocated by selection. Threads: one at a time.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "circuits/idle_set.h"
#include "reeltack/controller.h"

namespace reeltack::circuits {

using PointCode = std::uint32_t;

enum class Hunting {
  opposite,  // the end with the higher point code hunts from the high end, the other from the low one
  priority,  // own circuits first, the longest idle; then the other end's, the last released (Q.764, method
             // 2)
  same,      // both from the low end: for comparison only
};

struct GroupSettings {
  std::uint32_t size = 30;  // circuits
  PointCode own = 1;
  PointCode far = 2;
  Hunting hunting = Hunting::opposite;
  Duration release_again =
      std::chrono::seconds(2);  // a release or reset without its completion is said again (T1, T16)
  int release_most = 3;         // ... so often; then the circuit is reset (T5)
  Duration audit_period = std::chrono::seconds(3);      // in which the whole group is compared
  Duration confirm_after = std::chrono::seconds(1);     // what disagrees is asked about once more
  std::uint32_t audit_range = 256;                      // circuits a query
  std::uint32_t settle_batch = 64;                      // circuits freed or reset at once ...
  Duration settle_gap = std::chrono::milliseconds(50);  // ... and how long until the next so many
  Duration silence_most =
      std::chrono::milliseconds(5500);  // without a connection for so long, what stands is over
};
// The longest that a stuck circuit stays so, from the moment it got stuck or from the reconnection.
Duration settle_bound(const GroupSettings& settings);

enum class Kind : std::uint8_t {
  iam,  // initial address: seizes the circuit for a call
  anm,  // answer: the call stands
  rel,  // release, with a cause
  rlc,  // release complete; also answers a reset
  rsc,  // reset circuit
  blo,  // blocking of a range, for maintenance
  bla,  // its acknowledgement
  ubl,  // unblocking
  uba,  // its acknowledgement
  cqm,  // circuit group query of a range
  cqr,  // its response
};
const char* name_of(Kind kind);

// What a query's response says of one circuit.
struct CircuitWord {
  enum class State : std::uint8_t { idle, out, in, changing } state{};  // changing: releasing or resetting
  bool standing = false;
  std::uint32_t heard = 0;  // of the asking end's messages, on this connection
  std::uint64_t call = 0;
  bool operator==(const CircuitWord&) const = default;
};

struct Message {
  Kind kind{};
  Cic cic = 0;
  std::uint32_t count = 1;           // blo, ubl, cqm, cqr: so many circuits from cic on
  std::uint64_t call = 0;            // iam, anm, rel, rlc
  int cause = 0;                     // rel: Q.850
  std::uint32_t sequence = 0;        // of the sender on this circuit, from 1; 0 in group messages
  std::uint32_t heard = 0;           // of the receiver's on this circuit
  std::uint32_t token = 0;           // cqm, cqr
  std::vector<CircuitWord> words{};  // cqr
  bool operator==(const Message&) const = default;
};

// ---------------------------------------------------------------- actions

struct Send {
  Message message;
};
// A call comes in on a circuit: offer it, then answer() or release() it.
struct Offered {
  std::uint64_t call = 0;
  Cic cic = 0;
};
struct Answered {  // a call of ours stands
  std::uint64_t call = 0;
};
// A call of ours lost a dual seizure: it has not run at the far end, and another may be tried at once.
struct NotSent {
  std::uint64_t call = 0;
};
// A call is over that had been seized, offered or stood.
struct Over {
  std::uint64_t call = 0;
  bool outgoing = false;
  bool stood = false;
  int cause = 0;      // Q.850
  bool told = false;  // by the far end's release; else by a break, a reset or an audit
};
using GroupAction = std::variant<Send, Offered, Answered, NotSent, Over>;
using GroupActions = std::vector<GroupAction>;

inline constexpr int kNormalClearing = 16;
inline constexpr int kNoCircuit = 34;
inline constexpr int kTemporaryFailure = 41;

enum class Refusal { none, no_circuit, not_connected, call_known };

class Group {
 public:
  explicit Group(const GroupSettings& settings);
  virtual ~Group() = default;
  Group(const Group&) = default;
  Group(Group&&) = default;
  Group& operator=(const Group&) = delete;
  Group& operator=(Group&&) = delete;

  // ---- told by the program
  // Seizes a circuit for a call; what is sent is the iam, whose description is the program's own affair.
  Refusal seize(Time now, std::uint64_t call, GroupActions& actions);
  void answer(Time now, std::uint64_t call, GroupActions& actions);  // of a call that came in
  void release(Time now, std::uint64_t call, bool outgoing, int cause, GroupActions& actions);  // by this end
  void block(Time now, Cic first, std::uint32_t count, bool at_once, GroupActions& actions);
  void unblock(Time now, Cic first, std::uint32_t count, GroupActions& actions);
  // The circuits themselves are lost (a departamento's lines) and come back; what was on them is over.
  void lose(Time now, Cic first, std::uint32_t count, GroupActions& actions);
  void restore(Time now, Cic first, std::uint32_t count, GroupActions& actions);
  void audit_now(Time now, GroupActions& actions);

  // ---- told by the wire
  void connected(Time now, GroupActions& actions);
  void broken(Time now, GroupActions& actions);
  // False: no end that keeps to the rules could have sent it; the connection must end.
  bool take(Time now, const Message& message, GroupActions& actions);
  void fire(Time now, GroupActions& actions);  // whatever is due
  [[nodiscard]] Time next_due() const;

  // ---- what it holds
  enum class State : std::uint8_t {
    idle,
    seized_out,
    seized_in,
    standing_out,
    standing_in,
    releasing,
    resetting
  };
  struct Counts {
    std::uint64_t seized = 0, offered = 0, collisions = 0, glare_lost = 0, stale = 0, audits = 0;
    std::uint64_t suspects = 0, freed = 0, resets = 0, releases_again = 0;
  };
  [[nodiscard]] const Counts& counts() const { return counts_; }
  [[nodiscard]] bool up() const { return up_; }
  [[nodiscard]] std::uint32_t size() const { return settings_.size; }
  [[nodiscard]] std::uint32_t selectable() const { return idle_.size(); }
  [[nodiscard]] std::uint32_t busy() const { return busy_; }
  [[nodiscard]] State state(Cic cic) const { return circuits_[cic].state; }
  [[nodiscard]] std::uint64_t call_on(Cic cic) const { return circuits_[cic].call; }
  [[nodiscard]] bool controls(Cic cic) const { return (settings_.own > settings_.far) == (cic % 2 == 0); }
  [[nodiscard]] bool holds(std::uint64_t call, bool outgoing) const {
    return calls_.contains(key(call, outgoing));
  }
  // Of a circuit, for people: "standing-out", "idle blocked-remote" and their like.
  [[nodiscard]] std::string describe(Cic cic) const;
  struct Summary {
    std::uint32_t idle = 0, seized = 0, standing = 0, releasing = 0, blocked_local = 0, blocked_remote = 0,
                  lost = 0, suspect = 0, unaudited = 0;
  };
  [[nodiscard]] Summary summary() const;
  // All that decides what comes next, as bytes: equal bytes, equal behaviour. Times are left out.
  void fingerprint(std::string& out) const;
  void check() const;  // throws std::logic_error where the books do not add up

 protected:
  // The two decisions that all else rests on; a test that breaks one must see the checks find it.
  [[nodiscard]] virtual bool wins(Cic cic) const { return controls(cic); }
  [[nodiscard]] virtual bool is_older(std::uint32_t heard, std::uint32_t sent) const { return heard < sent; }

 private:
  struct Circuit {
    State state = State::idle;
    bool blocked_local = false;
    bool block_heard = false;  // the far end has acknowledged it
    bool blocked_remote = false;
    bool lost = false;
    bool unaudited = true;       // since the connection came up, or since it was restored
    std::uint8_t tries = 0;      // of a release or reset
    std::uint8_t disagreed = 0;  // answers to audits in a row that did, with nothing changed in between
    std::uint64_t call = 0;
    std::uint32_t sent = 0;
    std::uint32_t heard = 0;
    std::uint32_t seized = 0;    // `sent` at this end's last seizure: an iam that had not heard it collides
    std::uint64_t far_call = 0;  // what the far end said it holds, when it disagreed
  };
  struct Due {
    Time at{};
    Cic cic = 0;
    std::uint32_t sent = 0;  // of the circuit when it was set: what changed since makes it void
    std::uint32_t epoch = 0;
  };
  static std::uint64_t key(std::uint64_t call, bool outgoing) { return call * 2 + (outgoing ? 1U : 0U); }
  static bool holds_call(State s) {
    return s == State::seized_out || s == State::seized_in || s == State::standing_out ||
           s == State::standing_in;
  }
  static bool is_out(State s) { return s == State::seized_out || s == State::standing_out; }
  static bool stands(State s) { return s == State::standing_out || s == State::standing_in; }
  void say(Cic cic, Kind kind, std::uint64_t call, int cause, GroupActions& actions);
  void enter(Cic cic, State state, std::uint64_t call);
  void reselect(Cic cic);
  std::optional<Cic> pick() const;
  // The call on a circuit is over without the far end's consent being needed.
  void drop(Cic cic, int cause, bool told, GroupActions& actions);
  void begin_release(Time now, Cic cic, int cause, GroupActions& actions);
  void begin_reset(Time now, Cic cic, GroupActions& actions);
  std::uint32_t query(Cic first, std::uint32_t count, GroupActions& actions);
  void step_audit(Time now, GroupActions& actions);
  void say_blocks(bool blocked, Cic first, std::uint32_t count, GroupActions& actions);
  void respond(const Message& query, GroupActions& actions) const;
  void compare(Time now, const Message& response, GroupActions& actions);
  void compare_one(Time now, Cic cic, const CircuitWord& word);
  void agreed(Cic cic);
  void settle(Time now, GroupActions& actions);
  bool take_iam(Time now, const Message& m, bool older, GroupActions& actions);
  void take_rel(const Message& m, GroupActions& actions);
  void take_rsc(const Message& m, bool older, GroupActions& actions);
  bool take_group(Time now, const Message& m, GroupActions& actions);

  const GroupSettings settings_;
  std::vector<Circuit> circuits_;
  IdleSet idle_;   // selectable circuits: all of them ...
  IdleSet own_;    // ... those that this end controls ...
  IdleSet other_;  // ... and those of the other end
  std::unordered_map<std::uint64_t, Cic> calls_;
  std::deque<Due> again_;  // each of these waits alike, so the first is the next
  std::deque<Due> confirm_;
  std::deque<Cic> to_settle_;
  Time settle_at_ = Time::max();
  Time audit_due_ = Time::max();
  Time silence_at_ = Time::max();
  bool up_ = false;
  std::uint32_t epoch_ = 0;  // connections so far
  std::uint32_t busy_ = 0;   // circuits with a call
  std::uint32_t tokens_ = 0;
  Cic audit_next_ = 0;         // where the running audit goes on
  bool audit_urgent_ = false;  // one range after the other, as after a reconnection
  std::uint32_t urgent_token_ = 0;
  Counts counts_;
};

}  // namespace reeltack::circuits
