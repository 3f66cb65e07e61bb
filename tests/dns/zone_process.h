// What one process has of a zone: a core, its list of offices and a server of updates over the zone's file.
#pragma once

#include <gtest/gtest.h>

#include <fstream>
#include <map>
#include <set>
#include <sstream>

#include "dns/numbers.h"
#include "dns/updates.h"

namespace reeltack::test {

using namespace std::chrono_literals;

inline constexpr std::uint16_t kClassIn = 1;
inline constexpr std::uint16_t kClassNone = 254;
inline constexpr int kOffices = 8;
inline constexpr const char* kService = "_c._tcp.t.example.";

inline std::string srv(int office) {
  std::string out;
  for (const int value : {0, 1, 4000 + office}) dns::append16(out, static_cast<std::uint64_t>(value));
  return out + dns::name_to_wire("c" + std::to_string(office) + ".t.example.");
}

inline std::string record(const std::string& name, dns::Type type, std::uint16_t rr_class,
                          const std::string& data) {
  std::string out = dns::name_to_wire(name);
  dns::append16(out, type);
  dns::append16(out, rr_class);
  dns::append32(out, rr_class == kClassIn ? 60 : 0);  // TTL
  dns::append16(out, data.size());
  return out + data;
}

inline std::string update_with(const std::vector<std::string>& records) {
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
inline std::string update(std::uint16_t rr_class, int office) {
  return update_with({record(kService, dns::kSrv, rr_class, srv(office))});
}

inline std::string zone_text() {
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

inline Settings one_class() {
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

}  // namespace reeltack::test
