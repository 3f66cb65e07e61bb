// Whether one office can be reached, and what its silence means for the calls established there.
//
// Tracks the office's list entry, the results of dialling and activity on its connection, and derives when to
// dial or probe it next. Performs no I/O, reads no clock, holds no calls and chooses no office. Times are
// absolute and given by the caller. Deterministic; allocates nothing. Not thread-safe: its owner calls it
// under the owner's lock.
#pragma once

#include <algorithm>
#include <optional>

#include "reeltack/controller.h"

namespace reeltack::membership {

struct ReachabilitySettings {
  // Silence of a connection while calls are established, after which the office is probed.
  Duration idle_before_probe = std::chrono::milliseconds(2500);
  // Silence after a set-up has been sent, after which the office is probed.
  Duration answer_timeout = std::chrono::seconds(1);
  // Until the office is probed again, or dialled again after a failure.
  Duration retry_interval = std::chrono::milliseconds(250);
  // Until the office is probed again after it has refused to be.
  Duration refused_probe_interval = std::chrono::seconds(1);
  // Until the office is dialled after an established connection has ended.
  Duration reconnect_delay = std::chrono::milliseconds(20);
  // Without a message or a new connection for this long, the office's machine counts as gone.
  Duration loss_timeout = std::chrono::milliseconds(5500);
};

class Reachability {
 public:
  enum class DialResult { connected, refused, failed };
  explicit Reachability(ReachabilitySettings settings = {}) : settings_(settings) {}

  // Applies the office's list entry. True: the process at the far end of an open connection has gone or
  // restarted.
  bool update(const ServerEntry& entry);
  void set_calls_established(bool established) { calls_established_ = established; }

  // Dialling has failed. True: the calls established there have ended, since the process has died, or since
  // no message has arrived and no connection has come up for too long. A refusal shows that the process has
  // died only if it ended the last connection; one that this side ended may have made room for another
  // controller, at an office that accepts no more.
  bool dial_failed(DialResult how, Time at);
  // This host lacked the resources to dial (such as descriptors). That tells nothing about the office, and
  // its silence is no evidence either until it could be dialled for as long as usual.
  void dial_impossible(Time at);
  void connected(Time at);
  enum class EndedBy { office, this_side };
  void disconnected(Time at, EndedBy by);
  // No second connection came up since the last message. If the far end then resets the silent connection
  // without another word on it, its machine has restarted: one that is cut off resets nothing, and one whose
  // process lives accepts connections. The calls established on that connection and earlier ones have ended.
  [[nodiscard]] bool was_unreachable() const { return calls_established_ && probe_failed_; }
  void received(Time at);     // any message on the connection
  bool set_up_sent(Time at);  // true: from now on an answer is awaited
  // The result of a probe, which dials a second connection beside a quiet one, and what to do then.
  // `refused`: the office accepts no further connection or its process has died; the quiet connection itself
  // shows which, once the kernel checks that its far end exists.
  enum class ProbeResult { wait, refused, replaced, lost };
  ProbeResult probed(DialResult how, Time at);

  [[nodiscard]] bool ready() const { return ready_; }
  [[nodiscard]] bool gone() const { return gone_; }
  // When to dial; Time::max(): not at all. The arguments tell whether set-ups or releases wait for a
  // connection.
  [[nodiscard]] Time dial_at(bool set_ups_waiting, bool releases_waiting) const;
  // By when a connection dialled at `at` must be up; sooner than `limit` if established calls would count as
  // lost meanwhile.
  [[nodiscard]] Time dial_deadline(Time at, Duration limit) const;
  [[nodiscard]] bool calls_established() const { return calls_established_; }
  [[nodiscard]] Time probe_at() const;  // when to probe an open connection; Time::max(): not at all

 private:
  // When silence without a new connection begins to count as a loss.
  [[nodiscard]] Time loss_at() const {
    return std::max(std::max(received_at_, probe_refused_at_) + settings_.loss_timeout,
                    dial_impossible_at_ + (settings_.loss_timeout - settings_.idle_before_probe));
  }
  ReachabilitySettings settings_;
  std::optional<StartId> start_;
  Time retry_at_{};
  Time received_at_{};
  Time probed_at_{};
  Time dial_impossible_at_{};                  // when this host last lacked the resources to dial
  std::optional<Time> awaiting_answer_since_;  // since when a set-up that was sent has had no message
  bool ready_ = false;
  bool gone_ = false;  // permanently
  bool calls_established_ = false;
  bool probe_failed_ = false;   // since the last message
  bool probe_refused_ = false;  // the latest one
  Time probe_refused_at_{};     // the latest refusal, by which the machine was there
  bool was_connected_ = false;
  EndedBy ended_by_ = EndedBy::office;  // the last connection
  bool dead_ = false;                   // the process has died and no restart has been reported
};

}  // namespace reeltack::membership
