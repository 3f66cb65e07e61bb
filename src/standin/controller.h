// A controller under test as a process of its own: configured, started, watched and ended.
//
// Owns: the process, its folder of configuration, and its log.
// Must never: end a process that it did not start, or leave one running.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "base/base.h"

namespace reeltack::standin {

struct ControllerClass {
  std::string name;
  Duration aim{};
  Duration deadline{};
  double worth = 1.0;
  double late_worth = 0.25;
};
struct ControllerSetup {
  std::string binary;
  std::string dir;  // made, and removed at the end
  std::string name = "reeltack";
  base::Address sip;
  std::string websocket;  // HOST:PORT; empty: off
  std::size_t websocket_connections = 128;
  std::string mgmt;      // HOST:PORT of its management address; empty: off
  std::string bulletin;  // HOST:PORT; empty: none
  std::string known;     // as Centrales::known_json tells; empty: none
  std::vector<ControllerClass> classes;
  std::uint32_t gateways = 1;
  std::uint32_t attempts = 5;  // at most, of a call
  std::size_t sockets = 1024;
  std::size_t memory_mb = 192;
  int cpu = -1;  // pinned to this one; -1: any
  // The rules on cold centrales.
  double cold_from = 0.33;
  Duration ramp = std::chrono::seconds(15);
  double fall_multiple = 2.0;
  std::string trunks;                  // YAML of trunk groups; empty: none
  std::string fleet;                   // YAML of its fleet, fleet.yaml in its folder; empty: none
  bool keep_dir = false;               // the folder stays at the end
  bool admin = false;                  // an operators' socket, admin.sock in its folder
  std::vector<std::string> arguments;  // further ones
  // Killed with the thread that starts it (PR_SET_PDEATHSIG goes by threads), so that none is left behind.
  bool dies_with_its_thread = false;
};

class Controller {
 public:
  // `up`: started and awaited; throws std::runtime_error if it is not up within 10 s. Else its folder is
  // written alone.
  explicit Controller(ControllerSetup setup, bool up = true);
  ~Controller();
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  void restart(bool orderly, Duration pause);  // SIGTERM or SIGKILL, then a new one under the same name
  // A new one starts beside the old, on the same addresses; once it is up, SIGTERM for the old, whose end is
  // awaited. False: the old one ended badly.
  bool replace();
  bool stop();  // in order; false: it ended badly
  // In steps, for several at once. Launched, it may still fail; whoever launches asks whether it ended.
  void launch();               // must not run
  [[nodiscard]] bool ended();  // it ran and has ended by itself: true once, with `pid` -1 from then on
  void end(int signal);        // its end is awaited
  // To this process alone. Throws std::logic_error where none runs: a negative id is everybody to kill(2).
  void signal(int number) const;
  void write_fleet(const std::string& yaml);  // for its next start
  [[nodiscard]] pid_t pid() const { return pid_; }
  struct Use {
    double cpu_seconds = 0.0;
    double resident_mb = 0.0;
    int threads = 0;
  };
  [[nodiscard]] Use use() const;
  [[nodiscard]] std::string log() const;  // all that it said so far
  [[nodiscard]] const ControllerSetup& setup() const { return setup_; }
  [[nodiscard]] std::string admin_socket() const { return setup_.dir + "/admin.sock"; }

 private:
  void start();
  const ControllerSetup setup_;
  pid_t pid_ = -1;
};

// An address of this process alone, for tests and demos that run side by side: 127.X.Y.last.
std::string own_host(int last);

}  // namespace reeltack::standin
