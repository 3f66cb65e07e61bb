#include "rig.h"

#include <sched.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <thread>

#include "commands.h"

namespace reeltack::ctl {

using namespace std::chrono_literals;

int keep_off_last_core() {
  cpu_set_t all;
  if (::sched_getaffinity(0, sizeof all, &all) != 0) return -1;
  int last = -1;
  for (int i = 0; i < CPU_SETSIZE; ++i) {
    if (CPU_ISSET(static_cast<std::size_t>(i), &all)) last = i;
  }
  if (CPU_COUNT(&all) < 2) return -1;
  CPU_CLR(static_cast<std::size_t>(last), &all);
  ::sched_setaffinity(0, sizeof all, &all);
  return last;
}

Rig::Rig(const RigSetup& setup) : setup_(setup) {
  standin::CentralesSettings f;
  for (std::size_t i = 0; i < setup.centrales; ++i) {
    standin::CentraleSettings c;
    c.id = static_cast<std::uint32_t>(i + 1);
    c.at = {
        "127." + std::to_string(200 + setup.slot) + "." + std::to_string(1 + i / 200) + "." +
            std::to_string(1 + i % 200),
        static_cast<std::uint16_t>(20000 + ::getpid() % 10000)};  // below the ports of outgoing connections
    c.place = static_cast<std::uint32_t>(i);
    c.lines = 1'000'000;
    f.centrales.push_back(c);
  }
  centrales_ = std::make_unique<standin::Centrales>(std::move(f));
  standin::ControllerSetup s;
  s.binary = setup.binary;
  s.dir = (std::filesystem::temp_directory_path() /
           ("reeltack-rig-" + std::to_string(::getpid()) + "-" + std::to_string(setup.slot)))
              .string();
  s.sip = {standin::own_host(1 + setup.slot), 5060};
  s.websocket = base::to_text({standin::own_host(1 + setup.slot), 5070});
  s.websocket_connections = setup.connections + 64;
  s.known = centrales_->known_json();
  s.classes.push_back({"voice", 1500ms, 9s, 1.0, 0.25});
  s.sockets = 4096;
  s.memory_mb = 2048;
  s.cpu = setup.cpu;
  s.ramp = {};
  s.fall_multiple = 0.0;  // the centrales are warm, and the guard for cold ones is not what is measured
  controller_ = std::make_unique<standin::Controller>(std::move(s));
}

Trial Rig::play(double rate, Duration span, Duration hold) {
  load::Scenario s;
  s.seed = 11;
  s.duration = span;
  s.rate = rate;
  s.places = static_cast<std::uint32_t>(setup_.centrales);
  load::LoadClass c;
  c.name = "voice";
  c.aim = 1500ms;
  c.deadline = 9s;
  c.hold_mean = hold;
  c.hold_law = load::HoldLaw::constant;
  s.classes.push_back(c);
  s.connections = setup_.connections;
  s.lateness_bound = 5ms;
  load::PlayerOptions p;
  const bool sip = setup_.wire == "sip";
  p.targets.push_back({sip ? load::Target::Kind::sip : load::Target::Kind::ws,
                       {standin::own_host(1 + setup_.slot), static_cast<std::uint16_t>(sip ? 5060 : 5070)}});
  p.stop = &stopped();
  const auto before = controller_->use();
  const auto run = load::play(s, p);
  settle();
  const auto after = controller_->use();
  static_cast<void>(centrales_->take_log());
  const auto& all = run->recorder.all();
  const auto calls = static_cast<double>(std::max<std::uint64_t>(all.planned, 1));
  const double cpu = after.cpu_seconds - before.cpu_seconds;
  const auto within = [&all](double part) {
    return std::chrono::duration<double, std::milli>(all.latency.percentile(part)).count();
  };
  Trial out;
  out.rate = rate;
  out.measured = {cpu * 1e6 / calls, within(0.5), within(0.99), static_cast<double>(all.results[0]) / calls};
  out.busy = cpu / std::chrono::duration<double>(run->lasted).count();
  out.generator_late = !run->valid();
  out.sound = run->recorder.violations().total() == 0;
  return out;
}

// Until it has used less than a hundredth of a core for a while.
void Rig::settle() {
  const Time limit = base::now() + 3s;
  double before = controller_->use().cpu_seconds;
  while (base::now() < limit) {
    std::this_thread::sleep_for(100ms);
    const double after = controller_->use().cpu_seconds;
    if (after - before < 0.001) return;
    before = after;
  }
}

}  // namespace reeltack::ctl
