// Disk calls and their supervision.
#include "store/disk_call_monitor.h"

namespace reeltack::store {

using std::chrono::milliseconds;

bool DiskCallMonitor::run_call(const std::function<void()>& call) {
  {
    const std::lock_guard lock(mutex_);
    call_.begin(settings_.clock());
  }
  call_began_.notify_all();
  call();
  const std::lock_guard reporting(reporting_);
  std::unique_lock lock(mutex_);
  if (abandoned_) return false;
  const auto reported = call_.end(settings_.clock());
  lock.unlock();
  if (reported) report(AsyncStoreEvent::Kind::returned, *reported);
  return true;
}

void DiskCallMonitor::watch() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    call_began_.wait(lock, [this] { return stopping_ || call_.under_way(); });
    lock.unlock();
    check_duration();
    lock.lock();
    watch_ends_.wait_for(lock, settings_.watch_interval, [this] { return stopping_; });
  }
}

// Holding `reporting_` throughout ensures that the hang is reported before its end.
void DiskCallMonitor::check_duration() {
  const std::lock_guard reporting(reporting_);
  std::unique_lock lock(mutex_);
  const auto now = settings_.clock();
  if (!call_.hangs(now)) return;
  const DiskCallTimer::Span lasted = call_.lasted(now);
  lock.unlock();
  report(AsyncStoreEvent::Kind::hanging, lasted);
}

void DiskCallMonitor::stop_watching() {
  const std::lock_guard lock(mutex_);
  stopping_ = true;
  call_began_.notify_all();
  watch_ends_.notify_all();
}

bool DiskCallMonitor::abandon() {
  const std::lock_guard reporting(reporting_);
  std::unique_lock lock(mutex_);
  if (!call_.under_way()) return false;
  abandoned_ = true;
  const DiskCallTimer::Span lasted = call_.lasted(settings_.clock());
  lock.unlock();
  report(AsyncStoreEvent::Kind::abandoned, lasted);
  return true;
}

void DiskCallMonitor::report_event(const AsyncStoreEvent& event) {
  const std::lock_guard reporting(reporting_);
  if (settings_.on_event) settings_.on_event(event);
}

// Called with `reporting_` held.
void DiskCallMonitor::report(AsyncStoreEvent::Kind kind, DiskCallTimer::Span lasted) {
  AsyncStoreEvent event = make_event_(kind);
  event.lasted = std::chrono::duration_cast<milliseconds>(lasted);
  if (settings_.on_event) settings_.on_event(event);
}

bool DiskCallMonitor::hanging() const {
  const std::lock_guard lock(mutex_);
  return call_.reported();
}

}  // namespace reeltack::store
