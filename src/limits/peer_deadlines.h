// Timeouts of one accepted peer: for its first message, for each message it has begun, for reading our
// answers, and for silence.
//
// Performs no I/O and reads no clock; does not interpret messages. Times are absolute, given by the caller,
// and must not go back. Deterministic; allocates nothing. Not thread-safe: one owner calls it from one
// thread.
#pragma once

#include <optional>

#include "reeltack/controller.h"

namespace reeltack::limits {

struct PeerTimeoutSettings {
  // From a message's first byte to its last; also from the connection to the first byte of the first message.
  Duration message = std::chrono::seconds(2);
  // With so much unread output that nothing more is read from the peer.
  Duration unread_output = std::chrono::seconds(2);
  Duration idle = Duration::max();  // of silence before the peer is probed; max: never
};

enum class PeerTimeout { message, unread_output, idle };

class PeerDeadlines {
 public:
  PeerDeadlines(PeerTimeoutSettings settings, Time connected)
      : settings_(settings), message_since_(connected), idle_since_(connected) {}

  void received(Time at);               // bytes arrived; called before messages are extracted from them
  void message_completed(Time at);      // a message was extracted
  void set_partial_message(bool some);  // whether bytes of a further message are left
  void set_output_blocked(bool blocked, Time at);
  void probed(Time at) { idle_since_ = at; }  // the peer was probed after a silence
  void set_idle_limit(Duration idle) { settings_.idle = idle; }

  [[nodiscard]] bool served() const { return served_; }  // a complete message has arrived
  [[nodiscard]] bool has_partial_message() const { return partial_message_; }
  // The timeout that has expired at `at`. While output is unread nothing is read from the peer, so the
  // message timeout does not apply then.
  [[nodiscard]] std::optional<PeerTimeout> expired(Time at) const;
  [[nodiscard]] Time next_expiry() const;  // when the next timeout expires; Time::max(): never

 private:
  [[nodiscard]] Time message_expiry() const;
  [[nodiscard]] Time idle_expiry() const;
  PeerTimeoutSettings settings_;
  Time message_since_;  // start of the message being received, or of the connection
  Time idle_since_;     // last activity or probe
  std::optional<Time> output_blocked_since_;
  bool served_ = false;
  bool partial_message_ = false;
};

}  // namespace reeltack::limits
