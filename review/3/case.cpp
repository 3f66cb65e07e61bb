// Case 3: a centrale's machine vanishes; its calls on the WebSocket front are left standing for over 40 s.
//
// One controller, two centrales and one client on WebSocket. Centrale A reaches the controller through a
// proxy. When its machine vanishes, the proxy keeps the connection to the controller open and passes nothing
// more, and the calls there have ended. Nothing of A ever connects again.
#include "../common/kit.h"

namespace {

using namespace kit;

constexpr int kCalls = 12;
constexpr std::int64_t kVanishesAt = 8'000;
constexpr std::int64_t kBound =
    8'050;  // the protocol page: 8 s of its end, and each time limit is 50 ms longer
constexpr std::int64_t kWatched = 50'000;

std::atomic<bool> vanished{false};
std::atomic<std::int64_t> vanished_at{-1};

struct Call {
  std::int64_t stood_at = -1;
  std::int64_t released_at = -1;
  std::int64_t over_at = -1;  // at the centrale
  char centrale = 0;
};
std::mutex calls_lock;
std::map<std::string, Call> calls;

class Centrale {
 public:
  explicit Centrale(int place)
      : name_(static_cast<char>('A' + place)),
        id_("s-0000000" + hex16(10 + place).substr(15)),
        place_(place) {}
  void run(int port, std::int64_t hold_ms) {
    hold_ms_ = hold_ms;
    if (!socket_.open(port, "/centrales")) cannot_run("a centrale cannot connect");
    socket_.send(R"({"type":"register","centrale":")" + id_ + R"(","place":)" + std::to_string(place_) +
                 R"(,"capacity":1})");
    std::thread([this] {
      while (const auto message = socket_.receive()) take(*message);
    }).detach();
  }

 private:
  [[nodiscard]] bool gone() const { return name_ == 'A' && vanished; }
  void take(const std::string& message) {
    const std::string type = field(message, "type");
    const std::string call = field(message, "call");
    if (gone() || call.empty()) return;
    record("centrale %c %s call=%s", name_, type.c_str(), call.c_str());
    if (type != "set-up") return;
    std::thread([this, call] { serve(call); }).detach();
  }
  void serve(const std::string& call) {
    sleep_ms(20);
    if (gone()) return;
    {
      const std::lock_guard hold(calls_lock);
      calls[call].centrale = name_;
    }
    record("centrale %c started call=%s", name_, call.c_str());
    socket_.send(R"({"type":"started","call":")" + call + R"(","description":"leg at )" + name_ + "\"}");
    for (const std::int64_t until = now_ms() + hold_ms_; now_ms() < until && !gone();) sleep_ms(5);
    {
      const std::lock_guard hold(calls_lock);
      calls[call].over_at = gone() ? vanished_at.load() : now_ms();
    }
    if (gone()) return;
    record("centrale %c ended call=%s cause=16", name_, call.c_str());
    socket_.send(R"({"type":"ended","call":")" + call + R"(","cause":16})");
  }

  const char name_;
  const std::string id_;
  const int place_;
  std::int64_t hold_ms_ = 0;
  WebSocket socket_;
};

// Passes on both ways until the machine behind it vanishes; then what still comes is dropped and nothing is
// closed.
void proxy(int listener, int to) {
  const int near = accept_on(listener);
  const int far = connect_to(to);
  ::close(listener);  // new connections of this machine never come up
  if (near < 0 || far < 0) cannot_run("the proxy cannot connect");
  const auto pass = [](int from, int into) {
    for (std::string bytes; read_some(from, bytes); bytes.clear()) {
      if (!vanished && !write_all(into, bytes)) break;
    }
    record("proxy: a side has closed its connection");
  };
  std::thread(pass, near, far).detach();
  std::thread(pass, far, near).detach();
}

