// The releases sent on one connection that the far end may not have read; they are sent again once it has
// ended.
//
// A release is sent once and need not be answered, and TCP does not tell what the far end has read: a release
// that crosses the end of its connection, or is sent on a connection that has been cut off, is lost silently.
// Sending it twice does no harm: an office that has read it no longer knows the call.
//
// Performs no I/O and reads no clock; holds no calls and does not choose the connection on which a release is
// sent again. Times are absolute and given by the caller. Deterministic. Bounded: beyond `max_size` the
// oldest entry is discarded. Not thread-safe: its owner calls it under the owner's lock.
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "reeltack/controller.h"

namespace reeltack::membership {

struct PendingReleasesSettings {
  // A release sent this long before a message of the far end arrived has been read before that message was
  // sent.
  Duration in_transit = std::chrono::seconds(1);
  // The age at which a release counts as read without any message of the far end; max: never, for a far end
  // that may be cut off.
  Duration assume_read_after = Duration::max();
  std::size_t max_size = 1024;
};

class PendingReleases {
 public:
  explicit PendingReleases(PendingReleasesSettings settings = {}) : settings_(settings) {}

  // Whether the far end may still report the end of an earlier attempt of the call.
  enum class EarlierAttempt { ended, open };
  void add(CallId call, std::string text, Time at, EarlierAttempt earlier = EarlierAttempt::ended);
  // The far end has confirmed this release, or it must not be sent again. False: none was pending.
  bool acknowledge(CallId call);
  // The far end has reported an end of the call, which confirms the release unless it may be that of an
  // earlier attempt.
  void end_reported(CallId call);
  void peer_active(Time at);  // any message of the far end has arrived
  // The connection has ended: removes all entries and returns those to send again, in order.
  [[nodiscard]] std::vector<std::pair<CallId, std::string>> take_after_disconnect(Time at);
  // The same where the far end has not read: returns all, whatever their age.
  [[nodiscard]] std::vector<std::pair<CallId, std::string>> take_all();
  void clear() { pending_.clear(); }  // the far end has gone, and its calls with it
  [[nodiscard]] std::size_t size() const { return pending_.size(); }

 private:
  struct Entry {
    CallId call{};
    std::string text;
    Time at{};
    EarlierAttempt earlier{};
  };
  PendingReleasesSettings settings_;
  std::deque<Entry> pending_;  // ordered by time
};

}  // namespace reeltack::membership
