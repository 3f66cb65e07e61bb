// Random messages within the protocol's bounds for the codec tests. Equal seeds give equal messages.
#pragma once

#include <random>

#include "fleet/link/codec.h"

namespace reeltack::fleet::link {

struct Random {
  explicit Random(std::uint64_t seed) : engine(seed) {}
  std::uint64_t bits() { return engine() >> (engine() % 64U); }  // of every magnitude
  std::size_t below(std::size_t n) { return static_cast<std::size_t>(engine() % n); }
  std::string text(std::size_t max_size) {
    std::string out;
    for (std::size_t n = below(max_size + 1); out.size() < n;) out += static_cast<char>('a' + below(26));
    return out;
  }
  Endpoint endpoint() { return {static_cast<std::uint32_t>(bits()), static_cast<std::uint16_t>(bits())}; }
  Envelope envelope() { return {kNewestVersion, bits(), bits(), MemberId{bits()}, bits()}; }

  members::Message message() {
    members::Message m;
    m.envelope = envelope();
    m.kind = static_cast<members::Kind>(below(6));
    m.sequence = bits();
    m.target = MemberId{bits()};
    if (m.kind == members::Kind::ping_request) m.target_at = endpoint();
    for (std::size_t n = below(8); m.updates.size() < n;)
      m.updates.push_back({MemberId{bits()}, bits(), static_cast<members::Health>(below(4)), endpoint(),
                           text(members::kMaxNameBytes), text(members::kMaxZoneBytes), MemberId{bits()}});
    return m;
  }

  eager_push::Message push() {
    eager_push::Message n;
    n.envelope = envelope();
    for (std::size_t size = 1 + below(7); n.facts.size() < size;) {
      facts::Fact f;
      f.owner = MemberId{1 + bits() / 2};
      f.incarnation = bits();
      f.version = 1 + bits() / 2;
      f.key = {facts::Kind::office, bits()};
      f.value = text(100);
      f.age = std::chrono::milliseconds(bits() % 1'000'000'000U);
      n.facts.push_back(f);
    }
    return n;
  }

  Exchange exchange() {
    Exchange e;
    e.envelope = envelope();
    e.step = static_cast<std::uint32_t>(below(4));
    if (e.step == 0)
      for (std::size_t i = 0; i < facts::Summary::kBuckets; ++i) e.summary.buckets.push_back(bits());
    if (e.step == 1 || e.step == 2)
      for (std::size_t n = below(40); e.digest.entries.size() < n;)
        e.digest.entries.push_back({MemberId{bits()}, bits(), bits(), below(2) * bits()});
    if (e.step == 1 || e.step == 2) {
      e.digest.buckets = static_cast<std::uint32_t>(bits());
      e.digest.listed_only = below(2) == 0;
    }
    if (e.step >= 2)
      for (std::size_t n = below(5); e.delta.owners.size() < n;) e.delta.owners.push_back(owner());
    return e;
  }

  facts::OwnerDelta owner() {
    facts::OwnerDelta of;
    of.owner = MemberId{bits()};
    of.incarnation = bits();
    of.full = below(2) == 0;
    of.more = below(2) == 0;
    of.after = bits();
    of.floor = bits();
    for (std::size_t n = below(6), version = 1; of.facts.size() < n; version += 1 + below(9)) {
      facts::Fact f;
      f.owner = of.owner;
      f.incarnation = of.incarnation;
      f.version = version;
      f.key = {static_cast<facts::Kind>(1 + below(5)), bits()};
      f.deleted = below(4) == 0;
      if (!f.deleted) f.value = text(100);
      f.age = std::chrono::milliseconds(bits() % 1'000'000'000U);
      of.facts.push_back(f);
    }
    return of;
  }

  std::mt19937_64 engine;
};

}  // namespace reeltack::fleet::link
