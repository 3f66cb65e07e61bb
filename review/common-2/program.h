// The program under test as a process of its own, started as the deploy file starts it, and its settings:
// those of a small deployment.
#pragma once

#include <signal.h>
#include <sys/wait.h>

#include <fstream>
#include <sstream>

#include "net.h"

namespace kit {

class Process {
 public:
  // Run from the root of the repository: exec build/reeltack FRONTS.
  Process(const std::string& fronts, const std::string& config, const std::string& log) {
    pid_ = ::fork();
    if (pid_ == 0) {
      ::setenv("PROXY_CONFIG", config.c_str(), 1);
      for (const char* name : {"PROXY_NAME", "PROXY_LISTEN", "PROXY_MGMT"}) ::unsetenv(name);
      const int to = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(to, 1);
      ::dup2(to, 2);
      const std::string command = "exec build/reeltack " + fronts;
      ::execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
      ::_exit(127);
    }
  }
  ~Process() { end(); }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  void signal(int which) {
    if (!over()) ::kill(pid_, which);
  }
  bool over() {
    if (over_) return true;
    if (::waitpid(pid_, &status_, WNOHANG) == pid_) over_ = true;
    return over_;
  }
  std::string how() const {
    if (!over_) return "runs";
    if (WIFEXITED(status_)) return "exit status " + std::to_string(WEXITSTATUS(status_));
    return "signal " + std::to_string(WTERMSIG(status_));
  }
  void end() {
    if (over()) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, &status_, 0);
    over_ = true;
  }

 private:
  pid_t pid_ = -1;
  int status_ = 0;
  bool over_ = false;
};

inline void write_file(const std::string& path, const std::string& text) {
  std::ofstream out(path, std::ios::binary | std::ios::trunc);
  out << text;
  if (!out) cannot_run("cannot write " + path);
}
inline std::string read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

inline const char* kSettings = R"({
    "Balancers": 1,
    "Classes": [
      {"Name": "estado-viaje", "GoalTimeNs": 1500000000, "DeadlineNs": 9000000000, "Points": 1, "LateValue": 0.25, "Effect": "repeatable", "KeyScope": "all", "Stream": true, "WindowNs": 5000000000},
      {"Name": "pedido-viaje", "GoalTimeNs": 2000000000, "DeadlineNs": 9000000000, "Points": 3, "LateValue": 0.25, "Effect": "repeatable", "KeyScope": "all", "Stream": true, "WindowNs": 5000000000}
    ],
    "Domain": {"Shape": "pools", "ReleaseGuardNs": 300000000, "ResendNs": 500000000, "SelfNo": -1, "ClassCells": ["0,1", "0,1"]},
    "LoadReport": {"Columns": ["free", "size", "utilization", "backlog"], "Source": "piggyback"},
    "MembershipMode": "push",
    "Obligations": {"ColdFrom": 0.33, "RampTimeNs": 15000000000, "FallMultiple": 2.0, "FallNs": 1000000000, "GraceToAnswerNs": 20000000, "StopSendingWithinNs": 250000000},
    "PolicyLimits": {"AttemptsCap": 5, "Cancel": true, "RetryAfter": true, "MaxRetryAfterNs": 2000000000, "DialTimeoutNs": 500000000, "ConnIdleNs": 600000000000},
    "TickNs": 5000000,
    "Zones": ["montevideo", "canelones"]
  })";

// `extra`: further keys, each followed by a comma.
inline std::string config(std::uint16_t listen, std::uint16_t mgmt, const std::string& extra,
                          const std::string& name = "n1") {
  return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + std::to_string(listen) +
         "\",\"mgmt\":\"127.0.0.1:" + std::to_string(mgmt) + "\",\"seed\":\"8c1f30d27a5be964\",\n" +
         "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\n" + extra +
         "\"settings\":" + kSettings + "}\n";
}

}  // namespace kit
