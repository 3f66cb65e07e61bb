#include "fleet/service/keeping.h"

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

constexpr auto kFirstKept =
    500ms;  // the own incarnation is durable before anybody is told of it, or it is said

constexpr Duration kLookAgain = 10ms;          // while the store is at work
constexpr Duration kLookAgainFailing = 250ms;  // while it cannot be written

bool is_promise(const std::string& key) {
  return key == kIncarnationKey || key == drift::kVoteRecord || key == drift::kHeldRecord ||
         key == drift::kApprovedRecord;
}

Incarnation number_of(const std::string& text) {
  Incarnation out = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
  return error == std::errc{} && end == text.data() + text.size() ? out : 0;
}

}  // namespace

FleetStorage::FleetStorage(const config::Controllers& settings, const std::string& owner, Say say)
    : fleet_(settings.fleet), owner_(owner), say_(std::move(say)) {
  Moment now{base::wall_now(), base::boot_now()};
  now.wall += settings.wall_offset;
  now.since_boot.since_boot += settings.wall_offset;
  // Above what any earlier start has taken, where neither a store nor another member knows of it.
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
  store::Opened opened = store::open_or_read(where);
  if (opened.how == store::Opened::How::refused) throw std::runtime_error(opened.why);
  read(opened.kept, now);
  say_("store", std::string("dir=\"") + settings.store + "\" how=" + std::string(store::name(opened.how)) +
                    " records=" + std::to_string(opened.kept.size()) + " foreign=" +
                    std::to_string(opened.foreign) + " incarnation=" + std::to_string(incarnation_) +
                    (opened.why.empty() ? "" : " why=\"" + opened.why + "\"") +
                    (opened.where.empty() ? "" : " aside=\"" + opened.where + "\""));
  store::KeeperSettings keeper;
  keeper.told = [say = say_](const store::KeeperEvent& event) { say("store", to_text(event)); };
  keeper.found = [this](const std::vector<store::Kept>& records) {
    const std::lock_guard lock(late_mutex_);
    late_ = records;
  };
  unread_ = opened.store == nullptr;
  const std::vector<store::Kept> found = std::move(opened.kept);
  keeper_ = std::make_unique<store::Keeper>(where, std::move(opened), std::move(keeper));
  for (const store::Kept& r : found)
    if (is_promise(r.key) && r.fleet == fleet_ && r.owner == owner_) keeper_->remember(r.key, r.value);
  put(Store{kIncarnationKey, std::to_string(incarnation_), std::nullopt});
  asked_ = 0;
  asked_since_.reset();
  if (!keeper_->flush(kFirstKept) || !incarnation_is_durable())
    say_("store", "durable=no incarnation=" + std::to_string(incarnation_) +
                      " text=\"used all the same; it is written as soon as the store can be\"");
}

// A copied disk tells of another controller: what it says of offices counts as the oldest, its numbers not.
void FleetStorage::read(const std::vector<store::Kept>& records, const Moment& now) {
  bool other_fleet = false;
  std::vector<recovery::Record> out;
  for (const store::Kept& r : records) {
    const bool own = r.fleet == fleet_ && r.owner == owner_;
    other_fleet = other_fleet || r.fleet != fleet_;
    recovery::Record record{r.key, r.value, std::nullopt};
    if (own) record.age = clocks::elapsed(r.written_since_boot, now.since_boot);
    if (own && r.written_at <= now.wall) record.wall_clock_age = now.wall - r.written_at;
    if (r.key == kIncarnationKey && own) incarnation_ = std::max(incarnation_, number_of(r.value) + 1);
    if (r.key == kMembersKey && r.fleet == fleet_) members_ = parse_members(r.value);
    if (r.key == drift::kVoteRecord && own) rules_.vote = r.value;
    if (r.key == drift::kHeldRecord && own) rules_.held = r.value;
    if (r.key == drift::kApprovedRecord && r.fleet == fleet_) rules_.approved = r.value;
    out.push_back(std::move(record));
  }
  if (other_fleet) members_.clear();
  kept_ = recovery::read_stored_state(out, other_fleet);
}

void FleetStorage::put(const Store& what) {
  if (what.vote) {
    vote_ = what.vote;
    vote_change_ = 0;
  }
  if (what.key == drift::kHeldRecord) held_change_ = 0;
  if (what.key == kIncarnationKey) {
    asked_ = number_of(what.value);
    asked_since_.reset();
    change_ = 0;
  }
  if (!keeper_) return;
  if (!is_promise(what.key)) {
    keeper_->put(what.key, what.value);
    return;
  }
  pending_.insert_or_assign(what.key, what);
  hand_over();
}

