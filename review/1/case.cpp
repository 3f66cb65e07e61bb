// Case 1: a call is out at two centrales at once, after an answer that came late on the WebSocket front.
//
// One controller, three centrales and one client on WebSocket. The way from each centrale back to the
// controller is led through a proxy that holds it for 700 ms in every 3 s, at one centrale after the other
// (nothing is lost or reordered, and the way there is never held). In the first 250 ms of this time the
// centrale's processor is full: it turns set-ups away.
#include <algorithm>

#include "../common/kit.h"

namespace {

using namespace kit;

constexpr std::int64_t kRunsFor = 98'000;
constexpr std::int64_t kBetweenCalls = 110;
constexpr std::int64_t kStallEvery = 3'000;
constexpr std::int64_t kStallsFor = 700;
constexpr std::int64_t kFullFor = 250;  // from the beginning of a stall on, the centrale's processor is full
constexpr std::int64_t kSlack = 50;     // the protocol page: each time limit is 50 ms longer
constexpr int kCentrales = 3;

bool trouble = true;

// The centrale's stall of this moment: its beginning, or -1.
std::int64_t stall_at(int place, std::int64_t now) {
  const std::int64_t first = kStallEvery + place * kStallEvery / kCentrales;
  if (now < first) return -1;
  const std::int64_t begun = first + (now - first) / kStallEvery * kStallEvery;
  return now < begun + kStallsFor ? begun : -1;
}

struct Attempt {
  std::string call;
  char centrale = 0;
  std::int64_t came = 0;
  std::int64_t over = -1;  // its end was written, or it was given up or released; -1: it still stands
  bool stood = false;
};
std::mutex attempts_lock;
std::vector<Attempt> attempts;
std::map<std::string, int> answers;  // final answers by call

Attempt* open_attempt(const std::string& call, char centrale) {
  const auto found = std::find_if(attempts.rbegin(), attempts.rend(), [&](const Attempt& a) {
    return a.call == call && a.centrale == centrale && a.over < 0;
  });
  return found == attempts.rend() ? nullptr : &*found;
}
void over(const std::string& call, char centrale) {
  const std::lock_guard hold(attempts_lock);
  if (Attempt* a = open_attempt(call, centrale)) a->over = now_ms();
}

class Centrale {
 public:
  explicit Centrale(int place)
      : name_(static_cast<char>('A' + place)),
        id_("s-0000000" + hex16(10 + place).substr(15)),
        place_(place) {}
  void run(int port) {
    if (!socket_.open(port, "/centrales")) cannot_run("a centrale cannot connect");
    socket_.send(R"({"type":"register","centrale":")" + id_ + R"(","place":)" + std::to_string(place_) +
                 R"(,"capacity":1})");
    std::thread([this] {
      while (const auto message = socket_.receive()) take(*message);
    }).detach();
  }

 private:
  void take(const std::string& message) {
    const std::string type = field(message, "type");
    const std::string call = field(message, "call");
    if (type == "set-up") {
      record("centrale %c set-up call=%s left_ms=%s", name_, call.c_str(), field(message, "left_ms").c_str());
      {
        const std::lock_guard hold(attempts_lock);
        attempts.push_back({call, name_, now_ms()});
      }
      const std::int64_t stall = stall_at(place_, now_ms());
      if (stall >= 0 && now_ms() < stall + kFullFor) return refuse(call);
      // Just recovered from a full processor: slower than usual.
      const std::int64_t work = stall >= 0 ? 250 : 20;
      std::thread([this, call, work] { answer(call, work); }).detach();
    } else if (type == "give-up" || type == "release") {
      record("centrale %c %s call=%s", name_, type.c_str(), call.c_str());
      over(call, name_);
    }
  }
  void refuse(const std::string& call) {
    record("centrale %c ended call=%s cause=34 swamped", name_, call.c_str());
    over(call, name_);
    socket_.send(R"({"type":"ended","call":")" + call + R"(","cause":34,"note":"swamped"})");
  }
  void answer(const std::string& call, std::int64_t work) {
    sleep_ms(work);
    {
      const std::lock_guard hold(attempts_lock);
      Attempt* a = open_attempt(call, name_);
      if (a == nullptr || a->stood) return;  // given up meanwhile
      a->stood = true;
      record("centrale %c started call=%s", name_, call.c_str());
      socket_.send(R"({"type":"started","call":")" + call + R"(","description":"leg at )" + name_ + "\"}");
    }
    sleep_ms(1500);
    {
      const std::lock_guard hold(attempts_lock);
      Attempt* a = open_attempt(call, name_);
      if (a == nullptr || !a->stood) return;
      a->over = now_ms();
    }
    record("centrale %c ended call=%s cause=16", name_, call.c_str());
    socket_.send(R"({"type":"ended","call":")" + call + R"(","cause":16})");
  }

