// Field-by-field comparison of two messages, for the tests of the codec.
#pragma once

#include <gtest/gtest.h>

#include "fleet/link/codec.h"

namespace reeltack::fleet::link {

inline auto fields(const Envelope& e) { return std::tie(e.version, e.fleet, e.epoch, e.from, e.incarnation); }

inline void expect_equal(const members::Message& a, const members::Message& b) {
  EXPECT_EQ(fields(a.envelope), fields(b.envelope));
  EXPECT_EQ(std::tie(a.kind, a.sequence, a.target, a.target_at),
            std::tie(b.kind, b.sequence, b.target, b.target_at));
  ASSERT_EQ(a.updates.size(), b.updates.size());
  for (std::size_t i = 0; i < a.updates.size(); ++i) {
    const members::Update &x = a.updates[i], &y = b.updates[i];
    EXPECT_EQ(std::tie(x.member, x.incarnation, x.health, x.at, x.name, x.zone, x.by),
              std::tie(y.member, y.incarnation, y.health, y.at, y.name, y.zone, y.by));
  }
}

inline void expect_equal(const facts::Fact& a, const facts::Fact& b) {
  EXPECT_EQ(std::tie(a.owner, a.incarnation, a.version, a.key, a.value, a.deleted, a.age),
            std::tie(b.owner, b.incarnation, b.version, b.key, b.value, b.deleted, b.age));
}

inline void expect_equal(const Exchange& a, const Exchange& b) {
  EXPECT_EQ(fields(a.envelope), fields(b.envelope));
  EXPECT_EQ(a.step, b.step);
  EXPECT_EQ(a.summary.buckets, b.summary.buckets);
  EXPECT_EQ(std::tie(a.digest.buckets, a.digest.listed_only),
            std::tie(b.digest.buckets, b.digest.listed_only));
  ASSERT_EQ(a.digest.entries.size(), b.digest.entries.size());
  for (std::size_t i = 0; i < a.digest.entries.size(); ++i) {
    const facts::DigestEntry &x = a.digest.entries[i], &y = b.digest.entries[i];
    EXPECT_EQ(std::tie(x.owner, x.incarnation, x.highest, x.floor),
              std::tie(y.owner, y.incarnation, y.highest, y.floor));
  }
  ASSERT_EQ(a.delta.owners.size(), b.delta.owners.size());
  for (std::size_t i = 0; i < a.delta.owners.size(); ++i) {
    const facts::OwnerDelta &x = a.delta.owners[i], &y = b.delta.owners[i];
    EXPECT_EQ(std::tie(x.owner, x.incarnation, x.full, x.floor, x.more, x.after),
              std::tie(y.owner, y.incarnation, y.full, y.floor, y.more, y.after));
    ASSERT_EQ(x.facts.size(), y.facts.size());
    for (std::size_t f = 0; f < x.facts.size(); ++f) expect_equal(x.facts[f], y.facts[f]);
  }
}

inline void expect_equal(const eager_push::Message& a, const eager_push::Message& b) {
  EXPECT_EQ(fields(a.envelope), fields(b.envelope));
  ASSERT_EQ(a.facts.size(), b.facts.size());
  for (std::size_t i = 0; i < a.facts.size(); ++i) expect_equal(a.facts[i], b.facts[i]);
}

}  // namespace reeltack::fleet::link
