// Conversion of received protobuf messages. Rejects missing, unknown and out-of-range fields.
#include "fleet/link/checks.h"
#include "fleet/link/wire.h"

namespace reeltack::fleet::link {
namespace {

std::string indexed(const char* name, int i) { return std::string(name) + "[" + std::to_string(i) + "]"; }

void require(bool present, const std::string& field) {
  if (!present) throw_field_error(field, "missing");
}
// A message of this version may not contain fields that this version does not define.
template <class WireMessage>
void reject_unknown(const WireMessage& message, const std::string& field) {
  if (!message.unknown_fields().empty())
    throw_field_error(field,
                      "unknown fields of " + std::to_string(message.unknown_fields().size()) + " bytes");
}

Endpoint read(const wire::Endpoint& from, const std::string& field) {
  require(from.has_address(), field + ".address");
  require(from.has_port(), field + ".port");
  if (from.port() > 65535) throw_field_error(field + ".port", std::to_string(from.port()));
  reject_unknown(from, field);
  return {from.address(), static_cast<std::uint16_t>(from.port())};
}

facts::Fact read(const wire::Fact& f, MemberId owner, Incarnation incarnation, const std::string& field) {
  require(f.has_version(), field + ".version");
  require(f.has_kind(), field + ".kind");
  require(f.has_age(), field + ".age");
  reject_unknown(f, field);
  if (f.kind() > 0xffff) throw_field_error(field + ".kind", "unknown: " + std::to_string(f.kind()));
  const auto max_age_ms =
      static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(kMaxFactAge).count());
  if (f.age() > max_age_ms) throw_field_error(field + ".age", "out of range");
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
  require(from.has_version(), "envelope.version");
  require(from.has_fleet(), "envelope.fleet");
  require(from.has_epoch(), "envelope.epoch");
  require(from.has_from(), "envelope.from");
  require(from.has_incarnation(), "envelope.incarnation");
  if (is_supported(from.version())) reject_unknown(from, "envelope");
  return {from.version(), from.fleet(), from.epoch(), MemberId{from.from()}, from.incarnation()};
}

members::Message from_wire(const wire::Message& m) {
  members::Message out;
  out.envelope = from_wire(m.envelope());
  reject_unknown(m, "message");
  require(m.has_kind(), "kind");
  require(m.has_sequence(), "sequence");
  if (m.kind() > static_cast<std::uint32_t>(members::Kind::table))
    throw_field_error("kind", "unknown: " + std::to_string(m.kind()));
  out.kind = static_cast<members::Kind>(m.kind());
  out.sequence = m.sequence();
  out.target = MemberId{m.target()};
  if (m.has_target_at()) out.target_at = read(m.target_at(), "target_at");
  // Checked before anything is copied, to bound the memory that a peer can make us use.
  const auto updates = static_cast<std::size_t>(m.updates_size());
  if (updates > kMaxTableUpdates) throw_field_error("updates", std::to_string(updates) + " of them");
  for (int i = 0; i < m.updates_size(); ++i) {
    const wire::Update& u = m.updates(i);
    const std::string field = indexed("updates", i);
    require(u.has_member(), field + ".member");
    require(u.has_incarnation(), field + ".incarnation");
    require(u.has_health(), field + ".health");
    require(u.has_at(), field + ".at");
    reject_unknown(u, field);
    if (u.health() > static_cast<std::uint32_t>(members::Health::left))
      throw_field_error(field + ".health", "unknown: " + std::to_string(u.health()));
    out.updates.push_back({MemberId{u.member()}, u.incarnation(), static_cast<members::Health>(u.health()),
                           read(u.at(), field + ".at"), u.name(), u.zone(), MemberId{u.by()}});
  }
  check_bounds(out);
  return out;
}

eager_push::Message from_wire(const wire::News& n) {
  eager_push::Message out;
  out.envelope = from_wire(n.envelope());
  reject_unknown(n, "news");
  // Checked before anything is copied, to bound the memory that a peer can make us use.
  const auto facts = static_cast<std::size_t>(n.facts_size());
  if (facts > eager_push::kMaxFactsPerMessage) throw_field_error("facts", std::to_string(facts) + " of them");
  for (int i = 0; i < n.facts_size(); ++i) {
    const wire::NewsFact& f = n.facts(i);
    const std::string field = indexed("facts", i);
    require(f.has_owner(), field + ".owner");
    require(f.has_incarnation(), field + ".incarnation");
    require(f.has_fact(), field + ".fact");
    reject_unknown(f, field);
    out.facts.push_back(read(f.fact(), MemberId{f.owner()}, f.incarnation(), field));
  }
  check_bounds(out);
  return out;
}

Exchange from_wire(const wire::Exchange& e) {
  Exchange out;
  out.envelope = from_wire(e.envelope());
  reject_unknown(e, "exchange");
  require(e.has_step(), "step");
  if (e.has_digest() != (e.step() == 1 || e.step() == 2))
    throw_field_error("digest", "missing, or not of this step");
  out.step = e.step();
  out.summary.buckets.assign(e.buckets().begin(), e.buckets().end());
  const wire::Digest& digest = e.digest();
  reject_unknown(digest, "digest");
  if (digest.incarnations_size() != digest.owners_size())
    throw_field_error("digest.incarnations", "not one per owner");
  if (digest.highest_size() != digest.owners_size()) throw_field_error("digest.highest", "not one per owner");
  if (digest.floors_size() != 0 && digest.floors_size() != digest.owners_size())
    throw_field_error("digest.floors", "not one per owner");
  for (int i = 0; i < digest.owners_size(); ++i)
    out.digest.entries.push_back({MemberId{digest.owners(i)}, digest.incarnations(i), digest.highest(i),
                                  digest.floors_size() == 0 ? 0 : digest.floors(i)});
  out.digest.buckets = digest.buckets();
  out.digest.listed_only = digest.listed_only();
  for (int i = 0; i < e.owners_size(); ++i) {
    const wire::OwnerDelta& part = e.owners(i);
    const std::string field = indexed("owners", i);
    require(part.has_owner(), field + ".owner");
    require(part.has_incarnation(), field + ".incarnation");
    reject_unknown(part, field);
    facts::OwnerDelta& to = out.delta.owners.emplace_back();
    to.owner = MemberId{part.owner()};
    to.incarnation = part.incarnation();
    to.full = part.whole();
    to.floor = part.floor();
    to.more = part.more();
    to.after = part.after();
    for (int f = 0; f < part.facts_size(); ++f)
      to.facts.push_back(read(part.facts(f), to.owner, to.incarnation, field + "." + indexed("facts", f)));
  }
  check_bounds(out);
  return out;
}

}  // namespace reeltack::fleet::link
