// A fixed exchange over a trunk group between two of the program's own ends, on real sockets in one process.
//
// Owns: both ends with a core each, a caller at the one and an endpoint at the other; the script that they
// play;
//   and what must hold of every call whatever has failed: one final answer, no call at the endpoint twice,
//   all circuits idle at the end.
// Must never: expect that nothing failed: that is asked for by name (expect_undisturbed()).
//
// Threads: the test's own, which is exempt from faults (faults::TestThread).
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>

#include "core/office_list.h"
#include "trunk/trunk.h"

namespace reeltack::test {

// What an endpoint or a caller saw of a call.
struct CallSeen {
  int starts = 0;
  int stands = 0;
  int refusals = 0;
  int releases = 0;
  int over = 0;  // at the endpoint: given up, or released by the caller
};
class SeenCalls {
 public:
  CallSeen of(CallId call);
  void note(CallId call, int CallSeen::*what);
  [[nodiscard]] std::map<CallId, CallSeen> all();

 private:
  std::mutex lock_;
  std::map<CallId, CallSeen> calls_;
};

// Answers by the last digit of the number called.
class TrunkEndpoint final : public core::OfficeBackend {
 public:
  static constexpr int kAnswers = 1, kBusy = 2, kSilent = 3;
  explicit TrunkEndpoint(core::Core& core) : core_(core) {}
  void listed(bool /*complete*/, const std::vector<core::OfficeEntry>& /*endpoints*/) override {}
  void start(const core::SetUp& set_up) override;
  void cancel(ServerId /*endpoint*/, CallId call, std::uint32_t /*attempt*/) override {
    seen.note(call, &CallSeen::over);
  }
  void release(ServerId /*endpoint*/, CallId call) override { seen.note(call, &CallSeen::over); }
  void keep_connection(ServerId /*endpoint*/, bool /*calls_established*/) override {}
  void hang_up(CallId call);
  SeenCalls seen;

 private:
  core::Core& core_;
};

class TrunkCaller final : public core::CallerFrontend {
 public:
  bool established(CallId call, const std::string& /*description*/) override {
    return seen.note(call, &CallSeen::stands), true;
  }
  void rejected(CallId call, core::FailureReason /*why*/, Duration /*later*/) override {
    seen.note(call, &CallSeen::refusals);
  }
  void released(CallId call, int /*cause*/) override { seen.note(call, &CallSeen::releases); }
  void ended(CallId /*call*/) override {}
  SeenCalls seen;
};

class TrunkExchange {
 public:
  TrunkExchange();
  ~TrunkExchange();
  void start();  // throws std::runtime_error where an end can't start
  void play();
  void expect_serving();  // a further call stands, at the third try at the latest
  void expect_idle();     // every circuit, at both ends
  void expect_each_answered_once();
  void expect_undisturbed();
  void close();

  static bool until(const std::function<bool()>& holds);  // false: not within 10 s
  [[nodiscard]] bool all_idle() const;
  void invite(std::uint64_t call, int behaviour);
  bool await_final(std::uint64_t call);
  // Of a status of a trunk: a figure.
  static double figure(const trunk::Trunk& of, const std::string& key);

  static constexpr std::uint32_t kCircuits = 4;
  std::unique_ptr<trunk::Trunk> dialling, listening;
  std::unique_ptr<TrunkEndpoint> endpoint;
  TrunkCaller caller;
  core::Core near, far;

 private:
  core::OfficeList near_list_, far_list_;
  std::unique_ptr<core::OfficeRouter> far_sides_;
  std::uint64_t further_ = 100;  // calls of expect_serving()
  bool closed_ = false;
};

}  // namespace reeltack::test
