#include "system_calls/websocket_exchange.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include "system_calls/faults.h"

namespace reeltack::test {
namespace {

using namespace std::chrono_literals;

// Of this test process alone, so that tests run side by side.
net::Address own_address() {
  const int pid = ::getpid();
  return {"127." + std::to_string(200 + (pid >> 14 & 31)) + "." + std::to_string(pid >> 6 & 255) + "." +
              std::to_string((pid & 63) * 4),
          6000};
}

}  // namespace

WebSocketExchange::WebSocketExchange() : address_(own_address()), client_(address_) {
  endpoints_.emplace_back(address_, "s-0000000a", true);
  endpoints_.emplace_back(address_, "s-0000000b", false);
}
WebSocketExchange::~WebSocketExchange() {
  client_.close();
  for (WebSocketEndpoint& endpoint : endpoints_) endpoint.close();
  if (front_) front_->close_all();
  if (core_) core_->stop();
}

void WebSocketExchange::start() {
  const faults::ProgramCalls counted;
  Settings settings;
  settings.classes.push_back({.aim = 2s, .deadline = 9s, .effect = Effect::once});
  settings.attempts_cap = 5;
  settings.may_cancel = true;
  settings.release_guard = 50ms;
  core_ = std::make_unique<core::Core>(settings, 1);
  list_ = std::make_unique<core::OfficeList>(*core_);
  front_ = std::make_unique<ws::Frontend>(
      *core_, *list_, ws::Frontend::Setup{.class_names = {"voice"}, .origins = {}, .connections = 100});
  core_->start(*front_);
  front_->open(address_);
}

bool WebSocketExchange::until(const std::function<bool()>& holds) {
  for (const Time by = net::now() + 10s; net::now() < by;) {
    for (WebSocketEndpoint& endpoint : endpoints_) endpoint.step();
    client_.step();
    if (holds()) return true;
    net::pause_until(net::now() + 200us);
  }
  return false;
}
bool WebSocketExchange::await_final(std::uint64_t call) {
  return until([&] { return !client_.calls[call].finals.empty() || client_.calls[call].unknown; });
}
bool WebSocketExchange::stands(std::uint64_t call) {
  const bool answered = await_final(call);
  EXPECT_TRUE(answered) << "call " << call << " has no final answer";
  return answered && client_.calls[call].finals == std::vector<std::string>{"stands"};
}
int WebSocketExchange::starts(std::uint64_t call) const {
  int sum = 0;
  for (const WebSocketEndpoint& e : endpoints_) sum += e.starts.contains(call) ? e.starts.at(call) : 0;
  return sum;
}
int WebSocketExchange::ends(std::uint64_t call) const {
  int sum = 0;
  for (const WebSocketEndpoint& e : endpoints_) sum += e.ends.contains(call) ? e.ends.at(call) : 0;
  return sum;
}

// No connection owns a call that stands: where one ends first, the release goes by the next.
void WebSocketExchange::release(std::uint64_t call) {
  for (int tries = 0; tries < 3 && ends(call) == 0; ++tries) {
    const int ended = client_.ended();
    client_.say("a", "release", call);
    EXPECT_TRUE(until([&] { return ends(call) > 0 || client_.ended() != ended; })) << "the release was lost";
  }
}

void WebSocketExchange::play() {
  const auto all_registered = [this] {
    return core_->ready() && std::all_of(endpoints_.begin(), endpoints_.end(),
                                         [](const WebSocketEndpoint& e) { return e.registered(); });
  };
  ASSERT_TRUE(until(all_registered));
  client_.set_up("a", {{1, WebSocketEndpoint::kAnswers}});
  if (stands(1)) release(1);
  client_.set_up("a", {{2, WebSocketEndpoint::kFull}});
  EXPECT_TRUE(await_final(2));
  client_.set_up("a", {{3, WebSocketEndpoint::kAnswers}});
  if (stands(3)) {
    for (WebSocketEndpoint& endpoint : endpoints_) {
      if (endpoint.starts.contains(3)) endpoint.end(3);
    }
    EXPECT_TRUE(until([this] { return client_.calls[3].released > 0; })) << "the release was lost";
  }
  client_.set_up("a", {{4, WebSocketEndpoint::kSilent}});
  EXPECT_TRUE(until(
      [this] { return starts(4) > 0 || !client_.calls[4].finals.empty() || client_.calls[4].unknown; }));
  client_.say("a", "give-up", 4);
  EXPECT_TRUE(await_final(4));
  EXPECT_TRUE(until([this] { return ends(4) >= std::min(starts(4), 1); })) << "the give-up was lost";
  client_.set_up("b", {{5, WebSocketEndpoint::kAnswers}, {6, WebSocketEndpoint::kAnswers}});
  EXPECT_TRUE(await_final(5));
  EXPECT_TRUE(await_final(6));
}

void WebSocketExchange::expect_serving() {
  bool served = false;
  for (int tries = 0; !served && tries < 3; ++tries) {
    const std::uint64_t call = ++further_;
    client_.set_up("a", {{call, WebSocketEndpoint::kAnswers}});
    served = stands(call);
  }
  EXPECT_TRUE(served) << "it serves no further call";
}

void WebSocketExchange::finish() {
  client_.reconnects(false);
  client_.set_up("c", {{7, WebSocketEndpoint::kAnswers}});
  // The front stops listening with the first close.
  for (WebSocketEndpoint& endpoint : endpoints_) endpoint.reconnects(false);
  {
    const faults::ProgramCalls counted;
    front_->close_clients();
  }
  EXPECT_TRUE(until([this] {
    return front_->clients_closed() && core_->open_calls() == 0 && client_.all_ended();
  })) << "it does not end";
  const faults::ProgramCalls counted;
  front_->close_all();
  core_->stop();
}

void WebSocketExchange::expect_each_answered_once() const {
  for (const auto& [call, seen] : client_.calls) {
    const bool cut = call == 7 && seen.finals.empty();  // its connection is not opened again
    EXPECT_TRUE(seen.unknown || cut || seen.finals.size() == 1)
        << "call " << call << ": " << seen.finals.size();
    EXPECT_FALSE(seen.unknown && seen.taken > 0) << "call " << call << " was taken and is unknown";
    EXPECT_LE(seen.released, 1) << "call " << call;
    int refused = 0;
    for (const WebSocketEndpoint& e : endpoints_)
      refused += e.refused.contains(call) ? e.refused.at(call) : 0;
    EXPECT_LE(starts(call), 1 + refused) << "call " << call << " was sent twice";
  }
}
void WebSocketExchange::expect_undisturbed() const {
  for (const auto& [call, seen] : client_.calls) {
    const char* expected = call == 4 ? "given-up" : "stands";
    EXPECT_EQ(seen.finals, std::vector<std::string>{expected}) << "call " << call;
    EXPECT_EQ(seen.taken, 1) << "call " << call;
  }
  EXPECT_EQ(client_.calls.at(3).released, 1);
  EXPECT_EQ(ends(1), 1);
  EXPECT_EQ(ends(4), 1);
}

}  // namespace reeltack::test
