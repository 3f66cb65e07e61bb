// The public face of the members' state, and its invariants.
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
  if (s.begun) return;
  s.begun = true;
  s.began = now;
  for (auto& [id, m] : s.table) m.since = now;
  s.raise(s.self.incarnation - 1, actions);
  s.ask_at = now;
  const auto spread_over = static_cast<std::size_t>(std::max<Duration::rep>(1, s.settings.period.count()));
  s.period_ends = now + Duration(static_cast<Duration::rep>(s.draws.below(spread_over)));
}

// Held under incarnation 0, so that their first word, whatever its incarnation, brings them back.
void Members::remember(std::span<const Update> kept) {
  State& s = *state_;
  for (const Update& u : kept) {
    if (u.member == s.self.id || u.member == MemberId{} || u.at.port == 0 || u.at.address == 0) continue;
    if (u.name.size() > kMostName || u.zone.size() > kMaxZoneBytes) continue;
    if (s.table.size() + 1 >= kMaxMembers || s.table.contains(u.member)) continue;
    Member& m = s.table[u.member];
    m.told = u;
    m.told.incarnation = 0;
    m.told.health = Health::dead;
    m.told.by = {};
    m.since = s.began;
  }
}

void Members::heard(Time now, const Message& message, Actions& actions) {
  state_->heard(now, message, actions);
}
void Members::tick(Time now, Actions& actions) { state_->tick(now, actions); }
Time Members::next() const { return state_->next(); }

void Members::leave(Time now, Actions& actions) {
  State& s = *state_;
  if (!s.begun || s.left) return;
  s.left = true;
  std::vector<MemberId> told = s.order.all();
  std::size_t most = std::max<std::size_t>(3, s.times());
  for (; most > 0 && !told.empty(); --most) {
    const std::size_t drawn = s.draws.below(told.size());
    const MemberId member = told[drawn];
    told.erase(told.begin() + static_cast<std::ptrdiff_t>(drawn));
    s.ping(member, s.table.at(member).told.at, ++s.sequence, actions);
  }
  s.probe.reset();
  s.relays.clear();
  (void)now;
}

void Members::incarnation_persisted(Time now, Incarnation to, Actions& actions) {
  State& s = *state_;
  s.kept = std::max(s.kept, to);
  if (s.wanted != 0 && s.wanted <= s.kept) s.raise(s.wanted - 1, actions);
  (void)now;
}

void Members::configured(std::uint64_t epoch) { state_->self.epoch = epoch; }

const Self& Members::self() const { return state_->self; }
const std::map<MemberId, Member>& Members::table() const { return state_->table; }
std::uint64_t Members::incarnations() const { return state_->incarnations; }
std::size_t Members::alive() const { return state_->live(); }
std::vector<MemberId> Members::live() const {
  std::vector<MemberId> all = state_->order.all();
  all.push_back(state_->self.id);
  std::sort(all.begin(), all.end());
  return all;
}
std::size_t Members::health() const { return state_->health; }
const Refused& Members::refused() const { return state_->refused; }

void Members::check() const {
  const State& s = *state_;
  const auto held = [](bool holds, const char* what) {
    if (!holds) throw std::logic_error(std::string("members: ") + what);
  };
  held(!s.table.contains(s.self.id), "oneself is in the table");
  held(s.table.size() < kMaxMembers, "the table is over its bound");
  held(s.self.incarnation <= s.kept, "an incarnation is used that is not kept");
  held(s.health >= 1 && s.health <= std::max<std::size_t>(1, s.settings.health_most),
       "health is out of bounds");
  held(s.spread.consistent(), "the queue and its index differ");
  held(s.relays.size() <= kMostRelays, "too many probes in another's stead");
  std::size_t live = 0;
  std::size_t suspects = 0;
  std::uint64_t incarnations = 0;
  for (const auto& [id, m] : s.table) {
    incarnations += m.told.incarnation;
    held(id == m.told.member && id != MemberId{}, "a member is kept under another's id");
    held(m.told.name.size() <= kMostName && m.told.zone.size() <= kMaxZoneBytes, "a name is over its bound");
    if (s.is_live(m)) ++live;
    held(s.is_live(m) == s.order.holds(id), "the order of probing is not those who live");
    if (m.told.health == Health::suspect) ++suspects;
    held((m.told.health == Health::suspect) == s.suspected.contains(id), "a suspicion and the table differ");
    held(m.told.incarnation != 0 || m.told.health == Health::dead, "one under no incarnation lives");
  }
  held(live == s.order.all().size(), "one is probed twice or is not in the table");
  held(incarnations == s.incarnations, "the sum of incarnations and the table differ");
  held(suspects == s.suspected.size(), "a suspicion of nobody");
  held(s.spread.size() <= s.table.size() + 1, "news of nobody");
  held(!s.probe || s.order.holds(s.probe->target), "the probe is of one who does not live");
}

}  // namespace reeltack::fleet::members
