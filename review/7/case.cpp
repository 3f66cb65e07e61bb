// Offices from a DNS zone. The process is replaced: a second one is started beside the first with the same
// addresses, and the first gets SIGTERM once the second says yes. While both run, dynamic updates take seven
// of eight centrales out of the zone, one each, and all are confirmed. Nothing new may reach a centrale that
// is out.
#include "kit.h"

using namespace kit;

namespace {

constexpr int kCentrales = 8;
constexpr std::uint16_t kSrv = 33;
constexpr double kGraceMs = 2000;  // after the yes, until what discovery tells binds
constexpr int kCalls = 60;

// Calls of either class may go to each of the centrales.
std::string settings(std::uint16_t sip, std::uint16_t mgmt) {
  std::string out = config(sip, mgmt, "");
  const std::string two = "\"0,1\"";
  for (std::size_t at = out.find(two); at != std::string::npos; at = out.find(two, at + 1))
    out.replace(at, two.size(), "\"0,1,2,3,4,5,6,7\"");
  return out;
}

int body(Case& c) {
  std::vector<std::unique_ptr<Office>> offices;
  std::string records;
  for (int i = 0; i < kCentrales; ++i) {
    const std::string name = "c" + std::to_string(i);
    offices.push_back(std::make_unique<Office>(c.loop, c.record, name, 0));
    records += "_centrales._tcp IN SRV 0 10 " + std::to_string(offices.back()->port()) + " " + name + "\n" +
               name + " IN A 127.0.0.1\n  IN TXT \"place=" + std::to_string(i) + "\"\n";
  }
  const std::uint16_t sip = free_port(), updates = free_port();
  const std::uint16_t mgmt[] = {free_port(), free_port()};
  const std::string zone = c.folder + "/zone";
  write_file(
      zone,
      "$ORIGIN despacho.example.\n$TTL 60\n@ IN SOA ns maintainers ( 1 3600 600 86400 60 )\n  IN NS ns\n"
      "ns IN A 127.0.0.1\n" +
          records);
  write_file(c.folder + "/fronts.json",
             "{\"zone\":{\"on\":true,\"file\":\"" + zone +
                 "\",\"service\":\"_centrales._tcp.despacho.example.\",\"updates\":\"127.0.0.1:" +
                 std::to_string(updates) + "\"}}");
  const auto start = [&](int i) {
    const std::string n = std::to_string(i);
    write_file(c.folder + "/config.json" + n, settings(sip, mgmt[i]));
    c.record.line("process %d is started", i);
    return std::make_unique<Process>(c.folder + "/fronts.json", c.folder + "/config.json" + n,
                                     c.folder + "/log" + n);
  };
  auto first = start(0);
  if (!c.ready(mgmt[0], *first)) cannot_run("the first process is not ready");
  std::unique_ptr<Process> second;
  double yes_at = now_ms();
  if (c.trouble) {
    second = start(1);
    if (!c.ready(mgmt[1], *second, 6000)) cannot_run("the second process is not ready");
    yes_at = now_ms();
    c.record.line("process 1 says yes");
  }
  for (int i = 1; i < kCentrales; ++i) {
    Update update("despacho.example.");
    update.remove("_centrales._tcp.despacho.example.", kSrv,
                  Update::srv(10, offices[static_cast<std::size_t>(i)]->port(),
                              "c" + std::to_string(i) + ".despacho.example."));
    const int code = send_update(c.loop, updates, update);
    c.record.line("update: c%d is out of the zone; response code %d", i, code);
    if (code != 0) cannot_run("an update was not confirmed");
    c.loop.run_for(50);
  }
  if (c.trouble) {
    c.record.line("SIGTERM to process 0");
    first->signal(SIGTERM);
    c.loop.run_until([&] { return first->over(); }, 6000);
    c.record.line("process 0: %s", first->how().c_str());
  }
  c.loop.run_until([&] { return now_ms() >= yes_at + kGraceMs + 300; }, 6000);
  c.record.line("the zone's file: %s", read_file(zone).c_str());
  const auto set_ups = [&](bool out) {
    int n = 0;
    for (std::size_t i = 0; i < offices.size(); ++i)
      for (const auto& [id, one] : offices[i]->calls) n += (i > 0) == out ? one.set_ups : 0;
    return n;
  };
  SipCaller caller(c.loop, c.record, "a", sip);
  for (int i = 0; i < kCalls; ++i) {
    if (!caller.connected() && !caller.connect()) cannot_run("the caller cannot connect");
    const std::string id = hex16(0xa00U + static_cast<unsigned>(i));
    caller.set_up(id, "estado-viaje", 3000, i % kCentrales);
    c.loop.run_until([&] { return caller.calls[id].finals > 0; }, 3100);
    if (caller.calls[id].status == 200) caller.release(id);
    c.loop.run_for(30);
  }
  const int out = set_ups(true), in = set_ups(false);
  if (out + in == 0) cannot_run("no set-up was sent");
  return c.end(out > 0, std::to_string(out) + " set-ups went to centrales that are out of the zone, " +
                            std::to_string(in) + " to the one that is in it");
}

}  // namespace

int main(int argc, char** argv) { return run_case(argc, argv, body); }
