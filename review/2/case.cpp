// Case 2: an office's machine is lost for 4.5 s and comes back with a new process; the callers whose calls
// ended with the old one are told more than 8 s later, when the bulletin tells of the new start.
//
// One controller, two offices (a process each), the bulletin and SIP callers. Office 0 is reached through a
// proxy that stands for its machine: while that is lost, its connections are open and quiet and new ones
// never come up.
#include <set>
#include <sstream>

#include "../common/kit.h"

namespace {

using namespace kit;

constexpr std::int64_t kLostAt = 8'000;
constexpr std::int64_t kLostFor = 4'500;    // STANDING: a zone is lost for 5 s
constexpr std::int64_t kToldAfter = 4'500;  // after the new start; PROTOCOL: 7 s at the latest
constexpr std::int64_t kBound = 8'050;      // PROTOCOL: 8 s of its end, and each time limit is 50 ms longer
constexpr std::int64_t kHold = 25'000;      // how long a call lasts
constexpr std::int64_t kCallsUntil = 15'000;
constexpr std::int64_t kRunsFor = 45'000;

// ---- An office as a process of its own: JSON lines, one line a message. It prints a line an event.
std::mutex office_lock;
struct Held {  // a call that is set up or stands
  int set_up_on = -1;
  bool stands = false;
};
std::set<int> connections;
std::map<std::string, Held> held;
const std::string kLoad = R"({"verb":"LOAD","tag":"","opts":{"load":"x0:50;x1:60"}})"
                          "\n";
std::string owed;  // releases, which are told on the next connection too

void say(const char* what, const std::string& call) {
  std::printf("%lld %s %s\n", static_cast<long long>(unix_ms()), what, call.c_str());
  std::fflush(stdout);
}
void office_serves(const std::string& call, int fd) {
  sleep_ms(20);
  {
    const std::lock_guard hold(office_lock);
    const auto found = held.find(call);
    if (found == held.end()) return;  // given up
    found->second.stands = true;
    say("STARTED", call);
    write_all(fd, R"({"verb":"STARTED","tag":")" + call +
                      R"(","opts":{"load":"x0:50;x1:60"},"blob":"leg"})"
                      "\n");
  }
  sleep_ms(kHold);
  const std::lock_guard hold(office_lock);
  if (held.erase(call) == 0) return;
  say("FINISH", call);
  const std::string line = R"({"verb":"FINISH","tag":")" + call +
                           R"(","opts":{},"rc":16})"
                           "\n";
  owed += line;
  const int on = connections.contains(fd) ? fd : connections.empty() ? -1 : *connections.begin();
  if (on >= 0) write_all(on, line);
}
void office_reads(int fd) {
  {
    const std::lock_guard hold(office_lock);
    write_all(fd, kLoad + owed);
    owed.clear();
    connections.insert(fd);
  }
  std::string text;
  do {
    for (std::size_t end = 0; (end = text.find('\n')) != std::string::npos; text.erase(0, end + 1)) {
      const std::string line = text.substr(0, end);
      const std::string verb = field(line, "verb");
      const std::string call = field(line, "tag");
      const std::lock_guard hold(office_lock);
      if (verb == "START") {
        say("START", call);
        held[call] = {fd, false};
        std::thread(office_serves, call, fd).detach();
      } else if (verb == "FINISH" && held.erase(call) > 0) {
        say("RELEASED", call);
      }
    }
  } while (read_some(fd, text));
  const std::lock_guard hold(office_lock);
  connections.erase(fd);
  std::erase_if(held, [fd](const auto& h) { return h.second.set_up_on == fd && !h.second.stands; });
  ::close(fd);
}
int office(int port) {
  const int listener = listen_on(port);
  if (listener < 0) return 2;
  std::thread([] {  // the state of the group, unasked
    for (;; sleep_ms(250)) {
      const std::lock_guard hold(office_lock);
      for (const int fd : connections) write_all(fd, kLoad);
    }
  })
      .detach();
  for (;;) {
    const int fd = accept_on(listener);
    if (fd < 0) continue;
    std::thread(office_reads, fd).detach();
  }
}

// ---- What offices and callers saw.
struct Call {
  int office = -1;
  int process = 0;                 // of the office: 0 the first one, 1 the one started again
  std::int64_t stood = -1;         // at the office
  std::int64_t office_ended = -1;  // by the office or by the controller's release
  std::int64_t answered = -1;      // 200 at the caller
  std::int64_t released = -1;      // BYE at the caller
  std::string cause;
};
std::mutex calls_lock;
std::map<std::string, Call> calls;
std::int64_t lost_at = -1;

