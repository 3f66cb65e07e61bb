// Runs the calls that the writing thread makes to the disk, and monitors their duration from another
// thread.
//
// Waits for a call only on the thread that makes it. After abandon() has given up the writing thread,
// no callback is used on its behalf.
//
// Thread safety: run_call() runs on the writing thread, watch() on the watching one, all others on any.
// `on_event` is called by one thread at a time, and without any lock that a function other than
// report_event() takes.
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>

#include "store/async_store_types.h"
#include "store/disk_call_timer.h"

namespace reeltack::store {

class DiskCallMonitor {
 public:
  // Creates an event of that kind from the current state, without the duration of the call.
  using MakeEvent = std::function<AsyncStoreEvent(AsyncStoreEvent::Kind)>;
  // `settings` must outlive this.
  DiskCallMonitor(const AsyncStoreSettings& settings, MakeEvent make_event)
      : settings_(settings), make_event_(std::move(make_event)), call_(settings.hang_threshold) {}

  // Runs the call. False if this thread was abandoned meanwhile: it must then end without using
  // anything of the owner.
  [[nodiscard]] bool run_call(const std::function<void()>& call);
  void watch();  // until stop_watching()
  void stop_watching();
  // Abandons the writing thread and reports that; false if it is not in a call.
  [[nodiscard]] bool abandon();
  void report_event(const AsyncStoreEvent& event);
  [[nodiscard]] bool hanging() const;

 private:
  void check_duration();
  void report(AsyncStoreEvent::Kind kind, DiskCallTimer::Span lasted);

  const AsyncStoreSettings& settings_;
  const MakeEvent make_event_;
  std::mutex reporting_;  // acquired before mutex_ and held while `on_event` runs
  mutable std::mutex mutex_;
  std::condition_variable call_began_, watch_ends_;
  DiskCallTimer call_;
  bool stopping_ = false;
  bool abandoned_ = false;
};

}  // namespace reeltack::store
