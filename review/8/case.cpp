// Two controllers of a fleet and two offices, X and Y. Discovery goes down; controller n1 is killed. X
// leaves. n1 is started again with the list of now, which has Y alone. It may send set-ups to Y and to no
// other office.
#include <sys/stat.h>

#include "kit.h"

using namespace kit;

namespace {

constexpr double kOutageMs = 8000;     // "discovery is down for 8 s"
constexpr double kGraceMs = 250 + 50;  // to stop sending, once told

int body(Case& c) {
  Office x(c.loop, c.record, "X", 0, 1, 2), y(c.loop, c.record, "Y", 0, 1, 2);
  Bulletin b1(c.loop, c.record), b2(c.loop, c.record);
  Bulletin* bulletins[] = {&b1, &b2};
  std::uint16_t sip[2], mgmt[2], fleet[2];
  for (int i = 0; i < 2; ++i) {
    bulletins[i]->publish({{0xa1, x.port(), 0, 0, 0, 1 + i}, {0xa2, y.port(), 0, 1, 0, 1 + i}});
    sip[i] = free_port(), mgmt[i] = free_port(), fleet[i] = free_port();
  }
  const auto write_config = [&](int i) {
    write_file(c.folder + "/config.json" + std::to_string(i),
               config(sip[i], mgmt[i],
                      "\"bulletin\":\"127.0.0.1:" + std::to_string(bulletins[i]->port()) + "\",\n" +
                          bulletins[i]->known(),
                      "n" + std::to_string(i + 1)));
  };
  const auto start = [&](int i) {
    const std::string n = std::to_string(i);
    c.record.line("n%d is started", i + 1);
    return std::make_unique<Process>(c.folder + "/fronts.json" + n, c.folder + "/config.json" + n,
                                     c.folder + "/log" + n);
  };
  std::unique_ptr<Process> controllers[2];
  for (int i = 0; i < 2; ++i) {
    const std::string n = std::to_string(i);
    ::mkdir((c.folder + "/store" + n).c_str(), 0755);
    write_file(c.folder + "/fleet.yaml" + n,
               "fleet:\n  id: despacho-oeste\n  listen: 127.0.0.1:" + std::to_string(fleet[i]) +
                   "\n  size: 2\n  zone: montevideo\n  seeds: [\"127.0.0.1:" + std::to_string(fleet[1 - i]) +
                   "\"]\n  store: " + c.folder + "/store" + n + "\n");
    write_file(c.folder + "/fronts.json" + n,
               "{\"fleet\":{\"on\":true,\"file\":\"" + c.folder + "/fleet.yaml" + n + "\"}}");
    write_config(i);
    controllers[i] = start(i);
  }
  for (int i = 0; i < 2; ++i)
    if (!c.ready(mgmt[i], *controllers[i])) cannot_run("a controller is not ready");
  c.loop.run_for(6000);  // the fleet is in full service
  SipCaller first(c.loop, c.record, "a", sip[0]), other(c.loop, c.record, "b", sip[1]);
  std::uint64_t last_id = 0x100;
  const auto call = [&](SipCaller& caller) {
    if (!caller.connected() && !caller.connect()) cannot_run("a caller cannot connect");
    const std::string id = hex16(++last_id);
    caller.set_up(id, "estado-viaje", 3000);
    c.loop.run_until([&] { return caller.calls[id].finals > 0; }, 3100);
    if (caller.calls[id].status == 200) caller.release(id);
    c.loop.run_for(150);
  };
  const auto set_ups = [](const Office& at) {
    int n = 0;
    for (const auto& [id, one] : at.calls) n += one.set_ups;
    return n;
  };
  for (int i = 0; i < 3; ++i) call(first), call(other);
  const double down_at = now_ms();
  if (c.trouble) b1.down(), b2.down();
  c.record.line("n1 is killed");
  controllers[0]->signal(SIGKILL);
  c.loop.run_for(500);
  // X leaves. n1's events are counted from 1 at its start, and the first one holds the whole list of now.
  c.record.line("X leaves; the whole list of now has Y alone");
  b1.replace({{0xa2, y.port(), 0, 1, 0, 1}});
  if (!c.trouble) b2.publish({{0xa1, x.port(), 2, 0, 0, 2}});
  write_config(0);
  controllers[0] = start(0);
  if (!c.ready(mgmt[0], *controllers[0])) cannot_run("n1 is not ready again");
  c.record.line("n1 is ready; it was told of Y alone");
  c.loop.run_for(kGraceMs);
  const int x_before = set_ups(x), y_before = set_ups(y);
  while (now_ms() < down_at + kOutageMs - 500) call(first);
  const int at_x = set_ups(x) - x_before, at_y = set_ups(y) - y_before;
  c.record.line("set-ups of n1 since: %d at X, %d at Y", at_x, at_y);
  c.record.line("log of n1: %s", read_file(c.folder + "/log0").c_str());
  if (at_x + at_y == 0) cannot_run("no set-up was sent");
  return c.end(at_x > 0, std::to_string(at_x) + " set-ups went to an office that n1's list does not have, " +
                             std::to_string(at_y) + " to the one that it has");
}

}  // namespace

int main(int argc, char** argv) { return run_case(argc, argv, body); }
