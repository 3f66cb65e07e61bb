// A trunk group as the core knows it: an endpoint for calls that go out over it, a caller for those that
// come in.
//
// Owns: the one connection of the group, its handshake, the state of the circuits (circuits::Group) and what
//   belongs to the calls on them.
// Must never: decide on a call, block the core, send a call back over the group by which it came, or tie a
//   standing call to the connection.
//
// One thread a group reads, writes and keeps the time. The core's calls take a lock for a few microseconds,
// leave what is to be written, and wake it. Off on the platform, which has no such lines.
//
// Where its parts are: trunk.cpp starts and ends it; connection.cpp is the thread, which connects and shakes
// hands; serving.cpp serves a connection; calls.cpp is for the core, maintenance.cpp for operators;
// group_actions.cpp does what the group decides.
#pragma once

#include <atomic>
#include <chrono>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/office_list.h"
#include "net/buffers.h"
#include "trunk/codec.h"
#include "trunk/outbox.h"

namespace reeltack::trunk {

struct TrunkSettings {
  std::string name;
  ServerId office{};  // under which the module knows the group
  std::uint32_t place = 0;
  std::uint32_t far_place = 0;  // what the far end calls the place that is asked for here
  double capacity = 1.0;
  std::optional<net::Address> dial;  // one of these
  std::optional<net::Address> listen;
  circuits::GroupSettings group;
};

class Trunk final : public core::OfficeBackend, public core::CallerFrontend {
 public:
  Trunk(core::Core& core, core::OfficeList& list, TrunkSettings settings,
        std::vector<std::string> class_names, std::uint64_t incarnation);
  ~Trunk() override;
  void open();   // throws std::runtime_error if it cannot listen
  void close();  // ends the thread; what stands is left to the far end's audit
  [[nodiscard]] bool owns(ServerId office) const { return office == settings_.office; }
  [[nodiscard]] const TrunkSettings& settings() const { return settings_; }

  // For operators, from any thread. Texts are JSON.
  [[nodiscard]] std::string status(bool circuits) const;
  void audit();
  void block(circuits::Cic first, std::uint32_t count, bool at_once);
  void unblock(circuits::Cic first, std::uint32_t count);
  void lose(circuits::Cic first, std::uint32_t count,
            bool lost);  // of the circuits themselves, and their return

  // For the core.
  void listed(bool /*complete*/, const std::vector<core::OfficeEntry>& /*offices*/) override {}
  void start(const core::SetUp& set_up) override;
  void cancel(ServerId office, CallId call, std::uint32_t attempt) override;
  void release(ServerId office, CallId call) override;
  void keep_connection(ServerId /*office*/, bool /*calls_established*/) override {}
  bool established(CallId call, const std::string& description) override;
  void rejected(CallId call, core::FailureReason why, Duration later) override;
  void released(CallId call, int cause) override;
  void ended(CallId call) override;

 private:
  static constexpr Duration kTick = std::chrono::milliseconds(100);  // the longest wait for an event

  struct Words {  // what goes with the message that the group will send for this call
    SetUpWords set_up;
    Time give_up{};  // when the caller of the set-up waits no longer
    std::string description;
    std::uint32_t later_ms = 0;
  };
  void run();
  net::Fd connect();
  net::Fd dial();  // empty: no connection came up in time
  bool await_bytes(const net::Fd& fd, net::Buffer& buffer, Time by);
  bool handshake(const net::Fd& fd, net::Buffer& buffer);
  void serve(const net::Fd& fd, net::Buffer& buffer);
  void connection_begins();
  void connection_ends(const std::string& reason, std::optional<Time> silent_since);
  Time run_timers(Time spoke);
  [[nodiscard]] bool queued_too_much() const;
  enum class Written { nothing, blocked, part, whole, failed };
  Written write_due(const net::Fd& fd, Time now);
  bool await_event(const net::Fd& fd, bool writing, Time due);
  bool read_frames(net::Buffer& buffer);  // false: the connection must end
  void idle(Time until);                  // keeps the group's time while there is no connection
  void carry_out(const circuits::GroupActions& actions, const Words& words, const Signal* from);
  void offer(std::uint64_t call, const Signal& from);
  void report();
  void wake();
  void drain_wakes();
  Time tick();  // the clock, which never goes back here; with the lock held
  void log(const std::string& text) const;

  core::Core& core_;
  core::OfficeList& list_;
  const TrunkSettings settings_;
  const std::vector<std::string> class_names_;
  const std::uint64_t incarnation_;
  net::Fd listener_;
  net::Fd wake_read_;
  net::Fd wake_write_;
  std::atomic<bool> stopping_{false};

  mutable std::mutex lock_;  // guards what follows
  circuits::Group group_;
  std::unordered_map<CallId, std::uint32_t> attempts_;  // of calls that are out
  Outbox outbox_;
  Time last_{};
  std::string state_ = "never connected";
  std::uint64_t connections_ = 0;
  std::uint64_t far_incarnation_ = 0;
  double reported_ = -1.0;

  net::Thread thread_;
};

}  // namespace reeltack::trunk
