// Three calls stand at an office, set up on one connection. That connection is cut off: it stays open and
// quiet. Other calls go on at the office over a new connection. When the three calls end, their releases have
// to reach the caller within 8 s.
#include "kit.h"

using namespace kit;

namespace {

constexpr int kCalls = 3;
constexpr double kCallMs = 13000;  // "lasting 11 to 15 s on average"
constexpr double kLimitMs = 8000 + 50, kWatchMs = 20000;
constexpr double kOtherCallMs = 300, kPauseMs = 200;

int body(Case& c) {
  Bulletin bulletin(c.loop, c.record);
  Office o1(c.loop, c.record, "o1", 0), o2(c.loop, c.record, "o2", 0);
  bulletin.publish({{0xa1, o1.port(), 0, 0, 0}, {0xa2, o2.port(), 0, 1, 0}});
  const std::uint16_t sip = free_port(), mgmt = free_port();
  write_file(c.folder + "/config.json", config(sip, mgmt,
                                               "\"bulletin\":\"127.0.0.1:" + std::to_string(bulletin.port()) +
                                                   "\",\n" + bulletin.known()));
  write_file(c.folder + "/fronts.json", read_file("deploy/fronts.json"));
  Process controller(c.folder + "/fronts.json", c.folder + "/config.json", c.folder + "/log");
  if (!c.ready(mgmt, controller)) cannot_run("not ready");
  SipCaller caller(c.loop, c.record, "a", sip), others(c.loop, c.record, "b", sip);
  if (!caller.connect() || !others.connect()) cannot_run("a caller cannot connect");
  std::vector<std::string> ids;
  for (int i = 0; i < kCalls; ++i) {
    ids.push_back(hex16(0xa01U + static_cast<unsigned>(i)));
    caller.set_up(ids.back(), "pedido-viaje", 3000);
    c.loop.run_until([&] { return caller.calls[ids.back()].finals > 0; }, 3100);
    if (caller.calls[ids.back()].status != 200 || !o1.calls[ids.back()].stands)
      cannot_run("a call does not stand at o1");
  }
  const double stand_at = now_ms();
  if (c.trouble) {
    c.record.line("the connection on which they were set up is cut off: it stays open and quiet");
    o1.cut_off_connection_of(ids.front());
  }
  std::uint64_t last_id = 0xb000;
  int others_stood = 0;
  const auto other_call = [&] {
    if (!others.connected()) others.connect();
    const std::string id = hex16(++last_id);
    others.set_up(id, "estado-viaje", 3000);
    c.loop.run_for(kOtherCallMs);
    if (others.calls[id].status == 200) others.release(id), ++others_stood;
    c.loop.run_for(kPauseMs);
  };
  while (now_ms() < stand_at + kCallMs) other_call();
  for (const std::string& id : ids)
    if (caller.calls[id].released_at) return c.end(true, "a call was released before its end");
  const double over = now_ms();
  for (const std::string& id : ids) o1.end(id);
  const auto all_released = [&] {
    return std::all_of(ids.begin(), ids.end(),
                       [&](const std::string& id) { return caller.calls[id].released_at; });
  };
  while (now_ms() < over + kWatchMs && !all_released()) other_call();
  int late = 0, never = 0;
  for (const std::string& id : ids) {
    const auto& released_at = caller.calls[id].released_at;
    if (!released_at) ++never;
    if (!released_at || *released_at > over + kLimitMs) ++late;
    c.record.line("call %s: ended at %.0f, released towards its caller at %.0f", id.c_str(), over,
                  released_at.value_or(-1.0));
  }
  c.record.line("other calls that stood meanwhile: %d; log: %s", others_stood, c.log().c_str());
  if (others_stood == 0) cannot_run("no other call stood");
  return c.end(late > 0, std::to_string(late) + " of " + std::to_string(kCalls) +
                             " calls were not released towards their caller within 8050 ms of their end, " +
                             std::to_string(never) + " of them not within 20 s");
}

}  // namespace

int main(int argc, char** argv) { return run_case(argc, argv, body); }
