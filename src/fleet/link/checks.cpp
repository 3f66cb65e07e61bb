// Implementation of the bounds on the fleet's messages.
#include "fleet/link/checks.h"

#include "base/json.h"

namespace reeltack::fleet::link {
namespace {

void check_count(std::size_t found, std::size_t max, const std::string& field) {
  if (found > max)
    throw_field_error(field, std::to_string(found) + " of them, " + std::to_string(max) + " at most");
}

void check_fact(const facts::Fact& fact, const std::string& field) {
  // Kinds written by a newer program are stored and forwarded even though this version does not interpret
  // them.
  if (fact.key.kind < facts::Kind::stage || fact.key.kind > facts::kMaxKind)
    throw_field_error(field + ".kind", "unknown: " + std::to_string(static_cast<unsigned>(fact.key.kind)));
  if (fact.version == 0) throw_field_error(field + ".version", "0");
  if (fact.value.size() > kMaxFactValueBytes)
    throw_field_error(field + ".value", std::to_string(fact.value.size()) + " bytes");
  if (fact.deleted && !fact.value.empty()) throw_field_error(field + ".value", "of a deleted fact");
  if (fact.age < Duration::zero() || fact.age > kMaxFactAge)
    throw_field_error(field + ".age", "out of range");
}

}  // namespace

void throw_field_error(const std::string& field, const std::string& problem) {
  throw CodecError(field + ": " + problem);
}

void check_text(const std::string& text, std::size_t max, const std::string& field) {
  if (text.size() > max)
    throw_field_error(field, std::to_string(text.size()) + " bytes, " + std::to_string(max) + " at most");
  if (!base::is_utf8(text)) throw_field_error(field, "not valid UTF-8");
}

void check_bounds(const members::Message& message) {
  if (message.kind > members::Kind::table)
    throw_field_error("kind", "unknown: " + std::to_string(static_cast<unsigned>(message.kind)));
  check_count(message.updates.size(),
              message.kind == members::Kind::table ? kMaxTableUpdates : members::kMaxUpdates, "updates");
  for (std::size_t i = 0; i < message.updates.size(); ++i) {
    const members::Update& update = message.updates[i];
    const std::string field = "updates[" + std::to_string(i) + "]";
    if (update.health > members::Health::left)
      throw_field_error(field + ".health",
                        "unknown: " + std::to_string(static_cast<unsigned>(update.health)));
    check_text(update.name, members::kMaxNameBytes, field + ".name");
    check_text(update.zone, members::kMaxZoneBytes, field + ".zone");
  }
}

void check_bounds(const eager_push::Message& push) {
  if (push.facts.empty()) throw_field_error("facts", "none");
  check_count(push.facts.size(), eager_push::kMaxFactsPerMessage, "facts");
  for (std::size_t i = 0; i < push.facts.size(); ++i) {
    const facts::Fact& fact = push.facts[i];
    const std::string field = "facts[" + std::to_string(i) + "]";
    if (fact.owner == MemberId{}) throw_field_error(field + ".owner", "zero");
    if (fact.key.kind != facts::Kind::office)
      throw_field_error(field + ".kind",
                        "not allowed in a push: " + std::to_string(static_cast<unsigned>(fact.key.kind)));
    if (fact.deleted) throw_field_error(field + ".deleted", "not allowed in a push");
    if (fact.value.size() > eager_push::kMaxValueBytes)
      throw_field_error(field + ".value", std::to_string(fact.value.size()) + " bytes");
    check_fact(fact, field);
  }
}

void check_bounds(const Exchange& exchange) {
  if (exchange.step > 3) throw_field_error("step", "unknown: " + std::to_string(exchange.step));
  const std::size_t buckets = exchange.step == 0 ? facts::Summary::kBuckets : 0;
  if (exchange.summary.buckets.size() != buckets)
    throw_field_error("buckets", std::to_string(exchange.summary.buckets.size()) + " of them at step " +
                                     std::to_string(exchange.step) + ", " + std::to_string(buckets) +
                                     " expected");
  check_count(exchange.digest.entries.size(), exchange.step == 1 || exchange.step == 2 ? kMaxOwners : 0,
              "digest");
  check_count(exchange.delta.owners.size(), exchange.step >= 2 ? kMaxOwners : 0, "owners");
  if (exchange.step != 1 && exchange.step != 2 &&
      (exchange.digest.buckets != 0xffffffffU || exchange.digest.listed_only))
    throw_field_error("digest.buckets", "at step " + std::to_string(exchange.step));
  std::size_t facts = 0;
  for (std::size_t i = 0; i < exchange.delta.owners.size(); ++i) {
    const facts::OwnerDelta& part = exchange.delta.owners[i];
    check_count(facts += part.facts.size(), kMaxDeltaFacts, "facts");
    for (std::size_t f = 0; f < part.facts.size(); ++f) {
      const facts::Fact& fact = part.facts[f];
      const std::string field = "owners[" + std::to_string(i) + "].facts[" + std::to_string(f) + "]";
      if (fact.owner != part.owner || fact.incarnation != part.incarnation)
        throw_field_error(field + ".owner", "differs from the owner of its part");
      check_fact(fact, field);
    }
  }
}

}  // namespace reeltack::fleet::link
