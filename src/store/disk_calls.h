// The calls that a keeper's writing thread makes to the disk, and the look at them from another thread.
//
// Owns: the time of the call that is under way, the thread's being given up, and the order of the reports.
// Must never: wait for a call but on the thread that makes it, or use the owner's functions after that thread
//   has been given up.
//
// Threads: make() on the writing one, watch() on the watching one, the rest from any. `told` is called by one
// thread at a time, with no lock held that any other function here but tell() takes.
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>

#include "store/call_watch.h"
#include "store/keeper_types.h"

namespace reeltack::store {

class DiskCallMonitor {
 public:
  // An event of that kind as things are now, but for the call's duration.
  using MakeEvent = std::function<AsyncStoreEvent(AsyncStoreEvent::Kind)>;
  // `settings` must outlive this.
  DiskCallMonitor(const AsyncStoreSettings& settings, MakeEvent make_event)
      : settings_(settings), make_event_(std::move(make_event)), call_(settings.hang_threshold) {}

  // Makes the call. False where this thread was given up meanwhile: it must end, and use nothing of the
  // owner's.
  [[nodiscard]] bool make(const std::function<void()>& call);
  void watch();  // until stop_watching()
  void stop_watching();
  // Gives the writing thread up, which is reported; false while it is in no call.
  [[nodiscard]] bool give_up();
  void tell(const AsyncStoreEvent& event);
  [[nodiscard]] bool hanging() const;

 private:
  void look();
  void report(AsyncStoreEvent::Kind kind, DiskCallTimer::Span lasted);

  const AsyncStoreSettings& settings_;
  const MakeEvent make_event_;
  std::mutex telling_;  // taken before mutex_, and held while `told` runs
  mutable std::mutex mutex_;
  std::condition_variable call_began_, watch_ends_;
  DiskCallTimer call_;
  bool stopping_ = false;
  bool given_up_ = false;
};

}  // namespace reeltack::store
