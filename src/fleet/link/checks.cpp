// The bounds of the fleet's messages. Must never know the encoding.
#include "fleet/link/checks.h"

#include "base/json.h"

namespace reeltack::fleet::link {
namespace {

void at_most(std::size_t found, std::size_t most, const std::string& field) {
  if (found > most) wrong(field, std::to_string(found) + " of them, " + std::to_string(most) + " at most");
}

void check_fact(const facts::Fact& fact, const std::string& field) {
  // What a newer program writes is held and passed on, though not read here.
  if (fact.key.kind < facts::Kind::stage || fact.key.kind > facts::kMaxKind)
    wrong(field + ".kind", "unknown: " + std::to_string(static_cast<unsigned>(fact.key.kind)));
  if (fact.version == 0) wrong(field + ".version", "0");
  if (fact.value.size() > kMostValue) wrong(field + ".value", std::to_string(fact.value.size()) + " bytes");
  if (fact.deleted && !fact.value.empty()) wrong(field + ".value", "of a deleted fact");
  if (fact.age < Duration::zero() || fact.age > kMaxFactAge) wrong(field + ".age", "out of range");
}

}  // namespace

void wrong(const std::string& field, const std::string& what) { throw CodecError(field + ": " + what); }

void check_text(const std::string& text, std::size_t most, const std::string& field) {
  if (text.size() > most)
    wrong(field, std::to_string(text.size()) + " bytes, " + std::to_string(most) + " at most");
  if (!base::is_utf8(text)) wrong(field, "no UTF-8");
}

void check_bounds(const members::Message& message) {
  if (message.kind > members::Kind::table)
    wrong("kind", "unknown: " + std::to_string(static_cast<unsigned>(message.kind)));
  at_most(message.updates.size(),
          message.kind == members::Kind::table ? kMaxTableUpdates : members::kMaxUpdates, "updates");
  for (std::size_t i = 0; i < message.updates.size(); ++i) {
    const members::Update& update = message.updates[i];
    const std::string field = "updates[" + std::to_string(i) + "]";
    if (update.health > members::Health::left)
      wrong(field + ".health", "unknown: " + std::to_string(static_cast<unsigned>(update.health)));
    check_text(update.name, members::kMostName, field + ".name");
    check_text(update.zone, members::kMaxZoneBytes, field + ".zone");
  }
}

void check_bounds(const news::Message& news) {
  if (news.facts.empty()) wrong("facts", "none");
  at_most(news.facts.size(), news::kMaxFactsPerMessage, "facts");
  for (std::size_t i = 0; i < news.facts.size(); ++i) {
    const facts::Fact& fact = news.facts[i];
    const std::string field = "facts[" + std::to_string(i) + "]";
    if (fact.owner == MemberId{}) wrong(field + ".owner", "nobody");
    if (fact.key.kind != facts::Kind::office)
      wrong(field + ".kind", "no news: " + std::to_string(static_cast<unsigned>(fact.key.kind)));
    if (fact.deleted) wrong(field + ".deleted", "no news");
    if (fact.value.size() > news::kMaxValueBytes)
      wrong(field + ".value", std::to_string(fact.value.size()) + " bytes");
    check_fact(fact, field);
  }
}

void check_bounds(const Exchange& exchange) {
  if (exchange.step > 3) wrong("step", "unknown: " + std::to_string(exchange.step));
  const std::size_t buckets = exchange.step == 0 ? facts::Summary::kBuckets : 0;
  if (exchange.summary.buckets.size() != buckets)
    wrong("buckets", std::to_string(exchange.summary.buckets.size()) + " of them at step " +
                         std::to_string(exchange.step) + ", " + std::to_string(buckets) + " expected");
  at_most(exchange.digest.known.size(), exchange.step == 1 || exchange.step == 2 ? kMaxOwners : 0, "digest");
  at_most(exchange.delta.owners.size(), exchange.step >= 2 ? kMaxOwners : 0, "owners");
  if (exchange.step != 1 && exchange.step != 2 &&
      (exchange.digest.buckets != 0xffffffffU || exchange.digest.listed_only))
    wrong("digest.buckets", "at step " + std::to_string(exchange.step));
  std::size_t facts = 0;
  for (std::size_t i = 0; i < exchange.delta.owners.size(); ++i) {
    const facts::OwnerDelta& of = exchange.delta.owners[i];
    at_most(facts += of.facts.size(), kMaxDeltaFacts, "facts");
    for (std::size_t f = 0; f < of.facts.size(); ++f) {
      const facts::Fact& fact = of.facts[f];
      const std::string field = "owners[" + std::to_string(i) + "].facts[" + std::to_string(f) + "]";
      if (fact.owner != of.owner || fact.incarnation != of.incarnation)
        wrong(field + ".owner", "not the part's");
      check_fact(fact, field);
    }
  }
}

}  // namespace reeltack::fleet::link
