// A fleet of real processes with everything between them: controllers, offices, bulletin, relays and callers.
//
// Owns: the stand-ins of one test, the controllers' files, and the load that is played on them.
// Must never: judge; tests do. Whatever it started ends with it.
#pragma once

#include <unistd.h>

#include <atomic>
#include <filesystem>
#include <functional>
#include <future>
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
  std::string first_binary = {};  // of n0; empty: as the others
  std::size_t controllers = 12;
  std::size_t without_fleet = 0;  // the last so many of them, as without the section
  std::size_t offices = 8;
  bool fleet = true;          // false: each alone, as without the section
  bool store = true;          // with the fleet: what is kept
  bool offices_known = true;  // false: started with an empty list, and no bulletin tells it
  // Two bulletins told by hand (lists()), the second followed by the later half; the offices' own tells
  // nobody.
  bool two_lists = false;
  std::size_t zones = 3;         // controllers are dealt out to them
  double rate = 120.0;           // set-ups a second over all
  Duration load_duration = 20s;  // of the load
  std::uint64_t seed = 1;
  std::string processor = "{set_up: 8ms, answer: 4ms, release: 4ms, refuse: 2ms, repeat: 2ms}";
  std::string troubles = {};  // of the offices, as in a centrales' file; empty: none
  std::string recovery = {};  // YAML flow mapping for `recovery`; empty: the defaults
  Duration ramp = 15s;        // of cold offices
  // Each may name a file with a version of the rules, rules.yaml in its folder; the last word on its setup.
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
  // As the first whole list has it: ready, long there. By position.
  [[nodiscard]] standin::Bulletin::Entry entry(std::size_t office) const;
  [[nodiscard]] base::Address sip(std::size_t i) const { return {host_, port(5100, i)}; }
  [[nodiscard]] base::Address mgmt(std::size_t i) const { return {host_, port(5300, i)}; }
  // The bulletin is cut off from every controller, or there again.
  void set_discovery_reachable(bool on) {
    if (on)
      between_->clear({{"*"}, {"bulletin"}, true});
    else
      between_->set({{"*"}, {"bulletin"}, true}, standin::Fault{.cut = true});
  }

  // proxy.fleet_NAME of a controller's figures; -1: not told, or it does not answer.
  [[nodiscard]] std::int64_t figure(std::size_t i, const std::string& name) const;
  // When it answered READY for the first time; it has been launched. Several may be awaited side by side.
  [[nodiscard]] Time ready_time_of(std::size_t i, Duration most) const;
  [[nodiscard]] std::int64_t list_number() const;  // of the bulletin's newest event
  // Waits until what `holds` says is so for every controller that is up; false: not within `most`.
  template <typename Holds>
  bool until(Duration most, Holds holds) {
    for (const Time end = base::now() + most; base::now() < end;) {
      if (holds()) return true;
      ::usleep(20'000);
    }
    return holds();
  }
  bool all(const std::string& figure_name, std::int64_t value) {
    for (std::size_t i = 0; i < settings_.controllers; ++i) {
      if (pack_->state(i) == standin::Pack::State::up && figure(i, figure_name) != value) return false;
    }
    return true;
  }

  // A first load for so long, as play() with its end awaited.
  void warm(Duration lasts) {
    load::Scenario scenario = this->scenario();
    scenario.duration = lasts;
    load::PlayerOptions options;
    for (std::size_t i = 0; i < settings_.controllers; ++i)
      options.targets.push_back({load::Target::Kind::sip, sip(i)});
    static_cast<void>(load::play(scenario, options));
  }
  // The load, on a thread of its own, to all controllers, or to those from one on.
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