struct Office {
  pid_t pid = -1;
  int process = 0;
};
// Starts an office's process and follows what it prints.
Office start_office(const char* self, int number, int port, int process) {
  int ends[2];
  if (::pipe2(ends, O_CLOEXEC) != 0) cannot_run("no pipe");
  const pid_t pid = ::fork();
  if (pid == 0) {
    end_with_parent();
    ::dup2(ends[1], 1);
    ::execl(self, self, "office", std::to_string(port).c_str(), nullptr);
    ::_exit(127);
  }
  ::close(ends[1]);
  record("office %d process %d started", number, process);
  std::thread([fd = ends[0], number, process] {
    FILE* lines = ::fdopen(fd, "r");
    char line[256];
    while (std::fgets(line, sizeof line, lines) != nullptr) {
      std::istringstream words(line);
      std::int64_t at = 0;
      std::string what, call;
      words >> at >> what >> call;
      at -= started_ms;
      record("office %d process %d %s call=%s at=%lld", number, process, what.c_str(), call.c_str(),
             static_cast<long long>(at));
      const std::lock_guard hold(calls_lock);
      Call& c = calls[call];
      if (what == "STARTED") c.office = number, c.process = process, c.stood = at, c.office_ended = -1;
      if ((what == "FINISH" || what == "RELEASED") && c.stood >= 0) c.office_ended = at;
    }
  }).detach();
  return {pid, process};
}
void kill_office(const Office& office) {
  ::kill(office.pid, SIGKILL);
  ::waitpid(office.pid, nullptr, 0);
}

// ---- The machine of office 0.
std::atomic<bool> lost{false};
std::atomic<int> machine{0};  // counts its starts
std::atomic<int> office_port{0};

void pass_on(int near, int begun) {
  const int far = connect_to(office_port);
  if (far < 0) {
    ::close(near);
    return;
  }
  std::thread([near, far, begun] {
    for (std::string bytes; read_some(far, bytes); bytes.clear()) {
      if (!lost && machine == begun && !write_all(near, bytes)) break;
    }
    if (!lost && machine == begun) ::shutdown(near, SHUT_WR);
  }).detach();
  for (std::string bytes; read_some(near, bytes); bytes.clear()) {
    if (lost) continue;
    if (machine != begun || !write_all(far, bytes)) break;
  }
  // A machine that has started anew resets what it does not know.
  while (lost) sleep_ms(5);
  const linger at_once{1, 0};
  if (machine != begun) ::setsockopt(near, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  ::shutdown(far, SHUT_RDWR);
  ::close(near);
}
void be_machine(int listener) {
  for (;;) {
    pollfd waits{listener, POLLIN, 0};
    if (lost || ::poll(&waits, 1, 10) <= 0 || lost) {
      sleep_ms(1);
      continue;
    }
    const int fd = accept_on(listener);
    if (fd >= 0) std::thread(pass_on, fd, machine.load()).detach();
  }
}

// ---- The bulletin: an empty frame each second, and one event once it is told.
std::mutex bulletin_lock;
std::string event_2;  // the frame of event 2, once it is in the bulletin

std::string big_endian(std::uint64_t value, int bytes) {
  std::string out;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) out += static_cast<char>(value >> shift);
  return out;
}
std::string frame(std::uint64_t number, int kind, const std::string& payload) {
  return big_endian(9 + payload.size(), 4) + big_endian(number, 8) +
         big_endian(static_cast<unsigned>(kind), 1) + payload;
}
std::string record_of(std::uint32_t id, int port, int zone, std::uint64_t started) {
  return big_endian(id, 4) + big_endian(0x7f000001, 4) + big_endian(static_cast<unsigned>(port), 2) +
         big_endian(0, 1) + big_endian(static_cast<unsigned>(zone), 1) + big_endian(0, 1) +
         big_endian(static_cast<unsigned>(zone), 2) + big_endian(1000, 4) + big_endian(started, 8);
}
void bulletin(int listener) {
  for (;;) {
    const int fd = accept_on(listener);
    if (fd < 0) return;
    std::thread([fd] {
      std::string greeting;
      while (greeting.size() < 8 && read_some(fd, greeting)) continue;
      std::uint64_t sent = static_cast<unsigned char>(greeting[7]);
      for (int tick = 0;; ++tick) {
        std::string out;
        {
          const std::lock_guard hold(bulletin_lock);
          if (sent < 2 && !event_2.empty()) out = event_2, sent = 2;
        }
        if (out.empty() && tick % 50 == 0) out = frame(sent, 0, "");
        if (!out.empty() && !write_all(fd, out)) break;
        sleep_ms(20);
      }
      ::close(fd);
    }).detach();
  }
}

