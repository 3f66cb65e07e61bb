// What a peer sent, out of protoc's types. Must never let pass what is missing, unknown or out of range.
#include "fleet/link/checks.h"
#include "fleet/link/wire.h"

namespace reeltack::fleet::link {
namespace {

std::string place(const char* of, int i) { return std::string(of) + "[" + std::to_string(i) + "]"; }

void need(bool present, const std::string& field) {
  if (!present) wrong(field, "missing");
}
// What this version does not know has no place in a message of this version.
template <class Part>
void no_more(const Part& part, const std::string& field) {
  if (!part.unknown_fields().empty())
    wrong(field, "unknown fields of " + std::to_string(part.unknown_fields().size()) + " bytes");
}

Endpoint read(const wire::Endpoint& from, const std::string& field) {
  need(from.has_address(), field + ".address");
  need(from.has_port(), field + ".port");
  if (from.port() > 65535) wrong(field + ".port", std::to_string(from.port()));
  no_more(from, field);
  return {from.address(), static_cast<std::uint16_t>(from.port())};
}

facts::Fact read(const wire::Fact& f, MemberId owner, Incarnation incarnation, const std::string& field) {
  need(f.has_version(), field + ".version");
  need(f.has_kind(), field + ".kind");
  need(f.has_age(), field + ".age");
  no_more(f, field);
  if (f.kind() > 0xffff) wrong(field + ".kind", "unknown: " + std::to_string(f.kind()));
  const auto most =
      static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(kMaxFactAge).count());
  if (f.age() > most) wrong(field + ".age", "out of range");
  facts::Fact out{owner,
                  incarnation,
                  f.version(),
                  {static_cast<facts::Kind>(f.kind()), f.subject()},
                  f.value(),
                  f.deleted(),
                  std::chrono::milliseconds(static_cast<std::int64_t>(f.age()))};
  return out;
}

}  // namespace

Envelope from_wire(const wire::Envelope& from) {
  need(from.has_version(), "envelope.version");
  need(from.has_fleet(), "envelope.fleet");
  need(from.has_epoch(), "envelope.epoch");
  need(from.has_from(), "envelope.from");
  need(from.has_incarnation(), "envelope.incarnation");
  if (known(from.version())) no_more(from, "envelope");
  return {from.version(), from.fleet(), from.epoch(), MemberId{from.from()}, from.incarnation()};
}

members::Message from_wire(const wire::Message& m) {
  members::Message out;
  out.envelope = from_wire(m.envelope());
  no_more(m, "message");
  need(m.has_kind(), "kind");
  need(m.has_sequence(), "sequence");
  if (m.kind() > static_cast<std::uint32_t>(members::Kind::table))
    wrong("kind", "unknown: " + std::to_string(m.kind()));
  out.kind = static_cast<members::Kind>(m.kind());
  out.sequence = m.sequence();
  out.target = MemberId{m.target()};
  if (m.has_target_at()) out.target_at = read(m.target_at(), "target_at");
  // Bounded before anything is copied.
  const auto updates = static_cast<std::size_t>(m.updates_size());
  if (updates > kMaxTableUpdates) wrong("updates", std::to_string(updates) + " of them");
  for (int i = 0; i < m.updates_size(); ++i) {
    const wire::Update& u = m.updates(i);
    const std::string field = place("updates", i);
    need(u.has_member(), field + ".member");
    need(u.has_incarnation(), field + ".incarnation");
    need(u.has_health(), field + ".health");
    need(u.has_at(), field + ".at");
    no_more(u, field);
    if (u.health() > static_cast<std::uint32_t>(members::Health::left))
      wrong(field + ".health", "unknown: " + std::to_string(u.health()));
    out.updates.push_back({MemberId{u.member()}, u.incarnation(), static_cast<members::Health>(u.health()),
                           read(u.at(), field + ".at"), u.name(), u.zone(), MemberId{u.by()}});
  }
  check_bounds(out);
  return out;
}

news::Message from_wire(const wire::News& n) {
  news::Message out;
  out.envelope = from_wire(n.envelope());
  no_more(n, "news");
  // Bounded before anything is copied.
  const auto facts = static_cast<std::size_t>(n.facts_size());
  if (facts > news::kMaxFactsPerMessage) wrong("facts", std::to_string(facts) + " of them");
  for (int i = 0; i < n.facts_size(); ++i) {
    const wire::NewsFact& f = n.facts(i);
    const std::string field = place("facts", i);
    need(f.has_owner(), field + ".owner");
    need(f.has_incarnation(), field + ".incarnation");
    need(f.has_fact(), field + ".fact");
    no_more(f, field);
    out.facts.push_back(read(f.fact(), MemberId{f.owner()}, f.incarnation(), field));
  }
  check_bounds(out);
  return out;
}

Exchange from_wire(const wire::Exchange& e) {
  Exchange out;
  out.envelope = from_wire(e.envelope());
  no_more(e, "exchange");
  need(e.has_step(), "step");
  if (e.has_digest() != (e.step() == 1 || e.step() == 2)) wrong("digest", "missing, or not of this step");
  out.step = e.step();
  out.summary.buckets.assign(e.buckets().begin(), e.buckets().end());
  const wire::Digest& digest = e.digest();
  no_more(digest, "digest");
  if (digest.incarnations_size() != digest.owners_size()) wrong("digest.incarnations", "not one an owner");
  if (digest.highest_size() != digest.owners_size()) wrong("digest.highest", "not one an owner");
  if (digest.floors_size() != 0 && digest.floors_size() != digest.owners_size())
    wrong("digest.floors", "not one an owner");
  for (int i = 0; i < digest.owners_size(); ++i)
    out.digest.known.push_back({MemberId{digest.owners(i)}, digest.incarnations(i), digest.highest(i),
                                digest.floors_size() == 0 ? 0 : digest.floors(i)});
  out.digest.buckets = digest.buckets();
  out.digest.listed_only = digest.listed_only();
  for (int i = 0; i < e.owners_size(); ++i) {
    const wire::OwnerDelta& of = e.owners(i);
    const std::string field = place("owners", i);
    need(of.has_owner(), field + ".owner");
    need(of.has_incarnation(), field + ".incarnation");
    no_more(of, field);
    facts::OwnerDelta& to = out.delta.owners.emplace_back();
    to.owner = MemberId{of.owner()};
    to.incarnation = of.incarnation();
    to.whole = of.whole();
    to.floor = of.floor();
    to.more = of.more();
    to.after = of.after();
    for (int f = 0; f < of.facts_size(); ++f)
      to.facts.push_back(read(of.facts(f), to.owner, to.incarnation, field + "." + place("facts", f)));
  }
  check_bounds(out);
  return out;
}

}  // namespace reeltack::fleet::link
