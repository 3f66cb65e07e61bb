// The writing thread of the asynchronous store.
#include "store/writer.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/boot_clock.h"
#include "base/wall_clock.h"

namespace reeltack::store {
namespace {

using std::chrono::milliseconds;
constexpr milliseconds kCallPollInterval{10};

WriteResult no_store(const OpenResult& opened) {
  return {opened.how == OpenResult::How::refused ? ErrorCode::locked : ErrorCode::io, opened.reason};
}

}  // namespace

Writer::Writer(StoreSettings store, OpenResult&& opened, AsyncStoreSettings settings)
    : store_settings_(std::move(store)),
      settings_(std::move(settings)),
      store_(std::move(opened.store)),
      opened_before_(store_ != nullptr),
      no_store_(no_store(opened)),
      queue_(settings_.max_bytes, settings_.max_keys),
      report_(settings_.first_reminder, settings_.last_reminder),
      calls_(settings_, [this](AsyncStoreEvent::Kind kind) {
        const std::lock_guard lock(mutex_);
        return event(kind);
      }) {}

void Writer::run() {
  milliseconds wait{0};
  if (store_ == nullptr) {
    wait = settings_.first_retry;
    std::unique_lock lock(mutex_);
    const auto event_to_report = failed(no_store_.code, no_store_.text);
    lock.unlock();
    report_event(event_to_report);
  }
  for (bool last = false; !last;) {
    last = wait_for_work(wait);
    const Outcome outcome = attempt();
    if (outcome == Outcome::abandoned) return;
    wait = outcome == Outcome::done ? milliseconds{0}
                                    : std::clamp(wait * 2, settings_.first_retry, settings_.last_retry);
  }
  if (!calls_.run_call([this] { store_.reset(); })) return;
  const std::lock_guard lock(mutex_);
  run_ended_ = true;
  ended_.notify_all();
}

// Waits for the retry delay or a new change; true if the writer is stopping.
bool Writer::wait_for_work(milliseconds wait) {
  std::unique_lock lock(mutex_);
  if (wait.count() > 0) {
    work_.wait_for(lock, wait, [this] { return stopping_; });
  } else {
    work_.wait(lock, [this] { return stopping_ || queue_.has_new(); });
  }
  return stopping_;
}

Writer::Outcome Writer::attempt() {
  if (store_ == nullptr) {
    if (const Outcome opened = open_store(); opened != Outcome::done) return opened;
  }
  return write_batch();
}

Writer::Outcome Writer::open_store() {
  OpenResult opened;
  if (!calls_.run_call([&] { opened = Store::open(store_settings_); })) return Outcome::abandoned;
  store_ = std::move(opened.store);
  if (store_ != nullptr) {
    on_opened(opened);
    return Outcome::done;
  }
  std::unique_lock lock(mutex_);
  const auto event_to_report = failed(no_store(opened).code, opened.reason);
  lock.unlock();
  report_event(event_to_report);
  return Outcome::failed;
}

void Writer::on_opened(const OpenResult& opened) {
  io_failures_ = 0;
  if (!opened_before_ && settings_.on_records_found) settings_.on_records_found(opened.records);
  opened_before_ = true;
  std::unique_lock lock(mutex_);
  queue_.restore(opened.records, store_settings_.fleet, store_settings_.owner);
  const bool report_opening = opened.how != OpenResult::How::opened || !opening_reported_;
  opening_reported_ = true;
  if (!report_opening) return;
  AsyncStoreEvent event = this->event(AsyncStoreEvent::Kind::opened);
  lock.unlock();
  event.how = opened.how;
  event.text = opened.reason;
  event.aside_path = opened.aside_path;
  report_event(event);
}

Writer::Outcome Writer::write_batch() {
  std::unique_lock lock(mutex_);
  std::vector<Change> batch = queue_.take_pending();
  lock.unlock();
  if (batch.empty()) return Outcome::done;
  BatchSplit parts = store_->divide(std::move(batch));
  WriteResult written;
  const bool returned = calls_.run_call([&] {
    if (!parts.fits.empty()) written = store_->write(parts.fits, base::wall_now(), base::boot_now());
    io_failures_ = written.code == ErrorCode::io ? io_failures_ + 1 : 0;
    if (written.code == ErrorCode::damaged || io_failures_ >= kReopenAfter) store_.reset();
  });
  if (!returned) return Outcome::abandoned;
  return on_written(written, std::move(parts));
}

// Changes deferred by the limit on records wait for another change, not for a delay: only an erasure
// makes room.
Writer::Outcome Writer::on_written(const WriteResult& written, BatchSplit&& parts) {
  std::optional<AsyncStoreEvent> event_to_report;
  std::unique_lock lock(mutex_);
  if (!written.ok()) {
    if (written.code == ErrorCode::damaged) queue_.mark_lost();
    std::move(parts.deferred.begin(), parts.deferred.end(), std::back_inserter(parts.fits));
    queue_.finish_batch(std::move(parts.fits));
    event_to_report = failed(written.code, written.text);
  } else {
    if (!parts.fits.empty()) ++counts_.batches;
    counts_.written += parts.fits.size();
    const bool all_written = parts.deferred.empty();
    queue_.finish_batch(std::move(parts.deferred));
    event_to_report = all_written ? recovered() : failed(ErrorCode::full, over_bound());
  }
  lock.unlock();
  done_.notify_all();
  report_event(event_to_report);
  return written.ok() ? Outcome::done : Outcome::failed;
}

std::string Writer::over_bound() const {
  return store_->file() + ": over its bound of " + std::to_string(store_settings_.max_records) + " records";
}

// Called with the lock held. Returns the event that reports this failure, if it is to be reported.
std::optional<AsyncStoreEvent> Writer::failed(ErrorCode code, const std::string& text) {
  ++counts_.failures;
  counts_.failing = true;
  const auto kind = report_.failed(code, settings_.clock());
  if (!kind) return std::nullopt;
  AsyncStoreEvent out = event(*kind);
  out.code = code;
  out.text = text;
  return out;
}

// Called with the lock held when the whole batch is durable.
std::optional<AsyncStoreEvent> Writer::recovered() {
  std::optional<AsyncStoreEvent> event_to_report;
  if (report_.on()) event_to_report = event(AsyncStoreEvent::Kind::written);
  counts_.failing = false;
  opening_reported_ = false;
  report_.ended();
  return event_to_report;
}

void Writer::report_event(const std::optional<AsyncStoreEvent>& event) {
  if (event) calls_.report_event(*event);
}

// Called with the lock held.
AsyncStoreEvent Writer::event(AsyncStoreEvent::Kind kind) const {
  AsyncStoreEvent out = report_.event(kind, settings_.clock());
  out.waiting = queue_.waiting();
  return out;
}

bool Writer::stop() {
  calls_.stop_watching();
  std::unique_lock lock(mutex_);
  stopping_ = true;
  work_.notify_all();
  if (ended_.wait_for(lock, settings_.shutdown_timeout, [this] { return run_ended_; })) return true;
  // abandon() fails between two calls; the writing thread will soon be in the next one, or finished.
  while (!run_ended_) {
    lock.unlock();
    if (calls_.abandon()) return false;
    lock.lock();
    ended_.wait_for(lock, kCallPollInterval, [this] { return run_ended_; });
  }
  return true;
}

void Writer::forget_owner() {
  settings_.on_event = nullptr;
  settings_.on_records_found = nullptr;
  settings_.clock = nullptr;
}

std::uint64_t Writer::put(const std::string& key, std::optional<std::string> value) {
  std::uint64_t number = 0;
  {
    const std::lock_guard lock(mutex_);
    number = queue_.put(key, std::move(value));
  }
  if (number != 0) work_.notify_one();
  return number;
}

void Writer::remember(const std::string& key, std::string value) {
  const std::lock_guard lock(mutex_);
  queue_.remember(key, std::move(value));
}

std::uint64_t Writer::durable_up_to() const {
  const std::lock_guard lock(mutex_);
  return queue_.durable_up_to();
}

bool Writer::is_durable(const std::string& key, std::uint64_t number) const {
  const std::lock_guard lock(mutex_);
  return queue_.is_durable(key, number);
}

bool Writer::flush(milliseconds within) {
  std::unique_lock lock(mutex_);
  const std::uint64_t number = queue_.last_number();
  return done_.wait_for(lock, within, [&] { return queue_.durable_up_to() >= number; });
}

AsyncStoreCounts Writer::counts() const {
  const std::lock_guard lock(mutex_);
  const QueueCounts& queue = queue_.counts();
  AsyncStoreCounts out = counts_;
  out.taken = queue.taken;
  out.coalesced = queue.coalesced;
  out.refused = queue.refused;
  out.waiting = queue_.waiting();
  out.failing = counts_.failing || calls_.hanging();
  return out;
}

}  // namespace reeltack::store
