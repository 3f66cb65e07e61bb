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
//   message is older than that one, whatever the clocks say. So a reset that was decided before a
//   seizure came does nothing to that seizure, and an audit's answer speaks only of circuits on which nothing
//   is in flight. Messages of one connection arrive in order or not at all.
// - A call stands without a connection. What had not been answered when the connection broke is over at both
//   ends; what stood goes on, and is compared when the connection is back.
//
// Dual seizure: the end with the higher signalling point code controls the circuits with even codes, the
// other those with odd ones (Q.764, 2.9.1.4). Where both have seized a circuit, the controlling end's call
// stands and the other end's has never run, whichever message comes first.
//
// Takes events, returns actions, in order, to be carried out at once. Equal inputs give equal outputs.
// Nothing is allocated by selection. Threads: one at a time.
//
// One class in several files, by what it does: group.cpp (states of a circuit, calls of this end),
// group_receive.cpp (messages of the far end), group_maintenance.cpp (blocking and lost circuits),
// group_connection.cpp (connection and timers), group_audit.cpp (audits), group_inspection.cpp (what it
// holds, for people and tests).
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "circuits/group_actions.h"
#include "circuits/group_settings.h"
#include "circuits/idle_set.h"
#include "circuits/message.h"
#include "reeltack/controller.h"

namespace reeltack::circuits {

// One end of a trunk group.
class Group {
 public:
  explicit Group(const GroupSettings& settings);
  virtual ~Group() = default;
  Group(const Group&) = default;
  Group(Group&&) = default;
  Group& operator=(const Group&) = delete;
  Group& operator=(Group&&) = delete;

  // ---- requests of the program
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

  // ---- events of the connection
  void connected(Time now, GroupActions& actions);
  void disconnected(Time now, GroupActions& actions);
  // False: no end that keeps to the rules could have sent it; the connection must end.
  bool receive(Time now, const Message& message, GroupActions& actions);
  void fire(Time now, GroupActions& actions);  // whatever is due
  [[nodiscard]] Time next_due() const;

  // ---- what it holds
  enum class State : std::uint8_t {
    idle,
    seized_out,
    seized_in,
    established_out,
    established_in,
    releasing,
    resetting
  };
  // Events since this end began.
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
  // Circuits by what they are in now.
  struct Summary {
    std::uint32_t idle = 0, seized = 0, established = 0, releasing = 0, blocked_local = 0, blocked_remote = 0,
                  lost = 0, suspect = 0, unaudited = 0;
  };
  [[nodiscard]] Summary summary() const;
  // All that decides what comes next, as bytes: equal bytes, equal behaviour. Times are left out.
  void fingerprint(std::string& out) const;
  void check() const;  // throws std::logic_error where the books do not add up

 protected:
  // The two decisions that all else rests on; a test that breaks one must see the checks find it.
  [[nodiscard]] virtual bool wins(Cic cic) const { return controls(cic); }
  [[nodiscard]] virtual bool is_older(std::uint32_t received, std::uint32_t sent) const {
    return received < sent;
  }

 private:
  struct Circuit {
    State state = State::idle;
    bool blocked_local = false;
    bool block_acknowledged = false;  // the far end has acknowledged it
    bool blocked_remote = false;
    bool lost = false;
    bool unaudited = true;       // since the connection came up, or since it was restored
    std::uint8_t tries = 0;      // of a release or reset
    std::uint8_t disagreed = 0;  // answers to audits in a row that did, with nothing changed in between
    std::uint64_t call = 0;
    std::uint32_t sent = 0;
    std::uint32_t received = 0;
    std::uint32_t seized = 0;    // `sent` at this end's last seizure: an iam that had not heard it collides
    std::uint64_t far_call = 0;  // what the far end said it holds, when it disagreed
  };
  struct Timer {
    Time at{};
    Cic cic = 0;
    std::uint32_t sent = 0;  // of the circuit when it was set: what changed since makes it void
    std::uint32_t epoch = 0;
  };
  static std::uint64_t key(std::uint64_t call, bool outgoing) { return call * 2 + (outgoing ? 1U : 0U); }
  static bool holds_call(State s) {
    return s == State::seized_out || s == State::seized_in || s == State::established_out ||
           s == State::established_in;
  }
  static bool is_out(State s) { return s == State::seized_out || s == State::established_out; }
  static bool stands(State s) { return s == State::established_out || s == State::established_in; }
  // Sends a message on one circuit, with the next sequence number.
  void send_on(Cic cic, Kind kind, std::uint64_t call, int cause, GroupActions& actions);
  void enter(Cic cic, State state, std::uint64_t call);
  [[nodiscard]] bool can_select(Cic cic) const;
  void reselect(Cic cic);
  [[nodiscard]] std::optional<Cic> select() const;
  void await_completion(Time now, Cic cic);
  // The call on a circuit is over without the far end's consent being needed.
  void drop(Cic cic, int cause, bool by_far_end, GroupActions& actions);
  void begin_release(Time now, Cic cic, int cause, GroupActions& actions);
  void begin_reset(Time now, Cic cic, GroupActions& actions);
  std::uint32_t query(Cic first, std::uint32_t count, GroupActions& actions);
  void step_audit(Time now, GroupActions& actions);
  void release_lost_call(Time now, Cic cic, GroupActions& actions);
  void send_blocking(bool blocked, Cic first, std::uint32_t count, GroupActions& actions);
  void respond(const Message& query, GroupActions& actions) const;
  void compare(Time now, const Message& response, GroupActions& actions);
  void compare_one(Time now, Cic cic, const CircuitStatus& report);
  void mark_agreed(Cic cic);
  // Frees or resets what disagreed twice with nothing in between, one batch.
  void settle(Time now, GroupActions& actions);
  bool receive_iam(Time now, const Message& m, bool older, GroupActions& actions);
  void receive_rel(const Message& m, GroupActions& actions);
  void receive_rsc(const Message& m, bool older, GroupActions& actions);
  void retry_releases(Time now, GroupActions& actions);
  void confirm_suspects(Time now, GroupActions& actions);
  void drop_standing(GroupActions& actions);
  void receive_anm(const Message& m, GroupActions& actions);
  bool receive_group(Time now, const Message& m, GroupActions& actions);

  const GroupSettings settings_;
  std::vector<Circuit> circuits_;
  IdleSet idle_;   // selectable circuits: all of them ...
  IdleSet own_;    // ... those that this end controls ...
  IdleSet other_;  // ... and those of the other end
  std::unordered_map<std::uint64_t, Cic> calls_;
  // Each of these waits alike, so the first is the next.
  std::deque<Timer> release_retries_;
  std::deque<Timer> confirmations_;
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