// What the keeper refuses (its queue is full) stays pending, and what the store may hold already is not
// written over before it has been read.
void FleetStorage::hand_over() {
  take_late();
  if (unread_) return;
  for (auto at = pending_.begin(); at != pending_.end();) {
    const Store& promise = at->second;
    if (!stands_against(promise)) {
      const bool own = promise.key == kIncarnationKey;
      const Incarnation to = own ? std::max(number_of(promise.value), earlier_incarnation_) : 0;
      const std::uint64_t change = keeper_->put(promise.key, own ? std::to_string(to) : promise.value);
      if (change == 0) return;
      if (promise.vote) vote_change_ = change;
      if (own) change_ = change;
      if (promise.key == drift::kHeldRecord) held_change_ = change;
    } else if (promise.vote) {
      vote_.reset();
      say_("store", "vote=none epoch=" + std::to_string(promise.vote->vote.epoch) +
                        " text=\"an earlier life has voted in this epoch already\"");
    }
    at = pending_.erase(at);
  }
}

// An earlier life's vote or approved version, found late, holds against one of the same epoch or a lower one.
bool FleetStorage::stands_against(const Store& promise) const {
  if (promise.vote) return promise.vote->vote.epoch <= earlier_.vote.epoch;
  const bool held = promise.key == drift::kHeldRecord;
  if (!held && promise.key != drift::kApprovedRecord) return false;
  const auto version = drift::read_version(promise.value);
  return version && version->epoch <= (held ? earlier_.vote.epoch : earlier_.approved.epoch);
}

void FleetStorage::take_late() {
  if (!unread_) return;
  std::optional<std::vector<store::Kept>> found;
  {
    const std::lock_guard lock(late_mutex_);
    found = std::exchange(late_, std::nullopt);
  }
  if (!found) return;
  unread_ = false;
  resolve(*found);
}

void FleetStorage::resolve(const std::vector<store::Kept>& found) {
  for (const store::Kept& r : found) {
    if (r.fleet != fleet_ || r.owner != owner_ || !is_promise(r.key)) continue;
    keeper_->remember(r.key, r.value);
    if (r.key == drift::kVoteRecord) earlier_.vote = drift::read_vote(r.value).value_or(drift::Vote{}).vote;
    if (r.key == drift::kApprovedRecord)
      if (const auto version = drift::read_version(r.value)) earlier_.approved = name_of(*version);
    if (r.key == kIncarnationKey) earlier_incarnation_ = number_of(r.value);
  }
}

bool FleetStorage::incarnation_is_durable() const { return keeper_->is_durable(kIncarnationKey, change_); }

// A vote is worth what the version is that it is for. Records of other keys may wait for room in the store.
bool FleetStorage::vote_is_durable() const {
  const bool held = held_change_ == 0 || keeper_->is_durable(drift::kHeldRecord, held_change_);
  return held && keeper_->is_durable(drift::kVoteRecord, vote_change_);
}

std::optional<drift::Vote> FleetStorage::take_durable_vote() {
  if (!vote_ || !keeper_) return std::nullopt;
  hand_over();
  if (!vote_ || !vote_is_durable()) return std::nullopt;
  return std::exchange(vote_, std::nullopt);
}

std::optional<Incarnation> FleetStorage::take_durable_incarnation(Time now) {
  if (asked_ == 0) return std::nullopt;
  // Where nothing is kept there is nothing to wait for: the next start takes a higher one by the clock.
  if (!keeper_) return std::exchange(asked_, 0);
  hand_over();
  if (!asked_since_) asked_since_ = now;
  if (!incarnation_is_durable()) {
    if (now - *asked_since_ < kMaxDurabilityWait) return std::nullopt;
    say_("store", "durable=no incarnation=" + std::to_string(asked_) +
                      " text=\"used all the same; it is written as soon as the store can be\"");
  }
  return std::exchange(asked_, 0);
}

std::optional<Duration> FleetStorage::retry_interval() const {
  if (asked_ == 0 && (!keeper_ || (!vote_ && pending_.empty()))) return std::nullopt;
  return keeper_ && keeper_->counts().failing ? kLookAgainFailing : kLookAgain;
}

void FleetStorage::flush(std::chrono::milliseconds within) {
  if (keeper_) static_cast<void>(keeper_->flush(within));
}

store::KeeperCounts FleetStorage::counts() const {
  return keeper_ ? keeper_->counts() : store::KeeperCounts{};
}

}  // namespace reeltack::fleet
