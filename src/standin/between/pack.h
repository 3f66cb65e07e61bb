// The processes of a fleet: several controllers started together, killed, frozen, restarted, given other
// stores.
//
// Owns: the processes, their folders, and the copies of their stores.
// Must never: end a process that it did not start, leave one running, or judge.
//
// Each controller has a management address, by whose READY it counts as up. Its store is the folder `store`
// in its own; it stays when the process ends. A member is down, up or frozen; a call that its state does not
// allow throws std::logic_error. std::runtime_error where one is not ready in time, or a copy fails. Members
// by position. All processes are children of one thread of the pack's: they die with it, whatever ends the
// test, and calls may come from any thread, one at a time.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "standin/controller.h"

namespace reeltack::standin {

struct PackSettings {
  std::vector<ControllerSetup> members;  // each with `mgmt`, and a `dir` of its own
  Duration ready_within = std::chrono::seconds(20);
  Duration ends_within = std::chrono::seconds(10);  // after SIGTERM
};

class Pack {
 public:
  enum class State { down, up, frozen };

  explicit Pack(PackSettings settings);  // writes their folders; all are down
  ~Pack();                               // kills what runs
  Pack(const Pack&) = delete;
  Pack& operator=(const Pack&) = delete;

  void start_all();                 // all that are down, side by side; returns when all are ready
  void start(std::size_t i);        // down -> up
  void launch(std::size_t i);       // as start, without waiting for READY
  void await_ready(std::size_t i);  // what was launched
  void kill(std::size_t i);         // SIGKILL; up or frozen -> down
  void kill_all_at_once();          // SIGKILL to all that run before any of their ends is awaited
  // SIGTERM; up -> down. False: it did not end with 0, or not in time (it is killed then).
  bool terminate(std::size_t i);
  void freeze(std::size_t i);  // SIGSTOP, awaited; up -> frozen
  void thaw(std::size_t i);    // SIGCONT; frozen -> up

  [[nodiscard]] State state(std::size_t i) const;
  [[nodiscard]] bool ended_by_itself(std::size_t i);  // it was up and is down now without our doing
  [[nodiscard]] std::size_t size() const;
  [[nodiscard]] Controller& member(std::size_t i);  // its log, use and process id; not to be ended through it
  [[nodiscard]] std::string dir(std::size_t i) const;
  [[nodiscard]] std::string store(std::size_t i) const;  // dir/store: to be named in the fleet's YAML

  // The store as it is now, under a tag; of one that is up it is taken while frozen, as a crash would leave
  // it.
  void save_store(std::size_t i, const std::string& tag);
  void restore_store(std::size_t i, const std::string& tag);  // these three: down alone
  void empty_store(std::size_t i);
  void take_store_of(std::size_t i, std::size_t other);  // a copy; the other one down or frozen

  // Both count from the next start.
  void set_fleet(std::size_t i, const std::string& yaml);
  void set_clock_offset(std::size_t i, Duration offset);  // fleet.clock_offset_ms of its YAML, in whole ms

 private:
  class World;
  std::unique_ptr<World> world_;
};

}  // namespace reeltack::standin
