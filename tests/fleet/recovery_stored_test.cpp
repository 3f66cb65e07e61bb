// The stored state is read back unchanged, and a Recovery can be copied and compared.
#include <gtest/gtest.h>

#include "recovery_fleet.h"

namespace reeltack::fleet::recovery {
namespace {

TEST(RecoveryStoredState, RecordsAreReadBackAndTornOnesIgnored) {
  TestFleet fleet(3);
  fleet.settle();
  std::vector<Record> records;
  for (const auto& [key, value] : fleet.members[0].store)
    records.push_back({key, value.first, fleet.now - value.second});
  const std::optional<PersistedState> stored = read_stored_state(records, false);
  ASSERT_TRUE(stored);
  EXPECT_EQ(stored->stage, Stage::full);
  EXPECT_EQ(stored->agreed, 3U);
  EXPECT_LE(*stored->age, 5s);
  ASSERT_EQ(stored->offices.size(), 8U);
  EXPECT_EQ(stored->offices[3].office, fleet.truth.at(ServerId{3}).first);
  for (Record& record : records)
    if (record.key == kListRecord) record.value.resize(record.value.size() - 9);
  EXPECT_TRUE(read_stored_state(records, false)->offices.empty());
  EXPECT_FALSE(read_stored_state({}, false));
}

TEST(RecoveryStoredState, ACopyIsIndependentAndEqualStatesHaveEqualFingerprints) {
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