void hear(WebSocket& client) {
  while (const auto message = client.receive()) {
    const std::string type = field(*message, "type");
    const std::string call = field(*message, "call");
    record("client %s call=%s result=%s cause=%s", type.c_str(), call.c_str(),
           field(*message, "result").c_str(), field(*message, "cause").c_str());
    const std::lock_guard hold(calls_lock);
    if (type == "answer" && field(*message, "result") == "stands") calls[call].stood_at = now_ms();
    if (type == "released") calls[call].released_at = now_ms();
  }
}

// Calls that are over for longer than the bound and were not released towards their client in it.
int judge(bool print) {
  const std::lock_guard hold(calls_lock);
  int broken = 0;
  int judged = 0;
  for (const auto& [id, call] : calls) {
    if (call.stood_at < 0 || call.over_at < 0) continue;
    ++judged;
    const std::int64_t released = call.released_at < 0 ? now_ms() : call.released_at;
    if (released - call.over_at <= kBound) continue;
    ++broken;
    if (!print) continue;
    record("BROKEN call=%s at %c was over at %lld and %s %lld (%lld ms)", id.c_str(), call.centrale,
           static_cast<long long>(call.over_at), call.released_at < 0 ? "not released by" : "released at",
           static_cast<long long>(released), static_cast<long long>(released - call.over_at));
  }
  if (print) record("judged=%d broken=%d", judged, broken);
  if (print && judged < kCalls / 2) cannot_run("too few calls stood and ended");
  return broken;
}

}  // namespace

int main(int argc, char** argv) {  // ROOT TMP RECORD
  if (argc != 4) cannot_run("usage: case ROOT TMP RECORD");
  const std::string tmp = argv[2];
  open_record(argv[3]);
  const char* given = std::getenv("TROUBLE");
  const bool trouble = given == nullptr || std::string(given) != "0";
  const int websocket = free_port();
  const int mgmt = free_port();
  write_file(tmp + "/config.json", config("n1", mgmt, ""));
  write_file(tmp + "/fronts.json", R"({"websocket":{"on":true,"listen":"127.0.0.1:)" +
                                       std::to_string(websocket) + R"("},"zone":{"on":false}})");
  Controller controller(argv[1], tmp + "/fronts.json", tmp + "/config.json", tmp + "/controller.log");
  controller.start();
  if (!ready(mgmt, 10'000)) cannot_run("the controller is not ready");
  const int at_proxy = listen_on(0);
  const int proxy_port = port_of(at_proxy);
  std::thread(proxy, at_proxy, websocket).detach();
  static Centrale a(0);
  static Centrale b(1);
  a.run(proxy_port, 20'000);
  b.run(websocket, 20'000);
  sleep_ms(500);
  static WebSocket client;
  if (!client.open(websocket, "/calls")) cannot_run("the client cannot connect");
  std::thread(hear, std::ref(client)).detach();
  for (int n = 0; n < kCalls; ++n) {
    const std::string call = hex16(0xca11000000000000ULL + static_cast<std::uint64_t>(n));
    record("client set-up call=%s", call.c_str());
    client.send(R"({"type":"set-up","call":")" + call + R"(","class":"pedido-viaje","number":")" +
                hex16(0x5000 + static_cast<std::uint64_t>(n)) +
                R"(","description":"caller","patience_ms":3000,"first_choice":)" + std::to_string(n % 2) +
                "}");
    sleep_ms(200);
  }
  sleep_until(kVanishesAt);
  if (trouble) {
    vanished_at = now_ms();
    vanished = true;
    record("the machine of centrale A has vanished, and its calls with it");
  }
  // Watched for longer than the bound, to tell when the releases come.
  sleep_until(kVanishesAt + kWatched);
  const bool runs = !controller.ended(0);
  const int broken = judge(true);
  controller.stop();
  if (!runs) cannot_run("the controller has ended");
  std::printf("%d calls were over and not released towards their client within 8 s\n", broken);
  std::fflush(stdout);
  std::_Exit(broken > 0 ? 1 : 0);
}
