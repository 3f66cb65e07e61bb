// Two servers of updates over one zone file, as while one process replaces another.
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <thread>

#include "base/file_lock.h"
#include "dns/numbers.h"
#include "dns/updates.h"

namespace reeltack::test {
namespace {

using namespace std::chrono_literals;

constexpr std::uint16_t kClassIn = 1;
constexpr std::uint16_t kClassNone = 254;
constexpr int kOffices = 8;
constexpr const char* kService = "_c._tcp.t.example.";

std::string srv(int office) {
  std::string out;
  for (const int value : {0, 1, 4000 + office}) dns::append16(out, static_cast<std::uint64_t>(value));
  return out + dns::name_to_wire("c" + std::to_string(office) + ".t.example.");
}

std::string record(const std::string& name, dns::Type type, std::uint16_t rr_class, const std::string& data) {
  std::string out = dns::name_to_wire(name);
  dns::append16(out, type);
  dns::append16(out, rr_class);
  dns::append32(out, rr_class == kClassIn ? 60 : 0);  // TTL
  dns::append16(out, data.size());
  return out + data;
}

std::string update_with(const std::vector<std::string>& records) {
  std::string out;
  dns::append16(out, 1);
  dns::append16(out, 5U << 11U);  // UPDATE
  for (const std::size_t count : {std::size_t{1}, std::size_t{0}, records.size(), std::size_t{0}})
    dns::append16(out, count);
  out += dns::name_to_wire("t.example.");
  dns::append16(out, dns::kSoa);
  dns::append16(out, kClassIn);
  for (const std::string& one : records) out += one;
  return out;
}

// One SRV record of an office, added or removed.
std::string update(std::uint16_t rr_class, int office) {
  return update_with({record(kService, dns::kSrv, rr_class, srv(office))});
}

std::string zone_text() {
  std::string out = "$ORIGIN t.example.\n$TTL 60\n@ SOA ns m 7 1 1 1 1\n";
  for (int i = 0; i < kOffices; ++i) {
    const std::string name = "c" + std::to_string(i);
    out += "_c._tcp SRV 0 1 " + std::to_string(4000 + i) + " " + name + "\n" + name + " A 127.0.0.1\n";
  }
  return out;
}

// The offices that one process may send to.
class ReadyOffices final : public core::OfficeBackend {
 public:
  void listed(bool /*complete*/, const std::vector<core::OfficeEntry>& offices) override {
    const std::lock_guard hold(lock_);
    for (const core::OfficeEntry& o : offices) {
      ready_[o.address] = o.entry.state == ServerState::ready;
      addresses_[o.entry.server].insert(o.address);
    }
  }
  void start(const core::SetUp& /*set_up*/) override {}
  void cancel(ServerId /*office*/, CallId /*call*/, std::uint32_t /*attempt*/) override {}
  void release(ServerId /*office*/, CallId /*call*/) override {}
  void keep_connection(ServerId /*office*/, bool /*calls_established*/) override {}
  bool ready(const std::string& address) {
    const std::lock_guard hold(lock_);
    return ready_[address];
  }
  // The most addresses that one id has had.
  std::size_t most_addresses() {
    const std::lock_guard hold(lock_);
    std::size_t out = 0;
    for (const auto& [id, addresses] : addresses_) out = std::max(out, addresses.size());
    return out;
  }
  int count() {
    const std::lock_guard hold(lock_);
    int out = 0;
    for (const auto& [address, ready] : ready_) out += ready ? 1 : 0;
    return out;
  }

 private:
  std::mutex lock_;
  std::map<std::string, bool> ready_;
  std::map<ServerId, std::set<std::string>> addresses_;
};

Settings one_class() {
  Settings out;
  out.classes.push_back({.aim = 2s, .deadline = 9s});
  return out;
}

// What one process has of the zone.
struct Process {
  explicit Process(const std::string& file) : core(one_class(), 1), list(core) {
    core.start(offices);
    updates.emplace(list, read(file), kService, file);
  }
  ~Process() {
    updates->close_all();
    core.stop();
  }
  static dns::Zone read(const std::string& file) {
    std::stringstream text;
    text << std::ifstream(file).rdbuf();
    return dns::Zone::read(text.str(), file);
  }
  int send(const std::string& message) {
    return static_cast<int>(dns::read_number(updates->answer(message), 2, 2) & 15U);
  }
  bool await(int ready) {
    const Time by = net::now() + 10s;
    while (offices.count() != ready && net::now() < by) net::pause_until(net::now() + 1ms);
    return offices.count() == ready;
  }
  ReadyOffices offices;
  core::Core core;
  core::OfficeList list;
  std::optional<dns::UpdateServer> updates;  // publishes to the core that has started
};

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
