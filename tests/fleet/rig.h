// A fleet of real processes and everything around it: controllers, offices, bulletins, the fault proxy and
// callers.
//
// Holds the fakes of one test, the controllers' files and the load. It does not judge results. Every process
// that it started ends with it.
#pragma once

#include <unistd.h>

#include <atomic>
#include <filesystem>
#include <functional>
#include <future>
#include <limits>
#include <memory>
#include <string>
#include <vector>

#include "lists.h"
#include "load/player.h"
#include "mgmt/client.h"
#include "standin/between/between.h"
#include "standin/between/pack.h"
#include "standin/centrales.h"

namespace reeltack::rig {

using namespace std::chrono_literals;

struct RigSettings {
  std::string binary = REELTACK_BINARY;
  std::string first_binary = {};  // binary of n0; empty: the same as the others
  std::size_t controllers = 12;
  std::size_t without_fleet = 0;  // the last so many of them have no `fleet` section
  std::size_t offices = 8;
  bool fleet = true;          // false: no controller has a `fleet` section
  bool store = true;          // with the fleet: whether state is stored
  bool offices_known = true;  // false: started with an empty office list and without a bulletin
  // Two bulletins filled by the test (lists()); the second half of the controllers follows the second. The
  // offices' own bulletin has no followers.
  bool two_lists = false;
  std::size_t zones = 3;         // controllers are distributed over the zones in turn
  double rate = 120.0;           // set-ups per second over all controllers
  Duration load_duration = 20s;  // how long the load lasts
  std::uint64_t seed = 1;
  std::string processor = "{set_up: 8ms, answer: 4ms, release: 4ms, refuse: 2ms, repeat: 2ms}";
  std::string troubles = {};  // faults of the offices, as in a centrales file; empty: none
  std::string recovery = {};  // YAML flow mapping for `recovery`; empty: the defaults
  Duration ramp = 15s;        // ramp of cold offices
  // Whether each controller names a file with a version of the rules, rules.yaml in its folder. `adjust` may
  // change its set-up last.
  bool rules = false;
  std::function<void(std::size_t, standin::ControllerSetup&)> adjust = {};
};

class Rig {
 public:
  explicit Rig(RigSettings settings);

  static std::string name(std::size_t i) { return "n" + std::to_string(i); }
  [[nodiscard]] standin::Pack& pack() { return *pack_; }
  [[nodiscard]] standin::Between& between() { return *between_; }
  [[nodiscard]] standin::Centrales& offices() { return *offices_; }
  [[nodiscard]] Lists& lists() { return *lists_; }
  // The list entry of the office with this index: ready and long in service.
  [[nodiscard]] standin::Bulletin::Entry entry(std::size_t office) const;
  [[nodiscard]] base::Address sip(std::size_t i) const { return {host_, port(5100, i)}; }
  [[nodiscard]] base::Address mgmt(std::size_t i) const { return {host_, port(5300, i)}; }
  // Disconnects the bulletin from every controller, or connects it again.
  void set_discovery_reachable(bool on) {
    if (on)
      between_->clear({{"*"}, {"bulletin"}, true});
    else
      between_->set({{"*"}, {"bulletin"}, true}, standin::Fault{.cut = true});
  }

  // proxy.fleet_NAME of a controller's figures; -1 if it is missing or the controller does not answer.
  [[nodiscard]] std::int64_t figure(std::size_t i, const std::string& name) const;
  // Waits until a launched controller answers READY and returns that time. May be called concurrently.
  [[nodiscard]] Time ready_time_of(std::size_t i, Duration limit) const;
  [[nodiscard]] std::int64_t list_number() const;  // number of the bulletin's newest event
  // Waits until `holds` returns true; false if it does not within `limit`.
  template <typename Holds>
  bool until(Duration limit, Holds holds) {
    for (const Time end = base::now() + limit; base::now() < end;) {
      if (holds()) return true;
      ::usleep(20'000);
    }
    return holds();
  }
  // Whether all controllers that are up, from index `from` to before `to`, report this value.
  bool all(const std::string& figure_name, std::int64_t value, std::size_t from = 0,
           std::size_t to = std::numeric_limits<std::size_t>::max()) {
    for (std::size_t i = from; i < std::min(to, settings_.controllers); ++i) {
      if (pack_->state(i) == standin::Pack::State::up && figure(i, figure_name) != value) return false;
    }
    return true;
  }

  // Plays a first load of this duration and waits for its end.
  void warm(Duration lasts) {
    load::Scenario scenario = this->scenario();
    scenario.duration = lasts;
    load::PlayerOptions options;
    for (std::size_t i = 0; i < settings_.controllers; ++i)
      options.targets.push_back({load::Target::Kind::sip, sip(i)});
    static_cast<void>(load::play(scenario, options));
  }
  // Starts the load on a thread of its own, against all controllers or those from index `from` on.
  void play(std::size_t from = 0) {
    playing_ = std::async(std::launch::async, [this, from] {
      load::PlayerOptions options;
      for (std::size_t i = from; i < settings_.controllers; ++i)
        options.targets.push_back({load::Target::Kind::sip, sip(i)});
      options.stop = &stop_;
      options.keep_tries = true;
      return load::play(scenario(), options);
    });
  }
  void stop_load() { stop_ = true; }  // early; what waits is awaited for no longer than one scenario's settle
  std::unique_ptr<load::Played> played() { return playing_.get(); }
  [[nodiscard]] load::Scenario scenario() const;

 private:
  static std::uint16_t port(int first, std::size_t i) {
    return static_cast<std::uint16_t>(first + static_cast<int>(i));
  }
  [[nodiscard]] base::Address link(std::size_t i) const { return {host_, port(7100, i)}; }
  [[nodiscard]] standin::ControllerSetup setup(std::size_t i) const;
  [[nodiscard]] std::string yaml(std::size_t i) const;

  const RigSettings settings_;
  const std::string host_;
  std::unique_ptr<standin::Centrales> offices_;
  std::unique_ptr<Lists> lists_;
  std::unique_ptr<standin::Between> between_;
  std::unique_ptr<standin::Pack> pack_;
  std::atomic<bool> stop_{false};
  std::future<std::unique_ptr<load::Played>> playing_;
};

}  // namespace reeltack::rig
