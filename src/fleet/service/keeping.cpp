#include "fleet/service/keeping.h"

#include <charconv>
#include <stdexcept>
#include <utility>

#include "base/wall_clock.h"
#include "fleet/recovery/values.h"

namespace reeltack::fleet {
namespace {

using namespace std::chrono_literals;

constexpr auto kFirstKept =
    500ms;  // the own incarnation is durable before anybody is told of it, or it is said

const char* text_of(store::Opened::How how) {
  switch (how) {
    case store::Opened::How::fresh:
      return "fresh";
    case store::Opened::How::opened:
      return "opened";
    case store::Opened::How::set_aside:
      return "set_aside";
    case store::Opened::How::refused:
      return "refused";
    case store::Opened::How::failed:
      break;
  }
  return "failed";
}

Incarnation number_of(const std::string& text) {
  Incarnation out = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
  return error == std::errc{} && end == text.data() + text.size() ? out : 0;
}

}  // namespace

Keeping::Keeping(const config::Controllers& settings, const std::string& owner, Say say)
    : fleet_(settings.fleet), owner_(owner), say_(std::move(say)) {
  const base::WallTime wall = base::wall_now() + settings.wall_offset;
  // Above what any earlier start has taken, where neither a store nor another member knows of it.
  incarnation_ = static_cast<Incarnation>(std::max<std::int64_t>(
      1, std::chrono::duration_cast<std::chrono::seconds>(wall.time_since_epoch()).count()));
  if (settings.store.empty()) return;
  store::StoreSettings where;
  where.dir = settings.store;
  where.fleet = fleet_;
  where.owner = owner_;
  store::Opened opened = store::Store::open(where);
  if (opened.how == store::Opened::How::refused) throw std::runtime_error(opened.why);
  read(opened.kept, wall);
  say_("store", std::string("dir=\"") + settings.store + "\" how=" + text_of(opened.how) + " records=" +
                    std::to_string(opened.kept.size()) + " foreign=" + std::to_string(opened.foreign) +
                    " incarnation=" + std::to_string(incarnation_) +
                    (opened.why.empty() ? "" : " why=\"" + opened.why + "\"") +
                    (opened.where.empty() ? "" : " aside=\"" + opened.where + "\""));
  store::KeeperSettings keeper;
  keeper.told = [say = say_](const store::KeeperEvent& event) {
    say("store", "event=" + std::to_string(static_cast<int>(event.kind)) +
                     " why=" + std::string(store::name(event.why)) + " text=\"" + event.text + "\"");
  };
  keeper_ = std::make_unique<store::Keeper>(where, std::move(opened), std::move(keeper));
  keeper_->put(kIncarnationKey, std::to_string(incarnation_));
  if (!keeper_->flush(kFirstKept)) say_("store", "why=late text=\"the own incarnation is not durable yet\"");
}

// A copied disk tells of another controller: what it says of offices counts as the oldest, its numbers not.
void Keeping::read(const std::vector<store::Kept>& records, base::WallTime wall) {
  bool other_fleet = false;
  std::vector<recovery::Record> out;
  for (const store::Kept& r : records) {
    const bool own = r.fleet == fleet_ && r.owner == owner_;
    other_fleet = other_fleet || r.fleet != fleet_;
    std::optional<Duration> age;
    if (own && r.written_at <= wall) age = wall - r.written_at;
    if (r.key == kIncarnationKey && own) incarnation_ = std::max(incarnation_, number_of(r.value) + 1);
    if (r.key == kMembersKey && r.fleet == fleet_) members_ = read_members(r.value);
    if (r.key == drift::kVoteRecord && own) rules_.vote = r.value;
    if (r.key == drift::kHeldRecord && own) rules_.held = r.value;
    if (r.key == drift::kApprovedRecord && r.fleet == fleet_) rules_.approved = r.value;
    out.push_back({r.key, r.value, age});
  }
  if (other_fleet) members_.clear();
  kept_ = recovery::read_kept(out, other_fleet);
}

void Keeping::put(const Store& what) {
  const std::uint64_t change = keeper_ ? keeper_->put(what.key, what.value) : 0;
  if (what.vote) {
    vote_ = what.vote;
    vote_change_ = change;
  }
  if (what.key != kIncarnationKey) return;
  asked_ = number_of(what.value);
  change_ = change;
}

std::optional<drift::Vote> Keeping::vote_lasts() {
  if (!vote_ || !keeper_ || vote_change_ == 0 || keeper_->kept() < vote_change_) return std::nullopt;
  return std::exchange(vote_, std::nullopt);
}

std::optional<Incarnation> Keeping::became_durable() {
  if (asked_ == 0) return std::nullopt;
  // Where nothing is kept there is nothing to wait for: the next start takes a higher one by the clock.
  if (keeper_ && change_ != 0 && keeper_->kept() < change_) return std::nullopt;
  return std::exchange(asked_, 0);
}

void Keeping::flush(std::chrono::milliseconds within) {
  if (keeper_) static_cast<void>(keeper_->flush(within));
}

store::KeeperCounts Keeping::counts() const { return keeper_ ? keeper_->counts() : store::KeeperCounts{}; }

}  // namespace reeltack::fleet
