// The real program with all its parts on, while the n-th system call of its start fails: it ends with 1 and
// says which call it was and for whom, or it comes up.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>

#include "standin/controller.h"
#include "system_calls/faults.h"

namespace reeltack::test {
namespace {

using namespace std::chrono_literals;
using faults::Call;
using standin::Controller;
using standin::own_host;

struct StartCall {
  Call call{};
  int error = 0;
  // Of which one must be in the message of a start that ended.
  std::vector<std::string> named;
  bool all_final = true;  // no failure of this kind is outlasted
};

std::vector<StartCall> start_calls() {
  return {
      {Call::bind, EADDRINUSE, {"bind: "}},
      {Call::listen, EADDRINUSE, {"listen: "}},
      {Call::pipe2, EMFILE, {"trunk west: pipe2: "}},
      {Call::epoll_create1, EMFILE, {"epoll_create1: ", "epoll: "}},
      {Call::pthread_create, EAGAIN, {"no thread"}},
      // asio does without an eventfd, by a pipe.
      {Call::eventfd, EMFILE, {"eventfd: "}, false},
      // A dial for want of a descriptor is tried again; so is what could not be watched.
      {Call::socket, EMFILE, {"socket: ", "open: "}, false},
      {Call::epoll_ctl, ENOMEM, {"epoll_ctl: ", "open: "}, false},
  };
}

standin::ControllerSetup with_all_parts() {
  standin::ControllerSetup out;
  out.binary = REELTACK_START_FAULTS;
  out.dir = ::testing::TempDir() + "start-calls-" + std::to_string(::getpid());
  out.sip = {own_host(1), 5060};
  out.websocket = own_host(1) + ":5070";
  out.mgmt = own_host(1) + ":5080";
  out.bulletin = own_host(2) + ":2379";  // nobody is there
  out.classes.push_back({"voice", 2s, 9s, 1.0, 0.25});
  out.trunks = "trunks:\n  - {name: west, office: s-0000f001, place: 0, far_place: 9, listen: \"" +
               own_host(1) + ":2907\", circuits: 4, point_code: 2, far_point_code: 1}\n";
  out.fleet = "fleet:\n  id: start\n  zone: z\n  listen: \"" + own_host(1) +
              ":7946\"\n  size: 2\n  seeds: [\"" + own_host(2) + ":7946\"]\n";
  out.admin = true;
  return out;
}

struct Ended {
  bool up = false;
  int status = 0;  // of its exit; -1: a signal ended it
  std::string log;
};
bool has_ended(pid_t pid, siginfo_t& how) {
  how = {};
  return ::waitid(P_PID, static_cast<id_t>(pid), &how, WEXITED | WNOHANG | WNOWAIT) == 0 && how.si_pid == pid;
}
Ended start_with(const std::string& fault) {
  ::setenv("REELTACK_FAULT", fault.c_str(), 1);
  Controller program(with_all_parts(), false);
  program.launch();
  ::unsetenv("REELTACK_FAULT");
  Ended out;
  siginfo_t how{};
  while (!has_ended(program.pid(), how)) {
    std::this_thread::sleep_for(2ms);
    if (out.up || program.log().find(" is up with ") == std::string::npos) continue;
    out.up = true;
    program.signal(SIGTERM);
  }
  out.status = how.si_code == CLD_EXITED ? how.si_status : -1;
  out.log = program.log();
  program.ended();
  return out;
}
bool names_one(const std::string& log, const std::vector<std::string>& named) {
  const std::size_t said = log.find("reeltack: ");
  if (said == std::string::npos) return false;
  const std::string message = log.substr(said, log.find('\n', said) - said);
  return std::any_of(named.begin(), named.end(),
                     [&message](const std::string& one) { return message.find(one) != std::string::npos; });
}

class StartCalls : public ::testing::TestWithParam<StartCall> {};

TEST_P(StartCalls, EachThatFailsIsNamedAndEndsTheProgramWithOne) {
  const StartCall& kind = GetParam();
  constexpr int kMost = 100;
  constexpr int kServes = 3;  // so many come up one after the other: these calls are no more of the start
  int visited = 0;
  int refused = 0;
  int up_in_a_row = 0;
  for (int n = 1; n <= kMost && !HasFailure(); ++n) {
    const std::string fault = std::string(faults::name_of(kind.call)) + " " + std::to_string(n) + " ";
    SCOPED_TRACE(fault);
    const Ended ended = start_with(fault + std::to_string(kind.error));
    if (ended.log.find("calls failed: 0") != std::string::npos) break;
    ++visited;
    if (ended.up) {
      EXPECT_FALSE(kind.all_final) << ended.log;
      EXPECT_EQ(ended.status, 0) << ended.log;
      if (++up_in_a_row == kServes) break;
      continue;
    }
    up_in_a_row = 0;
    ++refused;
    EXPECT_EQ(ended.status, 1) << ended.log;
    EXPECT_TRUE(names_one(ended.log, kind.named)) << ended.log;
  }
  std::cout << faults::name_of(kind.call) << ": " << visited << " starts with a failed call, " << refused
            << " ended with 1\n";
  EXPECT_GT(visited, 0);
}

INSTANTIATE_TEST_SUITE_P(SystemCalls, StartCalls, ::testing::ValuesIn(start_calls()),
                         [](const auto& kind) { return std::string(faults::name_of(kind.param.call)); });

}  // namespace
}  // namespace reeltack::test
