// The interface of the decision module.
//
// One Controller decides for one gateway. The gateway reports events in the order in which they happen, and
// carries out the actions that the Controller appends, at once and in order.
//
// Ownership: the Controller copies what it needs, so events and settings need not outlive the call. The sink
//   belongs to the caller; the Controller appends to it, never reads it and keeps no reference to it.
// Clock: the Controller reads no clock. Each call passes the gateway's own time, which must never go
// backwards. Randomness: comes from the seed alone. Equal settings, seeds and events give equal actions.
// Threads: a Controller may be used by one thread at a time. Controllers share no state.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>

#include "reeltack/actions.h"
#include "reeltack/events.h"
#include "reeltack/settings.h"

namespace reeltack {

class Controller {
 public:
  Controller(const Settings& settings, std::uint64_t seed);
  ~Controller();
  Controller(Controller&&) noexcept;
  Controller& operator=(Controller&&) noexcept;
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  /// Handles all events since the previous call, in their order, and appends the resulting actions. Events
  /// of one call are decided on together: a gateway that was paused should report all that it finds waiting
  /// in a single call.
  void on(Time now, std::span<const Event> events, ActionSink& actions);
  /// The same for a single event.
  void on(Time now, const Event& event, ActionSink& actions);

  /// Calls that still wait for this gateway's final answer, whether or not an attempt has been sent. For
  /// supervision and tests.
  [[nodiscard]] std::size_t open_calls() const;

  /// The settings in force, so that a caller can compare them with those requested. They never change.
  [[nodiscard]] const Settings& settings() const;

 private:
  class Policy;
  std::unique_ptr<Policy> policy_;
};

}  // namespace reeltack
