// Offices from a DNS zone. A dynamic update adds a note of two lines (a TXT record) and is confirmed; then
// the session controller is restarted as planned (SIGTERM). It has to be ready again and serve.
#include "kit.h"

using namespace kit;

namespace {

constexpr double kReadyMs = 30000;
constexpr std::uint16_t kTxt = 16;

int body(Case& c) {
  Office office(c.loop, c.record, "o1", 0);
  const std::uint16_t sip = free_port(), mgmt = free_port(), updates = free_port();
  const std::string zone = c.folder + "/zone";
  write_file(zone,
             "$ORIGIN despacho.example.\n$TTL 60\n"
             "@ IN SOA ns maintainers ( 1 3600 600 86400 60 )\n  IN NS ns\nns IN A 127.0.0.1\n"
             "_centrales._tcp IN SRV 0 10 " +
                 std::to_string(office.port()) +
                 " montevideo\n"
                 "montevideo IN A 127.0.0.1\n  IN TXT \"place=0\"\n");
  write_file(c.folder + "/fronts.json",
             "{\"zone\":{\"on\":true,\"file\":\"" + zone +
                 "\",\"service\":\"_centrales._tcp.despacho.example.\",\"updates\":\"127.0.0.1:" +
                 std::to_string(updates) + "\"}}");
  write_file(c.folder + "/config.json", config(sip, mgmt, ""));
  const auto start = [&] {
    c.record.line("the session controller is started");
    return std::make_unique<Process>(c.folder + "/fronts.json", c.folder + "/config.json", c.folder + "/log");
  };
  const auto serves = [&](const std::string& id) {
    SipCaller caller(c.loop, c.record, "a", sip);
    if (!caller.connect()) return false;
    caller.set_up(id, "estado-viaje", 3000);
    c.loop.run_until([&] { return caller.calls[id].finals > 0; }, 4000);
    caller.release(id);
    c.loop.run_for(100);
    return caller.calls[id].status == 200;
  };
  auto controller = start();
  if (!c.ready(mgmt, *controller) || !serves(hex16(0xa1))) cannot_run("no service before the update");
  Update update("despacho.example.");
  update.add("montevideo.despacho.example.", kTxt, 60, Update::txt("rack 4, left\nsince 3 December"));
  const int code = send_update(c.loop, updates, update);
  c.record.line("update with a TXT record of two lines: response code %d", code);
  if (code != 0) return c.end(false, "the update was not confirmed");
  if (!serves(hex16(0xa2))) cannot_run("no service after the update");
  if (!c.trouble) return c.end(false, "serves after the update");
  c.record.line("planned restart: SIGTERM");
  controller->signal(SIGTERM);
  if (!c.loop.run_until([&] { return controller->over(); }, 6000)) cannot_run("it does not end");
  c.record.line("ended: %s", controller->how().c_str());
  controller = start();
  const bool ready = c.ready(mgmt, *controller, kReadyMs);
  c.record.line("after the restart: %s, %s", ready ? "ready" : "not ready", controller->how().c_str());
  const bool served = ready && serves(hex16(0xa3));
  c.record.line("its log: %s", c.log().c_str());
  return c.end(!served, served ? "ready and serves" : "it does not start: " + controller->how());
}

}  // namespace

int main(int argc, char** argv) { return run_case(argc, argv, body); }
