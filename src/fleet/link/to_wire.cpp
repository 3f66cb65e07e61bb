// Conversion of the fleet's messages to protobuf messages. Checks the bounds first.
#include <algorithm>

#include "fleet/link/checks.h"
#include "fleet/link/wire.h"

namespace reeltack::fleet::link {
namespace {

void write(const Envelope& from, wire::Envelope& to) {
  to.set_version(from.version);
  to.set_fleet(from.fleet);
  to.set_epoch(from.epoch);
  to.set_from(static_cast<std::uint64_t>(from.from));
  to.set_incarnation(from.incarnation);
}

void write(const Endpoint& from, wire::Endpoint& to) {
  to.set_address(from.address);
  to.set_port(from.port);
}

void write(const facts::Fact& from, wire::Fact& to) {
  to.set_version(from.version);
  to.set_kind(static_cast<std::uint32_t>(from.key.kind));
  if (from.key.subject != 0) to.set_subject(from.key.subject);
  if (!from.value.empty()) to.set_value(from.value);
  if (from.deleted) to.set_deleted(true);
  to.set_age(
      static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(from.age).count()));
}

}  // namespace

wire::Message to_wire(const members::Message& m) {
  check_bounds(m);
  wire::Message out;
  write(m.envelope, *out.mutable_envelope());
  out.set_kind(static_cast<std::uint32_t>(m.kind));
  out.set_sequence(m.sequence);
  if (m.target != MemberId{}) out.set_target(static_cast<std::uint64_t>(m.target));
  if (m.target_at != Endpoint{}) write(m.target_at, *out.mutable_target_at());
  for (const members::Update& u : m.updates) {
    wire::Update& to = *out.add_updates();
    to.set_member(static_cast<std::uint64_t>(u.member));
    to.set_incarnation(u.incarnation);
    to.set_health(static_cast<std::uint32_t>(u.health));
    write(u.at, *to.mutable_at());
    if (!u.name.empty()) to.set_name(u.name);
    if (!u.zone.empty()) to.set_zone(u.zone);
    if (u.by != MemberId{}) to.set_by(static_cast<std::uint64_t>(u.by));
  }
  return out;
}

wire::News to_wire(const eager_push::Message& push) {
  check_bounds(push);
  wire::News out;
  write(push.envelope, *out.mutable_envelope());
  for (const facts::Fact& f : push.facts) {
    wire::NewsFact& to = *out.add_facts();
    to.set_owner(static_cast<std::uint64_t>(f.owner));
    to.set_incarnation(f.incarnation);
    write(f, *to.mutable_fact());
  }
  return out;
}

wire::Exchange to_wire(const Exchange& e) {
  check_bounds(e);
  wire::Exchange out;
  write(e.envelope, *out.mutable_envelope());
  out.set_step(e.step);
  for (const std::uint64_t bucket : e.summary.buckets) out.add_buckets(bucket);
  if (e.step == 1 || e.step == 2) {
    wire::Digest& digest = *out.mutable_digest();
    if (e.digest.buckets != digest.buckets()) digest.set_buckets(e.digest.buckets);
    if (e.digest.listed_only) digest.set_listed_only(true);
  }
  const bool has_floors = std::any_of(e.digest.entries.begin(), e.digest.entries.end(),
                                      [](const facts::DigestEntry& known) { return known.floor != 0; });
  for (const facts::DigestEntry& known : e.digest.entries) {
    if (has_floors) out.mutable_digest()->add_floors(known.floor);
    out.mutable_digest()->add_owners(static_cast<std::uint64_t>(known.owner));
    out.mutable_digest()->add_incarnations(known.incarnation);
    out.mutable_digest()->add_highest(known.highest);
  }
  for (const facts::OwnerDelta& part : e.delta.owners) {
    wire::OwnerDelta& to = *out.add_owners();
    to.set_owner(static_cast<std::uint64_t>(part.owner));
    to.set_incarnation(part.incarnation);
    if (part.full) to.set_whole(true);
    if (part.floor != 0) to.set_floor(part.floor);
    if (part.more) to.set_more(true);
    if (part.after != 0) to.set_after(part.after);
    for (const facts::Fact& f : part.facts) write(f, *to.add_facts());
  }
  return out;
}

}  // namespace reeltack::fleet::link
