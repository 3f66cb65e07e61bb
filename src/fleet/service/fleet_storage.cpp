// Implementation of FleetStorage.
#include "fleet/service/fleet_storage.h"

#include <charconv>
#include <stdexcept>
#include <utility>

#include "base/boot_clock.h"
#include "base/wall_clock.h"
#include "fleet/recovery/values.h"
#include "store/read_only.h"

namespace reeltack::fleet {
namespace {

using namespace std::chrono_literals;

// How long a start waits for its own incarnation to become durable before other members learn of it. After
// that the start goes on and logs that the incarnation is not durable.
constexpr auto kInitialWriteTimeout = 500ms;

constexpr Duration kRetryInterval = 10ms;          // while the store works
constexpr Duration kFailingRetryInterval = 250ms;  // while it cannot be written

bool is_promise(const std::string& key) {
  return key == kIncarnationKey || key == drift::kVoteRecord || key == drift::kHeldRecord ||
         key == drift::kApprovedRecord;
}

Incarnation parse_incarnation(const std::string& text) {
  Incarnation out = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
  return error == std::errc{} && end == text.data() + text.size() ? out : 0;
}

}  // namespace

FleetStorage::FleetStorage(const config::Controllers& settings, const std::string& owner, LogEvent log_event)
    : fleet_(settings.fleet), owner_(owner), log_event_(std::move(log_event)) {
  Moment now{base::wall_now(), base::boot_now()};
  now.wall += settings.wall_offset;
  now.since_boot.since_boot += settings.wall_offset;
  // Seconds of the wall clock: higher than the incarnation of any earlier run even if neither the store nor
  // another member knows that one.
  incarnation_ = static_cast<Incarnation>(std::max<std::int64_t>(
      1, std::chrono::duration_cast<std::chrono::seconds>(now.wall.time_since_epoch()).count()));
  if (settings.store.empty()) return;
  open(settings, now);
}

void FleetStorage::open(const config::Controllers& settings, const Moment& now) {
  store::StoreSettings where;
  where.dir = settings.store;
  where.fleet = fleet_;
  where.owner = owner_;
  store::OpenResult opened = store::open_or_read(where);
  if (opened.how == store::OpenResult::How::refused) throw std::runtime_error(opened.reason);
  read(opened.records, now);
  log_event_("store", std::string("dir=\"") + settings.store +
                          "\" how=" + std::string(store::name(opened.how)) +
                          " records=" + std::to_string(opened.records.size()) + " foreign=" +
                          std::to_string(opened.foreign) + " incarnation=" + std::to_string(incarnation_) +
                          (opened.reason.empty() ? "" : " why=\"" + opened.reason + "\"") +
                          (opened.aside_path.empty() ? "" : " aside=\"" + opened.aside_path + "\""));
  store::AsyncStoreSettings store_settings;
  store_settings.on_event = [log_event = log_event_](const store::AsyncStoreEvent& event) {
    log_event("store", to_text(event));
  };
  store_settings.on_records_found = [this](const std::vector<store::StoredRecord>& records) {
    const std::lock_guard lock(late_records_mutex_);
    late_records_ = records;
  };
  store_unread_ = opened.store == nullptr;
  const std::vector<store::StoredRecord> found = std::move(opened.records);
  store_ = std::make_unique<store::AsyncStore>(where, std::move(opened), std::move(store_settings));
  for (const store::StoredRecord& r : found)
    if (is_promise(r.key) && r.fleet == fleet_ && r.owner == owner_) store_->remember(r.key, r.value);
  put(Store{kIncarnationKey, std::to_string(incarnation_), std::nullopt});
  requested_incarnation_ = 0;
  requested_since_.reset();
  if (!store_->flush(kInitialWriteTimeout) || !incarnation_is_durable())
    log_event_("store", "durable=no incarnation=" + std::to_string(incarnation_) +
                            " text=\"used all the same; it is written as soon as the store can be\"");
}

// A disk copied from another controller: its records about offices count as the oldest, its incarnation and
// vote not at all.
void FleetStorage::read(const std::vector<store::StoredRecord>& records, const Moment& now) {
  bool other_fleet = false;
  std::vector<recovery::Record> out;
  for (const store::StoredRecord& r : records) {
    const bool own = r.fleet == fleet_ && r.owner == owner_;
    other_fleet = other_fleet || r.fleet != fleet_;
    recovery::Record record{r.key, r.value, std::nullopt};
    if (own) record.age = clocks::elapsed(r.written_since_boot, now.since_boot);
    if (own && r.written_at <= now.wall) record.wall_clock_age = now.wall - r.written_at;
    if (r.key == kIncarnationKey && own)
      incarnation_ = std::max(incarnation_, parse_incarnation(r.value) + 1);
    if (r.key == kMembersKey && r.fleet == fleet_) known_members_ = parse_members(r.value);
    if (r.key == drift::kVoteRecord && own) rules_.vote = r.value;
    if (r.key == drift::kHeldRecord && own) rules_.held = r.value;
    if (r.key == drift::kApprovedRecord && r.fleet == fleet_) rules_.approved = r.value;
    out.push_back(std::move(record));
  }
  if (other_fleet) known_members_.clear();
  persisted_state_ = recovery::read_stored_state(out, other_fleet);
}

void FleetStorage::put(const Store& what) {
  if (what.vote) {
    pending_vote_ = what.vote;
    vote_change_ = 0;
  }
  if (what.key == drift::kHeldRecord) held_change_ = 0;
  if (what.key == kIncarnationKey) {
    requested_incarnation_ = parse_incarnation(what.value);
    requested_since_.reset();
    incarnation_change_ = 0;
  }
  if (!store_) return;
  if (!is_promise(what.key)) {
    store_->put(what.key, what.value);
    return;
  }
  pending_.insert_or_assign(what.key, what);
  write_pending();
}

// A promise that the store refuses because its queue is full stays pending. Nothing is written before the
// store has been read, because that could overwrite promises of an earlier run.
void FleetStorage::write_pending() {
  read_late_records();
  if (store_unread_) return;
  for (auto at = pending_.begin(); at != pending_.end();) {
    const Store& promise = at->second;
    if (!is_superseded(promise)) {
      const bool own = promise.key == kIncarnationKey;
      const Incarnation to = own ? std::max(parse_incarnation(promise.value), earlier_incarnation_) : 0;
      const std::uint64_t change = store_->put(promise.key, own ? std::to_string(to) : promise.value);
      if (change == 0) return;
      if (promise.vote) vote_change_ = change;
      if (own) incarnation_change_ = change;
      if (promise.key == drift::kHeldRecord) held_change_ = change;
    } else if (promise.vote) {
      pending_vote_.reset();
      log_event_("store", "vote=none epoch=" + std::to_string(promise.vote->vote.epoch) +
                              " text=\"an earlier run has voted in this epoch already\"");
    }
    at = pending_.erase(at);
  }
}

// A vote or approved version of an earlier run that was found late takes precedence over a promise of the
// same or a lower epoch.
bool FleetStorage::is_superseded(const Store& promise) const {
  if (promise.vote) return promise.vote->vote.epoch <= earlier_promises_.vote.epoch;
  const bool held = promise.key == drift::kHeldRecord;
  if (!held && promise.key != drift::kApprovedRecord) return false;
  const auto version = drift::read_version(promise.value);
  return version &&
         version->epoch <= (held ? earlier_promises_.vote.epoch : earlier_promises_.approved.epoch);
}

void FleetStorage::read_late_records() {
  if (!store_unread_) return;
  std::optional<std::vector<store::StoredRecord>> found;
  {
    const std::lock_guard lock(late_records_mutex_);
    found = std::exchange(late_records_, std::nullopt);
  }
  if (!found) return;
  store_unread_ = false;
  apply_earlier_promises(*found);
}

void FleetStorage::apply_earlier_promises(const std::vector<store::StoredRecord>& found) {
  for (const store::StoredRecord& r : found) {
    if (r.fleet != fleet_ || r.owner != owner_ || !is_promise(r.key)) continue;
    store_->remember(r.key, r.value);
    if (r.key == drift::kVoteRecord)
      earlier_promises_.vote = drift::read_vote(r.value).value_or(drift::Vote{}).vote;
    if (r.key == drift::kApprovedRecord)
      if (const auto version = drift::read_version(r.value)) earlier_promises_.approved = id_of(*version);
    if (r.key == kIncarnationKey) earlier_incarnation_ = parse_incarnation(r.value);
  }
}

bool FleetStorage::incarnation_is_durable() const {
  return store_->is_durable(kIncarnationKey, incarnation_change_);
}

// A vote is useless without the version that it is for, so both must be durable. Records of other keys may
// still wait for space in the store.
bool FleetStorage::vote_is_durable() const {
  const bool held = held_change_ == 0 || store_->is_durable(drift::kHeldRecord, held_change_);
  return held && store_->is_durable(drift::kVoteRecord, vote_change_);
}

std::optional<drift::Vote> FleetStorage::take_durable_vote() {
  if (!pending_vote_ || !store_) return std::nullopt;
  write_pending();
  if (!pending_vote_ || !vote_is_durable()) return std::nullopt;
  return std::exchange(pending_vote_, std::nullopt);
}

std::optional<Incarnation> FleetStorage::take_durable_incarnation(Time now) {
  if (requested_incarnation_ == 0) return std::nullopt;
  // Without a store there is nothing to wait for: the next run takes a higher incarnation from the clock.
  if (!store_) return std::exchange(requested_incarnation_, 0);
  write_pending();
  if (!requested_since_) requested_since_ = now;
  if (!incarnation_is_durable()) {
    if (now - *requested_since_ < kMaxDurabilityWait) return std::nullopt;
    log_event_("store", "durable=no incarnation=" + std::to_string(requested_incarnation_) +
                            " text=\"used all the same; it is written as soon as the store can be\"");
  }
  return std::exchange(requested_incarnation_, 0);
}

std::optional<Duration> FleetStorage::retry_interval() const {
  if (requested_incarnation_ == 0 && (!store_ || (!pending_vote_ && pending_.empty()))) return std::nullopt;
  return store_ && store_->counts().failing ? kFailingRetryInterval : kRetryInterval;
}

void FleetStorage::flush(std::chrono::milliseconds within) {
  if (store_) static_cast<void>(store_->flush(within));
}

store::AsyncStoreCounts FleetStorage::counts() const {
  return store_ ? store_->counts() : store::AsyncStoreCounts{};
}

}  // namespace reeltack::fleet
