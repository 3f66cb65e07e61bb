// The session controller as one process: wires configuration, core, fronts and offices together.
//
// Owns: the order of start and end, the signals, and the process's own limits.
// Must never: decide on a call, end while a request that was taken has no answer, or end on SIGHUP.
#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <exception>
#include <functional>
#include <memory>

#include "admin/admin.h"
#include "base/wall_clock.h"
#include "config/config.h"
#include "config/controllers.h"
#include "config/trunks.h"
#include "core/office_list.h"
#include "dns/updates.h"
#include "fleet/service/service.h"
#include "mgmt/server.h"
#include "platform/bulletin.h"
#include "platform/offices.h"
#include "platform/sip.h"
#include "shutdown/shutdown.h"
#include "trunk/commands.h"
#include "ws/front.h"

namespace {

using namespace std::chrono_literals;
using namespace reeltack;

// Usual callers hold a third of the descriptors at the most; after SIGTERM a successor shares the limit.
constexpr std::size_t kYieldedShare = 3;
// A connection takes up to 80 KB for a message and its answers; all of them together not half of the memory.
constexpr std::size_t kCallersPerMegabyte = 5;
constexpr std::size_t kWebSocketPerMegabyte = 4;
constexpr std::size_t kMegabyte = std::size_t{1024} * 1024;
// Requests that are not answered yet hold an eighth of the memory at the most.
constexpr std::size_t kRequestMemoryShare = 8;
// The list that the configuration holds is the module's so soon, whatever the load.
constexpr Duration kListTaken = 500ms;
// Before a caller is let in, the fleet has said once which offices may be used.
constexpr Duration kTermsAwaited = 500ms;
// READY waits for the first list so long at the most: without one, requests are refused, not lost.
constexpr Duration kListAwaited = 2s;

sigset_t signals() {
  sigset_t out;
  sigemptyset(&out);
  for (const int which : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&out, which);
  return out;
}

// The file was replaced. What cannot be read changes nothing; what only a start can take is said so.
void reload(config::Node& node, std::optional<platform::Bulletin>& bulletin, core::OfficeList& list) {
  try {
    const config::Node fresh = config::node_from_environment();
    for (const std::string& key : config::changed_but_kept(node, fresh))
      net::log_line("reload: " + key + " has changed and is taken at the next start only");
    if (!fresh.bulletin) {
      net::log_line("reload: bulletin is missing; the old one stays");
      return;
    }
    node.bulletin = fresh.bulletin;
    if (bulletin) {
      bulletin->move_to(*fresh.bulletin);
    } else {
      bulletin.emplace(list, *fresh.bulletin, node.known_no);
    }
    net::log_line("reload: bulletin is " + net::to_text(*fresh.bulletin));
  } catch (const std::exception& error) {
    net::log_line(std::string("reload: ") + error.what() + "; the old settings stay");
  }
}

// Until SIGTERM or SIGINT.
void wait_for_end(const std::function<void()>& reload_now) {
  const sigset_t awaited = signals();
  int which = SIGHUP;
  for (;;) {
    if (sigwait(&awaited, &which) != 0) continue;
    if (which != SIGHUP) return;
    reload_now();
  }
}

limits::ShutdownTimes shutdown_times(const Settings& settings) {
  Duration longest{};
  for (const ClassSettings& c : settings.classes) longest = std::max(longest, c.deadline);
  return limits::shutdown_times(net::now(), longest);
}

int run(int argc, char** argv) {
  config::Fronts fronts;
  if (argc > 1) fronts = config::read_fronts(config::read_json(argv[1]), argv[1]);
  config::Node node = config::node_from_environment();
  // The rules that the fleet has approved are laid over the files' before anything decides by them.
  std::optional<fleet::Prepared> prepared;
  if (!fronts.fleet_file.empty())
    prepared = fleet::prepare(config::read_controllers(fronts.fleet_file, node), node);

  // Usual callers hold a third of the descriptors at the most. What others hold beside them must leave the
  // offices theirs.
  const std::size_t callers =
      std::min(node.limits.sockets * 60 / 100, node.limits.memory_mb * kCallersPerMegabyte);
  core::Core core(node.settings, node.seed);
  core.limit_request_memory(node.limits.memory_mb * kMegabyte / kRequestMemoryShare);
  core::OfficeList list(core);
  platform::Offices offices(core, node.class_names, node.dial_limit);
  const std::size_t websocket_connections =
      std::min(fronts.websocket_connections, node.limits.memory_mb * kWebSocketPerMegabyte);
  ws::Frontend websocket(core, list, {node.class_names, fronts.websocket_origins, websocket_connections});
  core::OfficeRouter sides(offices);
  sides.add(websocket, [&websocket](ServerId id) { return websocket.owns(id); });
  trunk::Trunks trunks;
  if (!fronts.trunks_file.empty()) {
    // Another one with each start, so that the far end knows one that came back with nothing.
    const auto incarnation = static_cast<std::uint64_t>(base::wall_now().time_since_epoch().count());
    for (trunk::TrunkSettings& t : config::read_trunks(fronts.trunks_file)) {
      trunks.push_back(
          std::make_unique<trunk::Trunk>(core, list, std::move(t), node.class_names, incarnation));
      sides.add(*trunks.back(), [t = trunks.back().get()](ServerId id) { return t->owns(id); });
    }
  }
  platform::SipFrontend sip(core, node.class_names, callers);
  std::optional<fleet::Service> fleet;
  if (prepared) fleet.emplace(core, list, std::move(*prepared), node);
  // Yes once clients are taken: the listener is open and the module holds a list (or has waited long enough).
  std::atomic<Time::rep> taking_since{0};
  mgmt::Server management([&core, &taking_since, &node, &fleet] {
    const Time::rep since = taking_since.load();
    const bool ready = since != 0 && (core.ready() || net::now() >= Time{Duration{since}} + kListAwaited);
    return mgmt::State{ready, [&core, &node, &fleet] {
                         return core.metrics().render(node.class_names, core.in_flight()) +
                                (fleet ? fleet->figures() : std::string());
                       }};
  });
  // On every way out the core's thread ends before what it calls is gone.
  const struct Ended {
    core::Core& core;
    ~Ended() { core.stop(); }
  } ended{core};
  core.start(sides, node.listen ? &sip : nullptr);
  if (fleet) fleet->start();
  // With a fleet a list without offices binds too: other controllers may know some.
  if (!node.known.empty() || (fleet && node.known_no > 0))
    list.update(core::Source::platform, true, node.known);
  std::optional<dns::UpdateServer> zone;
  if (!fronts.zone_file.empty()) {
    dns::Zone read = dns::Zone::read(config::read_file(fronts.zone_file), fronts.zone_file);
    zone.emplace(list, std::move(read), fronts.zone_service, fronts.zone_file);
    if (fronts.updates) zone->open(*fronts.updates);
  }
  std::optional<platform::Bulletin> bulletin;
  if (node.bulletin) bulletin.emplace(list, *node.bulletin, node.known_no);
  // Whoever is let in from here on finds the list taken, not a refusal for want of it.
  for (const Time by = net::now() + kListTaken; !node.known.empty() && !core.ready() && net::now() < by;)
    net::pause_until(net::now() + 1ms);
  for (const Time by = net::now() + kTermsAwaited; fleet && !fleet->settled() && net::now() < by;)
    net::pause_until(net::now() + 1ms);
  if (fronts.websocket) websocket.open(*fronts.websocket);
  for (auto& t : trunks) t->open();
  if (node.listen) sip.open(*node.listen);
  taking_since = net::now().time_since_epoch().count();
  if (node.mgmt) management.open(*node.mgmt);
  admin::Server operators;
  if (!fronts.admin_socket.empty()) {
    trunk::add_commands(operators, trunks);
    operators.open(fronts.admin_socket);
  }
  net::log_line(node.name + " is up with " + std::to_string(node.known.size()) + " offices known");

  wait_for_end([&] {
    reload(node, bulletin, list);
    if (fleet) fleet->reload();
  });
  net::log_line("asked to end: answering what was taken");
  sip.yield(node.limits.sockets / kYieldedShare);
  websocket.yield(websocket_connections);
  if (zone) zone->yield();
  shut_down(core, offices, sip, &websocket, shutdown_times(node.settings));
  management.close();
  operators.close();
  sip.close_all();
  websocket.close_all();
  for (auto& t : trunks) t->close();
  if (zone) zone->close_all();
  bulletin.reset();
  if (fleet) fleet->stop();
  core.stop();
  const auto& c = core.counts();
  net::log_line("ended: " + std::to_string(c.requests) + " requests, " + std::to_string(c.established) +
                " stood, " + std::to_string(c.refused) + " refused, " + std::to_string(c.failed) +
                " failed, " + std::to_string(c.cancelled) + " given up, " + std::to_string(c.attempts) +
                " attempts, " + std::to_string(c.no_memory) + " refused for want of memory");
  const auto& d = sip.connections();
  net::log_line("connections: " + std::to_string(d.accepted) + " let in; ended at a limit: " +
                std::to_string(d.timeout) + " late, " + std::to_string(d.unread) + " left unread, " +
                std::to_string(d.evicted) + " for room, " + std::to_string(d.dropped) + " with a full queue");
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  // Each arena reserves and keeps memory of its own; hundreds of threads must share two.
  ::mallopt(M_ARENA_MAX, 2);
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);  // a limit on a file's size comes as an error of the write
  // Blocked in every thread, so that the one that waits for them takes them.
  const sigset_t awaited = signals();
  ::pthread_sigmask(SIG_BLOCK, &awaited, nullptr);
  try {
    return run(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "reeltack: %s\n", error.what());
    return 1;
  }
}