// ---- SIP callers: one connection that carries many calls.
int sip = -1;
std::mutex sip_lock;
void send_sip(const std::string& text) {
  const std::lock_guard hold(sip_lock);
  write_all(sip, text);
}
std::string header(const std::string& head, const std::string& name) {
  const std::size_t at = head.find("\r\n" + name + ": ");
  if (at == std::string::npos) return "";
  const std::size_t begin = at + name.size() + 4;
  return head.substr(begin, head.find("\r\n", begin) - begin);
}
void hear() {
  std::string text;
  do {
    for (std::size_t end = 0; (end = text.find("\r\n\r\n")) != std::string::npos;) {
      const std::string head = text.substr(0, end + 2);
      const std::string length = header(head, "Content-Length");
      const std::size_t whole = end + 4 + static_cast<std::size_t>(std::atoi(length.c_str()));
      if (text.size() < whole) break;
      text.erase(0, whole);
      const std::string call = header(head, "Call-ID");
      const std::string first = head.substr(0, head.find("\r\n"));
      const bool bye = first.rfind("BYE", 0) == 0;
      if (first.rfind("SIP/2.0 1", 0) == 0) continue;
      record("caller hears %s call=%s %s", first.c_str(), call.c_str(), header(head, "Reason").c_str());
      {
        const std::lock_guard hold(calls_lock);
        if (first.rfind("SIP/2.0 200", 0) == 0) calls[call].answered = now_ms();
        if (bye) calls[call].released = now_ms(), calls[call].cause = header(head, "Reason");
      }
      if (bye)
        send_sip("SIP/2.0 200 OK\r\nCall-ID: " + call + "\r\nCSeq: " + header(head, "CSeq") +
                 "\r\nContent-Length: 0\r\n\r\n");
      else
        send_sip("ACK sip:call@net SIP/2.0\r\nCall-ID: " + call +
                 "\r\nCSeq: 1 ACK\r\nContent-Length: 0\r\n\r\n");
    }
  } while (read_some(sip, text));
}

// Calls that ended with the machine and were not released towards their caller within the bound.
int judge() {
  const std::lock_guard hold(calls_lock);
  int broken = 0;
  int judged = 0;
  int cut = 0;
  for (const auto& [id, call] : calls) {
    if (call.answered < 0 || call.stood < 0) continue;
    // Seen beside it, and not judged: calls of the new process that are told to be cut while it holds them.
    const std::int64_t held_until = call.office_ended < 0 ? now_ms() : call.office_ended;
    if (call.process == 1 && call.released >= 0 && call.released + 50 < held_until) {
      ++cut;
      record("beside: call=%s stands at process 1 of office 0 until %lld; its caller was told at %lld: %s",
             id.c_str(), static_cast<long long>(held_until), static_cast<long long>(call.released),
             call.cause.c_str());
    }
    std::int64_t over = call.office_ended;
    if (over < 0 && lost_at >= 0 && call.office == 0 && call.process == 0) over = lost_at;
    if (over < 0) continue;
    ++judged;
    const std::int64_t released = call.released < 0 ? now_ms() : call.released;
    if (released - over <= kBound) continue;
    ++broken;
    record("BROKEN call=%s at office %d was over at %lld and %s %lld (%lld ms) %s", id.c_str(), call.office,
           static_cast<long long>(over), call.released < 0 ? "not released by" : "released at",
           static_cast<long long>(released), static_cast<long long>(released - over), call.cause.c_str());
  }
  record("judged=%d broken=%d beside=%d", judged, broken, cut);
  if (judged < 20) cannot_run("too few calls stood and ended");
  return broken;
}

}  // namespace

