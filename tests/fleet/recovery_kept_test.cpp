// What a member has kept is read as it was, and its state can be copied and compared.
#include <gtest/gtest.h>

#include "recovery_fleet.h"

namespace reeltack::fleet::recovery {
namespace {

TEST(RecoveryAlone, WhatWasKeptIsReadAsItWasAndTornRecordsAreNot) {
  TestFleet fleet(3);
  fleet.settle();
  std::vector<Record> records;
  for (const auto& [key, value] : fleet.members[0].store)
    records.push_back({key, value.first, fleet.now - value.second});
  const std::optional<PersistedState> kept = read_stored_state(records, false);
  ASSERT_TRUE(kept);
  EXPECT_EQ(kept->stage, Stage::full);
  EXPECT_EQ(kept->agreed, 3U);
  EXPECT_LE(*kept->age, 5s);
  ASSERT_EQ(kept->offices.size(), 8U);
  EXPECT_EQ(kept->offices[3].office, fleet.truth.at(ServerId{3}).first);
  for (Record& record : records)
    if (record.key == kListRecord) record.value.resize(record.value.size() - 9);
  EXPECT_TRUE(read_stored_state(records, false)->offices.empty());
  EXPECT_FALSE(read_stored_state({}, false));
}

TEST(RecoveryAlone, ACopyIsACopyAndEqualStatesHaveEqualNumbers) {
  TestFleet fleet(3);
  fleet.settle(1s);
  Recovery copy = *fleet.members[0].recovery;
  EXPECT_EQ(copy.fingerprint(fleet.now), fleet.members[0].recovery->fingerprint(fleet.now));
  Actions actions;
  copy.on(fleet.now,
          OfficeObserved{{fleet.truth.at(ServerId{0}).first, Rank::own, OfficeState::refused, {}, 0s}},
          actions);
  EXPECT_NE(copy.fingerprint(fleet.now), fleet.members[0].recovery->fingerprint(fleet.now));
}

}  // namespace
}  // namespace reeltack::fleet::recovery
