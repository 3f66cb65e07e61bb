// Two servers of updates over one zone file, as while one process replaces another.
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <thread>

#include "base/file_lock.h"
#include "zone_process.h"

namespace reeltack::test {
namespace {

class SharedZone : public ::testing::Test {
 protected:
  void SetUp() override {
    folder_ = std::filesystem::temp_directory_path() / ("reeltack-zone-" + std::to_string(::getpid()));
    std::filesystem::create_directory(folder_);
    file_ = (folder_ / "zone").string();
    std::ofstream(file_) << zone_text();
  }
  void TearDown() override { std::filesystem::remove_all(folder_); }
  std::size_t offices_in_file() { return Process::read(file_).offices(kService).size(); }

  std::filesystem::path folder_;
  std::string file_;
};

// Guards against lost updates: each process wrote the zone that it had read at its start.
TEST_F(SharedZone, UpdatesThatTwoProcessesTakeInTurnAreAllKept) {
  Process old(file_);
  Process successor(file_);
  for (int office = 1; office < kOffices; ++office) {
    Process& taker = office % 2 == 0 ? old : successor;
    ASSERT_EQ(taker.send(update(kClassNone, office)), dns::kNoError);
    EXPECT_EQ(offices_in_file(), static_cast<std::size_t>(kOffices - office));
  }
}

// Guards against work for an office that is out of the zone, by an update that the other process has taken:
// nothing new may reach it 250 ms later.
TEST_F(SharedZone, UpdateThatOneProcessTakesBindsTheOtherInTime) {
  Process old(file_);
  Process successor(file_);
  successor.updates->open({"127.100.9." + std::to_string(1 + ::getpid() % 250),
                           static_cast<std::uint16_t>(20000 + ::getpid() % 20000)});
  ASSERT_EQ(old.send(update(kClassNone, 3)), dns::kNoError);
  const Time confirmed = net::now();
  ASSERT_TRUE(successor.await(kOffices - 1));
  EXPECT_LE(net::now() - confirmed, 250ms);
}

// Guards against updates that are lost where both processes take them at the same time.
TEST_F(SharedZone, UpdatesTakenAtTheSameTimeAreAllKept) {
  Process old(file_);
  Process successor(file_);
  const auto remove_each_second = [](Process& process, int first) {
    for (int office = first; office < kOffices; office += 2)
      EXPECT_EQ(process.send(update(kClassNone, office)), dns::kNoError);
  };
  std::thread beside([&] { remove_each_second(old, 1); });
  remove_each_second(successor, 2);
  beside.join();
  EXPECT_EQ(offices_in_file(), 1U);
}

// Guards against an update that is applied to a zone that nobody can read, or that takes a torn file's place.
TEST_F(SharedZone, FileThatCannotBeReadChangesNothing) {
  Process process(file_);
  ASSERT_TRUE(process.await(kOffices));
  std::ofstream(file_) << "@ SOA";
  process.updates->follow();
  EXPECT_EQ(process.send(update(kClassNone, 1)), dns::kServFail);
  EXPECT_EQ(process.offices.count(), kOffices);
  std::ofstream(file_) << zone_text();
  EXPECT_EQ(process.send(update(kClassNone, 1)), dns::kNoError);
}

// Guards against waiting for a process that holds the file and doesn't go on.
TEST_F(SharedZone, UpdateIsRefusedWhileAnotherProcessHoldsTheFile) {
  Process process(file_);
  std::string reason;
  {
    const auto held = base::FileLock::acquire(file_ + ".lock", std::chrono::steady_clock::now(), reason);
    ASSERT_TRUE(held) << reason;
    EXPECT_EQ(process.send(update(kClassNone, 1)), dns::kServFail);
  }
  EXPECT_EQ(process.send(update(kClassNone, 1)), dns::kNoError);
}

// Guards against a new process that is taken for the old one: the calls at the old address would lose their
// ends.
TEST_F(SharedZone, OfficeAtAnotherAddressIsAnotherOfficeAndTheOldOneDrains) {
  constexpr std::uint16_t kClassAny = 255;
  const std::string name = "c3.t.example.";
  const auto moved_to = [&name](char last) {
    return update_with({record(name, dns::kA, kClassAny, ""),
                        record(name, dns::kA, kClassIn, std::string("\x7f\0\0", 3) + last)});
  };
  Process process(file_);
  ASSERT_TRUE(process.await(kOffices));
  ASSERT_EQ(process.send(moved_to(2)), dns::kNoError);
  EXPECT_TRUE(process.offices.ready("127.0.0.2:4003"));
  EXPECT_FALSE(process.offices.ready("127.0.0.1:4003"));
  ASSERT_EQ(process.send(moved_to(1)), dns::kNoError);  // and back
  EXPECT_TRUE(process.offices.ready("127.0.0.1:4003"));
  EXPECT_FALSE(process.offices.ready("127.0.0.2:4003"));
  EXPECT_EQ(process.offices.count(), kOffices);
  EXPECT_EQ(process.offices.most_addresses(), 1U);
}

}  // namespace
}  // namespace reeltack::test