int main(int argc, char** argv) {  // ROOT TMP RECORD, or office PORT
  if (argc == 3 && std::string(argv[1]) == "office") return office(std::atoi(argv[2]));
  if (argc != 4) cannot_run("usage: case ROOT TMP RECORD");
  const std::string tmp = argv[2];
  open_record(argv[3]);
  const char* given = std::getenv("TROUBLE");
  const bool trouble = given == nullptr || std::string(given) != "0";
  // Its queue of connections that are not accepted holds one.
  const int machine_listener = new_socket();
  const sockaddr_in anywhere = loopback(0);
  if (::bind(machine_listener, reinterpret_cast<const sockaddr*>(&anywhere), sizeof anywhere) != 0 ||
      ::listen(machine_listener, 0) != 0)
    cannot_run("the machine cannot listen");
  const int ports[2] = {port_of(machine_listener), free_port()};
  office_port = free_port();
  const int listener = listen_on(0);
  const int listen = free_port();
  const int mgmt = free_port();
  std::thread(bulletin, listener).detach();
  Office offices[2];
  for (int n = 0; n < 2; ++n)
    offices[n] = start_office(argv[0], n, n == 0 ? office_port.load() : ports[n], 0);
  std::thread(be_machine, machine_listener).detach();
  sleep_ms(100);
  std::string known = R"("known":{"no":1,"items":[{"no":1,"roster":{"index":1,"snapshot":true,"endpoints":[)";
  for (int n = 0; n < 2; ++n)
    known += std::string(n > 0 ? "," : "") + R"({"name":"s-0000000)" + std::to_string(n + 1) +
             R"(","address":"127.0.0.1:)" + std::to_string(ports[n]) + R"(","zone":")" +
             (n == 0 ? "montevideo" : "canelones") + R"(","type":"nodo-1c","group":)" + std::to_string(n) +
             R"(,"status":"in_service","weight":1,"since_ms":0})";
  known += "]}}]},";
  write_file(tmp + "/config.json",
             config("n1", mgmt,
                    R"("listen":"127.0.0.1:)" + std::to_string(listen) + R"(","bulletin":"127.0.0.1:)" +
                        std::to_string(port_of(listener)) + "\"," + known));
  Controller controller(argv[1], "deploy/fronts.json", tmp + "/config.json", tmp + "/controller.log");
  controller.start();
  if (!ready(mgmt, 10'000)) cannot_run("the controller is not ready");
  sip = connect_to(listen);
  if (sip < 0) cannot_run("the caller cannot connect");
  std::thread(hear).detach();

  std::thread callers([] {
    for (std::uint64_t n = 1; now_ms() < kCallsUntil; ++n) {
      const std::string call = hex16(0xca11000000000000ULL + n);
      record("caller sends INVITE call=%s", call.c_str());
      send_sip("INVITE sip:" + hex16(0x5000 + n) + "@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: " +
               call + "\r\nCSeq: 1 INVITE\r\nSubject: estado-viaje\r\nX-Patience: 3000\r\nX-Facts: dest:" +
               std::to_string(n % 2) + ";width:1;via:-1\r\nContent-Length: 6\r\n\r\ncaller");
      sleep_ms(100);
    }
  });
  sleep_until(kLostAt);
  if (trouble) {
    lost = true;
    const int filler = connect_to(ports[0]);  // fills the queue: from here on connections never come up
    kill_office(offices[0]);
    {
      const std::lock_guard hold(calls_lock);
      lost_at = now_ms();
    }
    record("the machine of office 0 is lost, and its calls with it");
    sleep_ms(kLostFor);
    office_port = free_port();
    offices[0] = start_office(argv[0], 0, office_port, 1);
    const std::int64_t started = unix_ms();
    sleep_ms(50);
    ::close(filler);
    ::close(accept_on(machine_listener));
    ++machine;
    lost = false;
    record("the machine of office 0 is back, with a new process");
    sleep_ms(kToldAfter);
    const std::lock_guard hold(bulletin_lock);
    event_2 = frame(2, 2, record_of(1, ports[0], 0, static_cast<std::uint64_t>(started)));
    record("the bulletin tells of the new start of office 0");
  }
  callers.join();
  sleep_until(kRunsFor);
  const bool runs = !controller.ended(0);
  const int broken = judge();
  controller.stop();
  for (const Office& office : offices) kill_office(office);
  if (!runs) cannot_run("the controller has ended");
  std::printf("%d calls were over and not released towards their caller within 8 s\n", broken);
  std::fflush(stdout);
  std::_Exit(broken > 0 ? 1 : 0);
}
