// A fixed exchange with the program's own fronts, core and endpoint links, on real sockets in one process.
//
// Owns: the program's parts, two fake endpoints and a client; the script that they play; and what must hold
// of
//   every call whatever has failed: one final answer in time, no INVITE twice, nothing left open.
// Must never: expect that nothing failed: that is asked for by name (expect_undisturbed()).
//
// Threads: the test's own, which its creator exempts from faults (faults::TestThread).
#pragma once

#include <atomic>
#include <functional>
#include <memory>

#include "core/core.h"
#include "platform/offices.h"
#include "platform/sip.h"
#include "system_calls/peers.h"

namespace reeltack::test {

class Exchange {
 public:
  Exchange();
  ~Exchange();
  void start();  // throws std::runtime_error where the program can't start
  // The endpoints, which are dialled then. The bell of the links' loop has rung: its calls are among those
  // visited.
  void list();
  // Calls that stand, are refused, released and cancelled, and two in one write.
  void play();
  // A further call stands, at the third try at the latest.
  void expect_serving();
  // A call is in the listener's queue as the program is asked to end.
  void finish();

  void expect_each_answered_once() const;  // but for those whose connection was cut
  void expect_undisturbed() const;         // what each gets where nothing fails
  [[nodiscard]] std::size_t cut() const;   // calls whose connection ended first

  // Steps all peers until it holds; false: not within 10 s.
  bool until(const std::function<bool()>& holds);
  void invite(const std::string& wire, std::uint64_t call, int behaviour);
  bool await_final(std::uint64_t call);  // or the end of its connection
  void release(std::uint64_t call);
  [[nodiscard]] int starts(std::uint64_t call) const;

  // Endpoints that the program has taken for unreachable.
  [[nodiscard]] int blamed() const { return blame_.count; }

  net::Address front;
  std::vector<FakeEndpoint> endpoints;
  std::unique_ptr<FakeClient> client;
  std::unique_ptr<core::Core> core;
  std::unique_ptr<platform::Offices> links;
  std::unique_ptr<platform::SipFrontend> sip;

 private:
  struct Blame final : core::OfficeObserver {
    void observed(ServerId /*endpoint*/, OfficeObservation what) override {
      count += what == OfficeObservation::unreachable ? 1 : 0;
    }
    std::atomic<int> count{0};
  };
  Blame blame_;
  std::uint64_t further_ = 100;  // calls of expect_serving()
};

}  // namespace reeltack::test
