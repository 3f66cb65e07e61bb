// WebSocket connections on loopback whose turns the test gives, so that a message or a close is noticed when
// the test says so; behind them a core with fake endpoints, or with endpoints that register on the front.
#pragma once

#include <sys/ioctl.h>

#include "../scenario.h"
#include "core_rig.h"
#include "tcp_pair.h"
#include "ws/connection.h"

namespace reeltack::test {

// The far end of a connection, and the front's end of it.
struct WebSocketPeer {
  std::unique_ptr<net::Loop> loop = std::make_unique<net::Loop>();  // not started: the test gives each turn
  StandIn far;
  int near_fd = -1;
  std::shared_ptr<ws::Connection> near;
  bool over = false;  // the front has let it go

  void step() const { near->handle_event(true); }
  // In one write, and taken by the front in one turn.
  void send_bytes(const std::string& bytes) const {
    far.raw(bytes);
    ASSERT_TRUE(await_in_kernel(bytes.size()));
    step();
  }
  void send(const std::string& json) const { send_bytes(StandIn::masked(ws::kOpText, json)); }
  [[nodiscard]] bool await_in_kernel(std::size_t bytes) const {
    return await_kernel([this, bytes] {
      int waiting = 0;
      return ::ioctl(near_fd, FIONREAD, &waiting) == 0 && waiting >= static_cast<int>(bytes);
    });
  }
  [[nodiscard]] bool await_close_in_kernel() const {
    return await_kernel([this] { return !near->reachable(); });
  }
  void half_close() const { ::shutdown(far.fd(), SHUT_WR); }
  void reset() {
    const linger hard{1, 0};
    ::setsockopt(far.fd(), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    far.close();
  }
  // Steps until the front has discarded the peer, and then discards it as a listener does.
  [[nodiscard]] bool await_over() {
    const bool ended = await_kernel([this] {
      if (!over) step();
      return over;
    });
    if (ended) {
      near.reset();
      loop.reset();
    }
    return ended;
  }
};

// How a connection ends without a close frame.
enum class Drop { close, half_close, reset };
inline void drop(WebSocketPeer& peer, Drop how) {
  if (how == Drop::close) peer.far.close();
  if (how == Drop::half_close) peer.half_close();
  if (how == Drop::reset) peer.reset();
}
inline const char* name_of(Drop how) {
  constexpr const char* kNames[] = {"Close", "HalfClose", "Reset"};
  return kNames[static_cast<int>(how)];
}

class WebSocketRig : public CoreRig {
 protected:
  // With fake endpoints.
  void run_clients(const Settings& settings, std::vector<ServerId> endpoints = {kFirst}) {
    run(settings, std::move(endpoints));
    make_front();
  }
  // With endpoints that register on the front.
  void run_endpoints(const Settings& settings) {
    core_ = std::make_unique<core::Core>(settings, 1);
    make_front();
    core_->start(*front_);
    settle(*core_);
  }
  void TearDown() override {
    CoreRig::TearDown();
    peers_.clear();
  }
  WebSocketPeer& connect(const std::string& path) {
    TcpPair pair;
    auto peer = std::make_unique<WebSocketPeer>();
    peer->near_fd = pair.near.get();
    peer->near = std::make_shared<ws::Connection>(*front_, std::move(pair.near));
    peer->near->begin(*peer->loop, [p = peer.get()](net::Peer&) { p->over = true; });
    peer->far = StandIn(StandIn::Kind::ws, std::move(pair.far));
    peer->send_bytes(ws::client_handshake("t", path, "dGhlIHNhbXBsZSBub25jZQ=="));
    std::string answer(129, '\0');  // the 101 has this length for that key
    EXPECT_EQ(::recv(peer->far.fd(), answer.data(), answer.size(), MSG_WAITALL), 129);
    peers_.push_back(std::move(peer));
    return *peers_.back();
  }
  WebSocketPeer& connect_client() { return connect("/calls"); }
  // An endpoint that has registered.
  WebSocketPeer& connect_endpoint(ServerId id) {
    WebSocketPeer& endpoint = connect("/centrales");
    endpoint.send(registration(id));
    expect_message(endpoint, {"registered", name_of_endpoint(id)});
    settle(*core_);
    return endpoint;
  }
  static std::string name_of_endpoint(ServerId id) {
    return "s-" + net::hex16(static_cast<std::uint64_t>(id)).substr(8);
  }
  static std::string registration(ServerId id) {
    return R"({"type":"register","centrale":")" + name_of_endpoint(id) + R"("})";
  }
  static std::string id_text(CallId call) { return net::hex16(static_cast<std::uint64_t>(call)); }
  static std::string about(const char* type, CallId call, const std::string& more = "") {
    return std::string(R"({"type":")") + type + R"(","call":")" + id_text(call) + "\"" + more + "}";
  }
  static std::string set_up(CallId call, const std::string& patience = "8000") {
    return about("set-up", call,
                 R"(,"class":"voice","number":"00000000000000aa","patience_ms":)" + patience +
                     R"(,"description":"d")");
  }
  static std::string frame(const std::string& json) { return StandIn::masked(ws::kOpText, json); }
  static std::string close_of_client() { return StandIn::masked(ws::kOpClose, std::string("\x03\xe8", 2)); }

  static void expect_message(WebSocketPeer& peer, std::initializer_list<std::string> words) {
    const std::string message = peer.far.next();
    for (const std::string& word : words) EXPECT_NE(message.find(word), std::string::npos) << message;
  }
  static void expect_nothing(WebSocketPeer& peer) {
    char byte = 0;
    EXPECT_EQ(::recv(peer.far.fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT), -1) << peer.far.next();
  }
  // A call that holds the endpoint's one turn, so that the next waits in the queue.
  void occupy_endpoint(WebSocketPeer& client, CallId call) {
    const std::size_t before = endpoints_.starts();
    client.send(set_up(call));
    expect_message(client, {"taken", id_text(call)});
    ASSERT_TRUE(endpoints_.await_starts(before + 1));
  }
  // What a client hears that asks on a connection of its own.
  void expect_status(CallId call, const std::string& state) {
    WebSocketPeer& asker = connect_client();
    asker.send(about("status", call));
    settle(*core_);
    expect_message(asker, {"status", id_text(call), "\"" + state + "\""});
    expect_nothing(asker);
  }

  std::unique_ptr<core::OfficeList> list_;
  std::unique_ptr<ws::Frontend> front_;
  std::vector<std::unique_ptr<WebSocketPeer>> peers_;

 private:
  void make_front() {
    list_ = std::make_unique<core::OfficeList>(*core_);
    front_ = std::make_unique<ws::Frontend>(
        *core_, *list_, ws::Frontend::Setup{.class_names = {"voice"}, .origins = {}, .connections = 100});
  }
};

}  // namespace reeltack::test
