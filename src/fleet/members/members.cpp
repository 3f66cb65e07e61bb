// The public functions of Members, and its invariants.
#include "fleet/members/members.h"

#include <stdexcept>
#include <string>

#include "fleet/members/state.h"

namespace reeltack::fleet::members {

Members::Members(const MembersSettings& settings, const Self& self, std::span<const Endpoint> seeds,
                 std::uint64_t seed)
    : state_(std::make_unique<State>(settings, self, seeds, seed)) {}
Members::~Members() = default;
Members::Members(Members&&) noexcept = default;
Members& Members::operator=(Members&&) noexcept = default;

void Members::begin(Time now, Actions& actions) {
  State& s = *state_;
  if (s.started) return;
  s.started = true;
  s.started_at = now;
  for (auto& [id, m] : s.table) m.health_since = now;
  s.raise_incarnation(s.self.incarnation - 1, actions);
  s.join_at = now;
  const auto span = static_cast<std::size_t>(std::max<Duration::rep>(1, s.settings.period.count()));
  s.period_end = now + Duration(static_cast<Duration::rep>(s.random.below(span)));
}

// Recorded under incarnation 0, so that their first message brings them back whatever its incarnation.
void Members::restore(std::span<const Update> stored) {
  State& s = *state_;
  for (const Update& u : stored) {
    if (u.member == s.self.id || u.member == MemberId{} || u.at.port == 0 || u.at.address == 0) continue;
    if (u.name.size() > kMaxNameBytes || u.zone.size() > kMaxZoneBytes) continue;
    if (s.table.size() + 1 >= kMaxMembers || s.table.contains(u.member)) continue;
    Member& m = s.table[u.member];
    m.update = u;
    m.update.incarnation = 0;
    m.update.health = Health::dead;
    m.update.by = {};
    m.health_since = s.started_at;
  }
}

void Members::receive(Time now, const Message& message, Actions& actions) {
  state_->receive(now, message, actions);
}
void Members::tick(Time now, Actions& actions) { state_->tick(now, actions); }
Time Members::next() const { return state_->next(); }

void Members::leave(Time now, Actions& actions) {
  State& s = *state_;
  if (!s.started || s.left) return;
  s.left = true;
  std::vector<MemberId> receivers = s.probe_order.all();
  std::size_t remaining = std::max<std::size_t>(3, s.max_transmissions());
  for (; remaining > 0 && !receivers.empty(); --remaining) {
    const std::size_t drawn = s.random.below(receivers.size());
    const MemberId member = receivers[drawn];
    receivers.erase(receivers.begin() + static_cast<std::ptrdiff_t>(drawn));
    s.ping(member, s.table.at(member).update.at, ++s.sequence, actions);
  }
  s.probe.reset();
  s.relays.clear();
  (void)now;
}

void Members::incarnation_persisted(Time now, Incarnation to, Actions& actions) {
  State& s = *state_;
  s.persisted = std::max(s.persisted, to);
  if (s.pending_incarnation != 0 && s.pending_incarnation <= s.persisted)
    s.raise_incarnation(s.pending_incarnation - 1, actions);
  (void)now;
}

void Members::set_epoch(std::uint64_t epoch) { state_->self.epoch = epoch; }

const Self& Members::self() const { return state_->self; }
const std::map<MemberId, Member>& Members::table() const { return state_->table; }
std::uint64_t Members::incarnation_sum() const { return state_->incarnation_sum; }
std::size_t Members::alive() const { return state_->live(); }
std::vector<MemberId> Members::live() const {
  std::vector<MemberId> all = state_->probe_order.all();
  all.push_back(state_->self.id);
  std::sort(all.begin(), all.end());
  return all;
}
std::size_t Members::health_multiplier() const { return state_->health_multiplier; }
const Rejections& Members::rejections() const { return state_->rejections; }

void Members::check() const {
  const State& s = *state_;
  const auto require = [](bool condition, const char* message) {
    if (!condition) throw std::logic_error(std::string("members: ") + message);
  };
  require(!s.table.contains(s.self.id), "the table contains this controller itself");
  require(s.table.size() < kMaxMembers, "the table exceeds its bound");
  require(s.self.incarnation <= s.persisted, "the incarnation in use is not persisted");
  require(s.health_multiplier >= 1 &&
              s.health_multiplier <= std::max<std::size_t>(1, s.settings.max_health_multiplier),
          "the health multiplier is out of bounds");
  require(s.broadcasts.consistent(), "the broadcast queue and its index differ");
  require(s.relays.size() <= kMaxRelays, "too many relayed probes");
  std::size_t live = 0;
  std::size_t suspects = 0;
  std::uint64_t incarnation_sum = 0;
  for (const auto& [id, m] : s.table) {
    incarnation_sum += m.update.incarnation;
    require(id == m.update.member && id != MemberId{}, "a member is recorded under another id");
    require(m.update.name.size() <= kMaxNameBytes && m.update.zone.size() <= kMaxZoneBytes,
            "a name or zone exceeds its bound");
    if (s.is_live(m)) ++live;
    require(s.is_live(m) == s.probe_order.contains(id), "the probe order and the live members differ");
    if (m.update.health == Health::suspect) ++suspects;
    require((m.update.health == Health::suspect) == s.suspicions.contains(id),
            "the suspicions and the table differ");
    require(m.update.incarnation != 0 || m.update.health == Health::dead,
            "a member under incarnation 0 is not dead");
  }
  require(live == s.probe_order.all().size(), "the probe order has a duplicate or an unknown member");
  require(incarnation_sum == s.incarnation_sum, "the sum of incarnations and the table differ");
  require(suspects == s.suspicions.size(), "a suspicion of an unknown member");
  require(s.broadcasts.size() <= s.table.size() + 1, "a broadcast about an unknown member");
  require(!s.probe || s.probe_order.contains(s.probe->target), "the probed member is not live");
}

}  // namespace reeltack::fleet::members
