// Controllers in one process that share nothing, in virtual time, before fake servers.
//
// Deterministic: equal plans and seeds give equal runs. Arrivals are Poisson; what the controllers learn of
// the servers reaches each of them with a delay of its own; a server answers after the work in front of a
// call.
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

/// What a world is built from.
struct WorldPlan {
  Settings settings;                 // what every controller holds
  std::size_t controllers = 1;       // how many run
  std::vector<double> traffic{};     // weight of each controller's arrivals; empty: all alike
  std::vector<double> class_work{};  // work of each class; empty: all alike
  std::uint64_t seed = 1;
};

/// One start of a server that is followed through its ramp.
struct SlowStart {
  WindowAccount all;       // whoever sent
  WindowAccount notified;  // senders that had been notified of this start
};

class World {
 public:
  explicit World(WorldPlan plan);

  /// Runs the given step once the clock has come so far.
  void at(Time time, std::function<void()> step);
  /// Runs all that falls due until then.
  void run_until(Time end);
  [[nodiscard]] Time now() const { return now_; }

  /// New calls a second from now on, over all controllers.
  void load(double calls_a_second);

  /// A server that is warm already (started long ago); every controller is notified at once.
  void add_warm(std::uint32_t server, double capacity_a_second);
  /// A server starts now, for the first time or anew; each controller is notified within `lateness`.
  void start(std::uint32_t server, double capacity_a_second, Duration lateness);
  /// A server stops answering now.
  void crash(std::uint32_t server);
  /// A server has gone for good; each controller is notified within `lateness`.
  void remove(std::uint32_t server, Duration lateness);
  /// This part of the controllers restarts now, without memory and with the present list.
  void restart_controllers(double part);

  [[nodiscard]] const std::vector<SlowStart>& starts() const { return starts_; }
  [[nodiscard]] std::size_t answered() const { return answered_; }
  [[nodiscard]] std::size_t arrived() const { return next_call_; }

 private:
  struct Member {
    std::unique_ptr<Controller> controller;
    std::uint32_t life = 0;                   // counts its restarts
    std::map<std::uint32_t, Time> knows{};    // the start of each server that it was notified of
    std::unordered_map<CallId, Time> open{};  // calls that it owes a final answer; when their callers leave
    std::unordered_map<CallId, std::uint32_t> class_of{};
    std::unordered_map<CallId, std::uint32_t> attempts{};
  };
  struct FakeServer {
    double capacity = 0.0;
    Time started{};  // clock's epoch: long ago
    bool up = false;
    bool listed = false;
    Time busy_until{};
    std::uint64_t start_number = 0;         // tells one start from the next
    std::optional<std::size_t> followed{};  // its place in starts_
  };
  struct Step {
    Time time{};
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Step& other) const {
      return time != other.time ? time > other.time : order > other.order;
    }
  };

  void launch(std::size_t member);
  void next_arrival(std::uint64_t stream);
  void arrive();
  void hand_over(std::size_t member, std::uint32_t life, const Event& event);
  void carry_out(std::size_t member, const Action& action);
  void send(std::size_t member, const SendSetUp& send);
  void answer(std::size_t member, const SendSetUp& send, std::uint32_t attempt, double work);
  void end_later(std::size_t member, Duration after, AttemptEnded ended);
  void notify(std::uint32_t server, Duration lateness);
  [[nodiscard]] static ServerEntry listed(std::uint32_t id, const FakeServer& server);
  double uniform() { return std::uniform_real_distribution<double>()(random_); }
  Duration within(Duration span);

  WorldPlan plan_;
  std::mt19937_64 random_;
  std::discrete_distribution<std::size_t> sender_;
  double mean_work_ = 1.0;
  std::vector<Member> members_;
  std::map<std::uint32_t, FakeServer> servers_;
  std::vector<SlowStart> starts_;
  std::priority_queue<Step> steps_;
  Time now_{std::chrono::seconds(100)};
  double calls_a_second_ = 0.0;
  std::uint64_t stream_ = 0;  // of arrivals; a change of the load begins another
  std::uint64_t next_step_ = 0;
  std::uint64_t next_call_ = 0;
  std::uint64_t next_start_ = 0;
  std::size_t answered_ = 0;
};

}  // namespace reeltack::test
