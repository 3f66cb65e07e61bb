// Several Controllers that share no state, with fake servers, in virtual time.
//
// Deterministic: equal plans and seeds give equal runs. Arrivals are Poisson. Each controller is notified of
// changes of the servers after a delay of its own. A server answers a call once the work queued before it and
// the call itself are done.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <unordered_map>
#include <vector>

#include "budget.h"
#include "reeltack/controller.h"

namespace reeltack::test {

/// The parameters of a world.
struct WorldPlan {
  Settings settings;                 // of every controller
  std::size_t controllers = 1;       // number that run
  std::vector<double> traffic{};     // weight of each controller's arrivals; empty: all equal
  std::vector<double> class_work{};  // work of a call of each class; empty: all equal
  std::uint64_t seed = 1;
};

/// The account of one start of a server, through its ramp.
struct SlowStart {
  WindowAccount all;       // requests of all controllers
  WindowAccount notified;  // requests of controllers that had been notified of this start
};

class World {
 public:
  explicit World(WorldPlan plan);

  /// Schedules the step for this time.
  void at(Time time, std::function<void()> step);
  /// Runs all steps that are due until then.
  void run_until(Time end);
  [[nodiscard]] Time now() const { return now_; }

  /// Sets the arrival rate from now on, over all controllers.
  void set_load(double calls_per_second);

  /// Adds a server that is warm already (started long ago); every controller is notified at once.
  void add_warm(std::uint32_t server, double capacity_per_second);
  /// A server starts now, for the first time or again; each controller is notified within `max_delay`.
  void start(std::uint32_t server, double capacity_per_second, Duration max_delay);
  /// A server stops answering now.
  void crash(std::uint32_t server);
  /// A server is removed for good; each controller is notified within `max_delay`.
  void remove(std::uint32_t server, Duration max_delay);
  /// This fraction of the controllers restarts now, without memory and with the present list.
  void restart_controllers(double fraction);

  [[nodiscard]] const std::vector<SlowStart>& starts() const { return starts_; }
  [[nodiscard]] std::size_t answered() const { return answered_; }
  [[nodiscard]] std::size_t arrived() const { return next_call_; }

 private:
  struct Member {
    std::unique_ptr<Controller> controller;
    std::uint32_t generation = 0;                   // number of its present run; counts its starts
    std::map<std::uint32_t, Time> known_starts{};   // of each server, as it was notified
    std::unordered_map<CallId, Time> open_calls{};  // calls without a final answer; when their callers leave
    std::unordered_map<CallId, std::uint32_t> class_of{};
    std::unordered_map<CallId, std::uint32_t> attempts{};
  };
  struct FakeServer {
    double capacity = 0.0;
    Time started_at{};  // the clock's epoch means long ago
    bool up = false;
    bool listed = false;
    Time busy_until{};
    std::uint64_t start_number = 0;        // distinguishes its starts and crashes
    std::optional<std::size_t> account{};  // index in starts_ of its present start
  };
  struct Step {
    Time time{};
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Step& other) const {
      return time != other.time ? time > other.time : order > other.order;
    }
  };

  void start_controller(std::size_t member);
  void schedule_arrival(std::uint64_t stream);
  void arrive();
  void report(std::size_t member, std::uint32_t generation, const Event& event);
  void execute(std::size_t member, const Action& action);
  void send(std::size_t member, const SendSetUp& send);
  void answer(std::size_t member, const SendSetUp& send, std::uint32_t attempt, double work);
  void schedule_end(std::size_t member, Duration after, AttemptEnded ended);
  void notify(std::uint32_t server, Duration max_delay);
  [[nodiscard]] static ServerEntry list_entry(std::uint32_t id, const FakeServer& server);
  double uniform() { return std::uniform_real_distribution<double>()(random_); }
  Duration random_delay(Duration max_delay);

  WorldPlan plan_;
  std::mt19937_64 random_;
  std::discrete_distribution<std::size_t> next_controller_;  // the controller that gets the next call
  double mean_work_ = 1.0;
  std::vector<Member> members_;
  std::map<std::uint32_t, FakeServer> servers_;
  std::vector<SlowStart> starts_;
  std::priority_queue<Step> steps_;
  Time now_{std::chrono::seconds(100)};
  double calls_per_second_ = 0.0;
  std::uint64_t stream_ = 0;  // number of the arrival process; each change of the load starts a new one
  std::uint64_t next_step_ = 0;
  std::uint64_t next_call_ = 0;
  std::uint64_t next_start_ = 0;
  std::size_t answered_ = 0;
};

}  // namespace reeltack::test
