// SIP callers on loopback whose connections are stepped by the test, so that a close or a message is noticed
// when the test says so; a core with fake endpoints behind them.
#pragma once

#include "../scenario.h"
#include "core_rig.h"
#include "platform/sip_connection.h"
#include "tcp_pair.h"

namespace reeltack::test {

// A caller's end of a connection, and the front's end of it.
struct SipCaller {
  StandIn far;
  int near_fd = -1;
  std::shared_ptr<platform::SipConnection> near;
  bool over = false;  // the front has let it go

  void step() const { near->handle_event(true); }
  void send(const std::string& text) const {
    far.send(text);
    step();
  }
  void half_close() const { ::shutdown(far.fd(), SHUT_WR); }
  [[nodiscard]] bool await_message_in_kernel() const {
    return await_kernel([this] {
      char byte = 0;
      return ::recv(near_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 1;
    });
  }
  [[nodiscard]] bool await_close_in_kernel() const {
    return await_kernel([this] { return !near->reachable(); });
  }
};

class SipRig : public CoreRig {
 protected:
  void run_sip(const Settings& settings, std::vector<ServerId> endpoints = {kFirst}) {
    run(settings, std::move(endpoints));
    front_ = std::make_unique<platform::SipFrontend>(*core_, std::vector<std::string>{"voice"}, 100);
  }
  void TearDown() override {
    CoreRig::TearDown();
    callers_at_.clear();
  }
  SipCaller& connect() {
    TcpPair pair;
    auto caller = std::make_unique<SipCaller>();
    caller->near_fd = pair.near.get();
    caller->near = std::make_shared<platform::SipConnection>(*front_, std::move(pair.near));
    caller->near->begin(loop_, [c = caller.get()](net::Peer&) { c->over = true; });
    caller->far = StandIn(StandIn::Kind::sip, std::move(pair.far));
    callers_at_.push_back(std::move(caller));
    return *callers_at_.back();
  }
  static std::string invite(int id, const std::string& patience = "8000") {
    return "INVITE " + id_text(id) + " Subject:voice X-Patience:" + patience + " | d";
  }
  static std::string id_text(int id) { return net::hex16(static_cast<std::uint64_t>(id)); }
  // A call that holds the endpoint's one turn, so that the next waits in the queue.
  void occupy_endpoint(SipCaller& caller, int id) {
    const std::size_t before = endpoints_.starts();
    caller.send(invite(id));
    ASSERT_TRUE(endpoints_.await_starts(before + 1));
  }
  // Steps the connection until the front has let it go.
  static bool await_over(SipCaller& caller) {
    return await_kernel([&] {
      if (!caller.over) caller.step();
      return caller.over;
    });
  }
  static void expect_message(SipCaller& caller, std::initializer_list<std::string> words) {
    const std::string message = caller.far.next();
    for (const std::string& word : words) EXPECT_NE(message.find(word), std::string::npos) << message;
  }
  static void expect_nothing(SipCaller& caller) {
    char byte = 0;
    EXPECT_EQ(::recv(caller.far.fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT), -1) << caller.far.next();
  }

  net::Loop loop_;  // not started: the test gives each step
  std::unique_ptr<platform::SipFrontend> front_;
  std::vector<std::unique_ptr<SipCaller>> callers_at_;
};

}  // namespace reeltack::test
