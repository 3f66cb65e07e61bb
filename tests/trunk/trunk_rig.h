// A controller with a trunk group, its callers, and what the operators' socket tells of the group.
#pragma once

#include <gtest/gtest.h>
#include <unistd.h>

#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "admin/admin.h"
#include "base/json.h"
#include "load/player.h"
#include "standin/controller.h"
#include "standin/far_end.h"

namespace reeltack::trunk {

using namespace std::chrono_literals;
using standin::Controller;
using standin::FarEnd;
using standin::own_host;

class Trunks : public ::testing::Test {
 protected:
  static std::string group(const std::string& more, std::uint32_t size = 100) {
    return "trunks:\n  - {name: west, office: s-0000f001, place: 0, far_place: 9, listen: \"" + own_host(1) +
           ":2907\", circuits: " + std::to_string(size) + ", point_code: 2, far_point_code: 1" + more + "}\n";
  }
  static standin::FarEndSettings far_settings(std::uint32_t size = 100) {
    standin::FarEndSettings f;
    f.group = "west";
    f.circuits.size = size;
    f.circuits.own = 1;
    f.circuits.far = 2;
    f.dial = base::Address{own_host(1), 2907};
    return f;
  }
  static standin::ControllerSetup setup(const std::string& name, int host, const std::string& trunks) {
    standin::ControllerSetup s;
    s.binary = REELTACK_BINARY;
    s.dir = ::testing::TempDir() + "trunk-" + name + std::to_string(::getpid());
    s.name = name;
    s.sip = {own_host(host), 5060};
    s.classes.push_back({"voice", 1500ms, 9s, 1.0, 0.25});
    s.trunks = trunks;
    s.admin = true;
    s.ramp = {};
    s.fall_multiple = 0.0;
    return s;
  }
  void start(const std::string& more = "", std::uint32_t size = 100, const std::string& known = "") {
    auto s = setup("a", 1, group(more, size));
    s.known = known;
    controller_ = std::make_unique<Controller>(std::move(s));
  }
  static load::Scenario scenario(double rate, Duration span, Duration hold) {
    load::Scenario s;
    s.seed = 5;
    s.rate = rate;
    s.duration = span;
    s.places = 1;
    load::LoadClass c;
    c.name = "voice";
    c.aim = 1500ms;
    c.deadline = 9s;
    c.hold_mean = hold;
    c.hold_law = load::HoldLaw::constant;
    s.classes.push_back(c);
    s.connections = 4;
    s.lateness_bound = 10s;
    return s;
  }
  static std::unique_ptr<load::Played> play(const load::Scenario& s, int host = 1) {
    load::PlayerOptions o;
    o.targets.push_back({load::Target::Kind::sip, {own_host(host), 5060}});
    return load::play(s, o);
  }
  // Of the group, as the operators' socket tells it.
  static double figure(const Controller& c, const char* key) {
    const base::Json all = admin::ask(c.admin_socket(), R"({"command":"trunk.status"})");
    return all.array()->at(0).find(key)->number().value_or(-1.0);
  }
  static bool reaches(const std::function<bool()>& what, Duration within = 15s) {
    for (const Time by = base::now() + within; base::now() < by; std::this_thread::sleep_for(20ms)) {
      if (what()) return true;
    }
    return false;
  }
  static std::uint64_t of(const load::Played& r, load::Result result) {
    return r.recorder.all().results[static_cast<std::size_t>(result)];
  }
  std::unique_ptr<Controller> controller_;
};

}  // namespace reeltack::trunk
