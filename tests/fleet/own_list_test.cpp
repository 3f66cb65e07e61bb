// Controllers started while discovery is down: the list of the start limits what peers and the store say.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>

#include "recovery_fleet.h"

namespace reeltack::fleet::recovery {
namespace {

constexpr ServerId kOffice{3};
constexpr Endpoint kElsewhere{77, 81};
constexpr Duration kDiscoveryOutage = 8s;

// A fleet in full service loses discovery; then some of its members are killed.
struct Outage {
  TestFleet fleet{3};
  explicit Outage(std::size_t killed) {
    fleet.settle();
    for (std::size_t i = 0; i < 3; ++i) fleet.deliver(i, SourceUnreachable{});
    fleet.run(1s);
    for (std::size_t i = 0; i < killed; ++i) fleet.kill(i);
    fleet.run(500ms);
  }
  // Starts the member with the list that the fleet was told, after `change`.
  void start(std::size_t member, const std::function<void(std::vector<Evidence>&)>& change) {
    fleet.start(member);
    ListReceived configured = fleet.list();
    configured.live = false;
    change(configured.offices);
    fleet.deliver(member, configured);
  }
  const Terms::Line* line(std::size_t member) {
    const auto& terms = fleet.members[member].terms;
    if (!terms) return nullptr;
    const auto found = std::find_if(terms->offices.begin(), terms->offices.end(),
                                    [](const Terms::Line& l) { return l.office.id == kOffice; });
    return found == terms->offices.end() ? nullptr : &*found;
  }
  bool usable(std::size_t member) {
    const Terms::Line* found = line(member);
    return found != nullptr && found->verdict != Verdict::barred;
  }
  // Whether the member could use the office in any state in which `excluded` holds, during the outage.
  bool ever_usable(std::size_t member, const std::function<bool(const Office&)>& excluded) {
    for (const Time end = fleet.now + kDiscoveryOutage; fleet.now < end; fleet.run(20ms))
      if (usable(member) && excluded(line(member)->office)) return true;
    return false;
  }
};
bool any(const Office& /*office*/) { return true; }

void omit(std::vector<Evidence>& offices) {
  std::erase_if(offices, [](const Evidence& e) { return e.office.id == kOffice; });
}
Evidence& entry(std::vector<Evidence>& offices) {
  return *std::find_if(offices.begin(), offices.end(),
                       [](const Evidence& e) { return e.office.id == kOffice; });
}

// It sent to an office that its list lacked, on the word of a peer or of its own older store.
TEST(OwnList, AnOfficeThatTheListOfTheStartLacksIsNeverUsed) {
  for (const std::size_t killed : {1U, 3U}) {
    for (const bool stored : {true, false}) {
      Outage outage(killed);
      if (!stored) outage.fleet.members[0].store.clear();
      for (std::size_t i = 1; i < killed; ++i) outage.start(i, [](auto& /*offices*/) {});
      outage.start(0, omit);
      EXPECT_FALSE(outage.ever_usable(0, any)) << killed << " killed, stored " << stored;
      const auto verdicts = outage.fleet.verdicts(0);
      EXPECT_EQ(std::count(verdicts.begin(), verdicts.end(), Verdict::trusted), 7) << "the others serve";
      outage.fleet.deliver_list(0, 2);
      EXPECT_TRUE(outage.usable(0)) << "named by the live list";
    }
  }
}

TEST(OwnList, AStartWithoutAListUsesTheStoresAndNoOfficeOfAPeer) {
  Outage outage(1);
  outage.fleet.start(0);
  outage.fleet.run(2s);
  EXPECT_TRUE(outage.usable(0));
  outage.fleet.kill(0);
  outage.fleet.members[0].store.clear();
  outage.fleet.start(0);
  EXPECT_FALSE(outage.ever_usable(0, any));
}

// The list of the start has it as draining, whatever start a peer reports.
TEST(OwnList, AnOfficeThatTheListOfTheStartHasAsDrainingIsNeverUsed) {
  for (const std::size_t killed : {1U, 3U}) {
    for (const std::uint64_t start : {500U, 1003U, 5000U}) {
      Outage outage(killed);
      for (std::size_t i = 1; i < killed; ++i) outage.start(i, [](auto& /*offices*/) {});
      outage.start(0, [&](auto& offices) {
        entry(offices).state = OfficeState::draining;
        entry(offices).office.start = start;
      });
      EXPECT_FALSE(outage.ever_usable(0, any)) << killed << " killed, start " << start;
    }
  }
}

// Peers and the store know the office at an address that the list of the start no longer has.
TEST(OwnList, OnlyTheAddressInTheListOfTheStartIsUsed) {
  for (const std::size_t killed : {1U, 3U}) {
    for (const std::uint64_t start : {0U, 500U, 1003U, 5000U}) {
      Outage outage(killed);
      for (std::size_t i = 1; i < killed; ++i) outage.start(i, [](auto& /*offices*/) {});
      outage.start(0, [&](auto& offices) {
        entry(offices).office.start = start;
        entry(offices).office.at = kElsewhere;
      });
      const auto old_address = [](const Office& office) { return office.at != kElsewhere; };
      EXPECT_FALSE(outage.ever_usable(0, old_address)) << killed << " killed, start " << start;
      EXPECT_EQ(outage.usable(0), start != 500U) << "start " << start;  // the peers' start is later
    }
  }
}

// The list of the start knows of a restart that the peers' view and the store are older than: it was taken
// for the warm process of before.
TEST(OwnList, AnOfficeIsColdByTheListOfTheStartDespiteOlderViews) {
  for (const std::size_t killed : {1U, 3U}) {
    Outage outage(killed);
    outage.fleet.truth.at(kOffice).first.start = 5000;
    for (std::size_t i = 1; i < killed; ++i)
      outage.start(i, [](auto& offices) { entry(offices).office.start = 1003; });
    outage.start(0, [](auto& /*offices*/) {});
    const auto earlier = [](const Office& office) { return office.start < 5000; };
    EXPECT_FALSE(outage.ever_usable(0, earlier)) << killed << " killed";
    const std::vector<OfficeAssessment> offices = outage.fleet.members[0].recovery->offices(outage.fleet.now);
    const auto found = std::find_if(offices.begin(), offices.end(),
                                    [](const OfficeAssessment& a) { return a.office.id == kOffice; });
    ASSERT_NE(found, offices.end());
    EXPECT_TRUE(found->cold) << killed << " killed";
    EXPECT_EQ(found->verdict, Verdict::trusted) << "it has answered";
  }
}

// Another live list, which outranks the own one, names an office that the own one has removed.
TEST(OwnList, ALiveListThatRemovedAnOfficeOutweighsAHigherListOfAPeer) {
  TestFleet fleet(3);
  fleet.settle();
  ListReceived removed = fleet.list(2);
  omit(removed.offices);
  fleet.deliver(0, removed);
  fleet.deliver_list(1, 3);
  fleet.deliver_list(2, 3);
  fleet.run(2s);
  for (const OfficeAssessment& office : fleet.members[0].recovery->offices(fleet.now))
    EXPECT_EQ(office.verdict == Verdict::barred, office.office.id == kOffice);
  for (const Verdict verdict : fleet.verdicts(1)) EXPECT_EQ(verdict, Verdict::trusted);
}

}  // namespace
}  // namespace reeltack::fleet::recovery