  const char name_;
  const std::string id_;
  const int place_;
  WebSocket socket_;
};

// Passes on both ways; what goes to the controller waits while a stall lasts.
void proxy(int listener, int to, int place) {
  const int near = accept_on(listener);
  const int far = connect_to(to);
  if (near < 0 || far < 0) cannot_run("the proxy cannot connect");
  const auto pass = [place](int from, int into, bool held) {
    for (std::string bytes; read_some(from, bytes); bytes.clear()) {
      while (held && trouble && stall_at(place, now_ms()) >= 0) sleep_ms(2);
      if (!write_all(into, bytes)) break;
    }
    ::shutdown(into, SHUT_WR);
  };
  std::thread(pass, near, far, true).detach();
  std::thread(pass, far, near, false).detach();
}

void place_calls(WebSocket& client, std::int64_t until) {
  for (std::uint64_t n = 1; now_ms() < until; ++n) {
    const std::string call = hex16(0xca11000000000000ULL + n);
    record("client set-up call=%s", call.c_str());
    client.send(R"({"type":"set-up","call":")" + call + R"(","class":"estado-viaje","number":")" +
                hex16(0x5000 + n) + R"(","description":"caller","patience_ms":3000,"first_choice":)" +
                std::to_string(n % kCentrales) + "}");
    sleep_ms(kBetweenCalls);
  }
}
void hear(WebSocket& client) {
  while (const auto message = client.receive()) {
    const std::string type = field(*message, "type");
    if (type == "taken") continue;
    record("client %s call=%s result=%s reason=%s", type.c_str(), field(*message, "call").c_str(),
           field(*message, "result").c_str(), field(*message, "reason").c_str());
    if (type != "answer") continue;
    const std::lock_guard hold(attempts_lock);
    ++answers[field(*message, "call")];
  }
}

// Two attempts of one call that were out at once for longer than the slack.
int judge() {
  const std::lock_guard hold(attempts_lock);
  int broken = 0;
  for (std::size_t i = 0; i < attempts.size(); ++i) {
    for (std::size_t k = i + 1; k < attempts.size(); ++k) {
      const Attempt& a = attempts[i];
      const Attempt& b = attempts[k];
      if (a.call != b.call) continue;
      const auto end = [](const Attempt& x) { return x.over < 0 ? now_ms() : x.over; };
      const std::int64_t both = std::min(end(a), end(b)) - std::max(a.came, b.came);
      if (both <= kSlack) continue;
      ++broken;
      record("BROKEN call=%s out at %c from %lld to %lld%s and at %c from %lld to %lld%s", a.call.c_str(),
             a.centrale, static_cast<long long>(a.came), static_cast<long long>(end(a)),
             a.stood ? " (it stood)" : "", b.centrale, static_cast<long long>(b.came),
             static_cast<long long>(end(b)), b.stood ? " (it stood)" : "");
    }
  }
  const auto stood =
      std::count_if(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.stood; });
  record("attempts=%zu stood=%lld answered=%zu broken=%d", attempts.size(), static_cast<long long>(stood),
         answers.size(), broken);
  if (stood < 100) cannot_run("too few calls stood");
  return broken;
}

}  // namespace

int main(int argc, char** argv) {  // ROOT TMP RECORD
  if (argc != 4) cannot_run("usage: case ROOT TMP RECORD");
  const std::string tmp = argv[2];
  open_record(argv[3]);
  trouble = std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";
  const int websocket = free_port();
  const int mgmt = free_port();
  write_file(tmp + "/config.json", config("n1", mgmt, ""));
  write_file(tmp + "/fronts.json", R"({"websocket":{"on":true,"listen":"127.0.0.1:)" +
                                       std::to_string(websocket) + R"("},"zone":{"on":false}})");
  Controller controller(argv[1], tmp + "/fronts.json", tmp + "/config.json", tmp + "/controller.log");
  controller.start();
  if (!ready(mgmt, 10'000)) cannot_run("the controller is not ready");

  for (int place = 0; place < kCentrales; ++place) {
    const int at_proxy = listen_on(0);
    std::thread(proxy, at_proxy, websocket, place).detach();
    (new Centrale(place))->run(port_of(at_proxy));  // lives as long as its threads, to the end of the program
  }
  sleep_ms(500);
  static WebSocket client;
  if (!client.open(websocket, "/calls")) cannot_run("the client cannot connect");
  std::thread(hear, std::ref(client)).detach();
  place_calls(client, kRunsFor);
  sleep_ms(4'000);
  const bool runs = !controller.ended(0);
  const int broken = judge();
  controller.stop();
  if (!runs) cannot_run("the controller has ended");
  std::printf("%d calls were out at two centrales at once\n", broken);
  std::fflush(stdout);
  std::_Exit(broken > 0 ? 1 : 0);
}
