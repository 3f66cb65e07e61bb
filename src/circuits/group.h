// One end of a trunk group: numbered circuits between two ends, either of which may seize any of them.
//
// Holds the state of each circuit at this end and covers selection, dual seizure (glare), release,
// reset, blocking, and the audits that compare this end's view with the far end's and resolve
// mismatches. Does no I/O, reads no clock and starts no thread. An audit never drops a call that both
// ends know.
//
// Follows ISUP (ITU-T Q.764: 2.9.1 dual seizure, 2.8.2 blocking, 2.9.3 reset, 2.8.3 circuit group
// query; message names from Q.763), with two additions for a connection that can break and come back:
//
// - Sequence numbers. Each end counts the messages it has sent on a circuit since the connection came
//   up, and each message carries the number of messages received from the other end. A message sent
//   before this end's last message was received is outdated, whatever the clocks say. So a reset that
//   was decided before a seizure arrived does not affect that seizure, and the response to an audit is
//   used only for circuits with no message in flight. Messages of one connection arrive in order or not
//   at all.
// - A call stays established without a connection. Calls that had not been answered when the connection
//   broke are ended at both ends. Established calls continue for up to max_silence and are compared when
//   the connection is back.
//
// Dual seizure: the end with the higher signalling point code controls the circuits with even codes,
// the other end those with odd codes (Q.764, 2.9.1.4). If both ends have seized a circuit, the call of
// the controlling end proceeds and the other end's call has never existed at the far end, whichever
// message arrives first.
//
// Takes events and returns actions, to be executed in order and at once. Equal inputs give equal
// outputs. Selection allocates no memory. Not thread-safe.
//
// The class is implemented in several files: group.cpp (states of a circuit, calls of this end),
// group_receive.cpp (messages of the far end), group_maintenance.cpp (blocking and lost circuits),
// group_connection.cpp (connection and timers), group_audit.cpp (audits), group_inspection.cpp (state
// for operators and tests).
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

  // ---- requests of the owner
  // Seizes a circuit for a call and sends the iam; the owner adds the description of the call to it.
  Refusal seize(Time now, std::uint64_t call, GroupActions& actions);
  void answer(Time now, std::uint64_t call, GroupActions& actions);  // of an incoming call
  void release(Time now, std::uint64_t call, bool outgoing, int cause, GroupActions& actions);  // by this end
  void block(Time now, Cic first, std::uint32_t count, bool at_once, GroupActions& actions);
  void unblock(Time now, Cic first, std::uint32_t count, GroupActions& actions);
  // The circuits themselves fail (a region's lines) and come back; their calls end.
  void lose(Time now, Cic first, std::uint32_t count, GroupActions& actions);
  void restore(Time now, Cic first, std::uint32_t count, GroupActions& actions);
  void audit_now(Time now, GroupActions& actions);

  // ---- events of the connection
  void connected(Time now, GroupActions& actions);
  // `silent_since`: for a connection that was given up as silent, when the far end was last heard;
  // max_silence runs from there.
  void disconnected(Time now, GroupActions& actions, std::optional<Time> silent_since = {});
  // False if the message violates the protocol; the connection must then be closed.
  bool receive(Time now, const Message& message, GroupActions& actions);
  void fire(Time now, GroupActions& actions);  // runs all due timers
  [[nodiscard]] Time next_due() const;

  // ---- state
  enum class State : std::uint8_t {
    idle,
    seized_out,
    seized_in,
    established_out,
    established_in,
    releasing,
    resetting
  };
  // Number of events since this object was created.
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
  // State of a circuit for operators, such as "standing-out" or "idle blocked-remote".
  [[nodiscard]] std::string describe(Cic cic) const;
  // Number of circuits in each state now.
  struct Summary {
    std::uint32_t idle = 0, seized = 0, established = 0, releasing = 0, blocked_local = 0, blocked_remote = 0,
                  lost = 0, suspect = 0, unaudited = 0;
  };
  [[nodiscard]] Summary summary() const;
  // All state that determines the behaviour, as bytes: equal bytes, equal behaviour. Times are left out.
  void fingerprint(std::string& out) const;
  void check() const;  // throws std::logic_error if an invariant is violated

 protected:
  // The two decisions on which all else rests. Tests override them to show that the checks find a fault.
  [[nodiscard]] virtual bool wins(Cic cic) const { return controls(cic); }
  [[nodiscard]] virtual bool is_older(std::uint32_t received, std::uint32_t sent) const {
    return received < sent;
  }

 private:
  struct Circuit {
    State state = State::idle;
    bool blocked_local = false;
    bool block_acknowledged = false;  // the far end has acknowledged the blocking
    bool blocked_remote = false;
    bool lost = false;
    bool unaudited = true;        // since the connection came up or the circuit was restored
    std::uint8_t tries = 0;       // transmissions of the current release
    std::uint8_t mismatches = 0;  // consecutive audit responses that differed, without a change in between
    std::uint64_t call = 0;
    std::uint32_t sent = 0;
    std::uint32_t received = 0;
    // `sent` at this end's last seizure; an iam sent before that seizure was received collides.
    std::uint32_t seized = 0;
    std::uint64_t far_call = 0;  // call reported by the far end at the last mismatch
  };
  struct Timer {
    Time at{};
    Cic cic = 0;
    std::uint32_t sent = 0;   // of the circuit when the timer was set; a change since then cancels it
    std::uint32_t epoch = 0;  // likewise
  };
  static std::uint64_t key(std::uint64_t call, bool outgoing) { return call * 2 + (outgoing ? 1U : 0U); }
  static bool holds_call(State s) {
    return s == State::seized_out || s == State::seized_in || s == State::established_out ||
           s == State::established_in;
  }
  static bool is_outgoing(State s) { return s == State::seized_out || s == State::established_out; }
  static bool is_established(State s) { return s == State::established_out || s == State::established_in; }
  // Sends a message on one circuit, with the next sequence number.
  void send_on(Cic cic, Kind kind, std::uint64_t call, int cause, GroupActions& actions);
  void set_state(Cic cic, State state, std::uint64_t call);
  [[nodiscard]] bool can_select(Cic cic) const;
  void update_idle_sets(Cic cic);
  [[nodiscard]] std::optional<Cic> select() const;
  void await_completion(Time now, Cic cic);
  // Ends the call on a circuit without waiting for the far end.
  void end_call(Cic cic, int cause, bool by_far_end, GroupActions& actions);
  void begin_release(Time now, Cic cic, int cause, GroupActions& actions);
  void begin_reset(Time now, Cic cic, GroupActions& actions);
  std::uint32_t query(Cic first, std::uint32_t count, GroupActions& actions);
  void step_audit(Time now, GroupActions& actions);
  void release_for_maintenance(Time now, Cic cic, GroupActions& actions);
  void send_blocking(bool blocked, Cic first, std::uint32_t count, GroupActions& actions);
  void respond(const Message& query, GroupActions& actions) const;
  void compare(Time now, const Message& response, GroupActions& actions);
  void compare_circuit(Time now, Cic cic, const CircuitStatus& report);
  void mark_agreed(Cic cic);
  // Frees or resets one batch of circuits that mismatched twice without a change in between.
  void settle(Time now, GroupActions& actions);
  bool receive_iam(Time now, const Message& m, bool outdated, GroupActions& actions);
  void receive_rel(const Message& m, GroupActions& actions);
  void receive_rsc(const Message& m, bool outdated, GroupActions& actions);
  void retry_due_releases(Time now, GroupActions& actions);
  void confirm_suspects(Time now, GroupActions& actions);
  void drop_established_calls(GroupActions& actions);
  void receive_anm(const Message& m, GroupActions& actions);
  bool receive_group(Time now, const Message& m, GroupActions& actions);

  const GroupSettings settings_;
  std::vector<Circuit> circuits_;
  IdleSet idle_;                                  // all selectable circuits
  IdleSet own_;                                   // selectable circuits that this end controls
  IdleSet other_;                                 // selectable circuits that the far end controls
  std::unordered_map<std::uint64_t, Cic> calls_;  // by key()
  // All timers of a queue have the same duration, so the first one is due next.
  std::deque<Timer> release_retries_;
  std::deque<Timer> confirmations_;  // second queries of circuits that mismatched once
  std::deque<Cic> to_settle_;        // circuits that mismatched twice
  Time settle_due_ = Time::max();
  Time audit_due_ = Time::max();
  Time silence_ends_at_ = Time::max();  // without a connection: when established calls end
  bool up_ = false;
  std::uint32_t epoch_ = 0;  // number of connections so far
  std::uint32_t busy_ = 0;   // circuits with a call
  std::uint32_t last_token_ = 0;
  Cic audit_next_ = 0;              // first circuit of the next query
  bool audit_urgent_ = false;       // query the ranges without pauses, as after a reconnection
  std::uint32_t urgent_token_ = 0;  // of the last urgent query; its response triggers the next one
  Counts counts_;
};

}  // namespace reeltack::circuits
