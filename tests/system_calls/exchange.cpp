#include "system_calls/exchange.h"

#include <gtest/gtest.h>

#include "system_calls/faults.h"

namespace reeltack::test {
namespace {

using namespace std::chrono_literals;

}  // namespace

Exchange::Exchange() : front(own_address(0)) {
  endpoints.emplace_back(own_address(1), true);
  endpoints.emplace_back(own_address(2), false);
}
Exchange::~Exchange() {
  client.reset();
  if (sip) sip->close_all();
  if (core) core->stop();
  links.reset();
  sip.reset();
}

void Exchange::start() {
  const faults::ProgramCalls counted;
  Settings settings;
  settings.classes.push_back({.aim = 2s, .deadline = 9s, .effect = Effect::once});
  settings.attempts_cap = 5;
  settings.may_cancel = true;
  settings.release_guard = 50ms;
  core = std::make_unique<core::Core>(settings, 1);
  links = std::make_unique<platform::Offices>(*core, std::vector<std::string>{"voice"}, 500ms);
  sip = std::make_unique<platform::SipFrontend>(*core, std::vector<std::string>{"voice"}, 100);
  core->set_observer(blame_);
  core->start(*links, sip.get());
  sip->open(front);
  client = std::make_unique<FakeClient>(front);
}
void Exchange::list() {
  std::vector<core::OfficeEntry> listed;
  for (std::uint32_t n = 0; n < endpoints.size(); ++n)
    listed.push_back({{.server = ServerId{n + 1}, .place = n}, net::to_text(endpoints[n].address)});
  // A loop that is awake needs no bell, so the bell rings only once a list has found the loop asleep.
  const std::uint64_t rings = faults::visited(faults::Call::write);
  EXPECT_TRUE(until([&] {
    const faults::ProgramCalls counted;
    core->update_offices(true, listed);
    return faults::visited(faults::Call::write) > rings;
  })) << "the bell does not ring";
}

bool Exchange::until(const std::function<bool()>& holds) {
  for (const Time by = net::now() + 10s; net::now() < by;) {
    for (FakeEndpoint& endpoint : endpoints) endpoint.step();
    client->step();
    if (holds()) return true;
    net::pause_until(net::now() + 200us);
  }
  return false;
}
void Exchange::invite(const std::string& wire, std::uint64_t call, int behaviour) {
  client->invited(wire, call);
  client->send(wire, FakeClient::invite(call, behaviour));
}
bool Exchange::await_final(std::uint64_t call) {
  return until([&] { return !client->calls[call].finals.empty() || client->calls[call].cut; });
}
int Exchange::starts(std::uint64_t call) const {
  int sum = 0;
  for (const FakeEndpoint& endpoint : endpoints) {
    const auto found = endpoint.starts.find(call);
    sum += found == endpoint.starts.end() ? 0 : found->second;
  }
  return sum;
}

// No connection owns a call that stands: where one ends before the answer, the release goes by the next.
void Exchange::release(std::uint64_t call) {
  for (int tries = 0; tries < 3 && client->calls[call].bye_answers == 0; ++tries) {
    const int ended = client->ended();
    client->send("a", FakeClient::request("BYE", call));
    EXPECT_TRUE(until([&] { return client->calls[call].bye_answers > 0 || client->ended() != ended; }));
  }
}

void Exchange::play() {
  const auto stands = [this](std::uint64_t call) {
    return await_final(call) && client->calls[call].finals == std::vector{200};
  };
  ASSERT_TRUE(until([this] { return core->ready(); }));
  invite("a", 1, FakeEndpoint::kAnswers);
  if (stands(1)) release(1);
  invite("a", 2, FakeEndpoint::kFull);
  EXPECT_TRUE(await_final(2));
  invite("a", 3, FakeEndpoint::kReleases);
  if (stands(3)) {
    for (FakeEndpoint& endpoint : endpoints) {
      if (endpoint.starts.contains(3)) endpoint.release(3);
    }
    EXPECT_TRUE(until([this] { return client->calls[3].byes > 0; })) << "the release was lost";
  }
  invite("a", 4, FakeEndpoint::kSilent);
  EXPECT_TRUE(
      until([this] { return starts(4) > 0 || !client->calls[4].finals.empty() || client->calls[4].cut; }));
  client->send("a", FakeClient::request("CANCEL", 4));
  EXPECT_TRUE(await_final(4));
  client->invited("b", 5);
  client->invited("b", 6);
  client->send("b",
               FakeClient::invite(5, FakeEndpoint::kAnswers) + FakeClient::invite(6, FakeEndpoint::kAnswers));
  EXPECT_TRUE(await_final(5));
  EXPECT_TRUE(await_final(6));
}

void Exchange::expect_serving() {
  bool served = false;
  for (int tries = 0; !served && tries < 3; ++tries) {
    const std::uint64_t call = ++further_;
    invite("a", call, FakeEndpoint::kAnswers);
    served = await_final(call) && client->calls[call].finals == std::vector{200};
  }
  EXPECT_TRUE(served) << "it serves no further call";
}

void Exchange::finish() {
  client->reconnects(false);
  invite("c", 7, FakeEndpoint::kAnswers);
  {
    const faults::ProgramCalls counted;
    sip->close_idle();
  }
  EXPECT_TRUE(await_final(7));
  EXPECT_TRUE(until([this] { return sip->closed() && core->open_calls() == 0; })) << "it does not end";
  client->close();
  const faults::ProgramCalls counted;
  sip->close_all();
  core->stop();
}

void Exchange::expect_each_answered_once() const {
  if (!client) return;
  for (const auto& [call, seen] : client->calls) {
    EXPECT_LE(seen.finals.size(), 1U) << "call " << call;
    EXPECT_TRUE(seen.cut || seen.finals.size() == 1) << "call " << call << " has no final answer";
    int refused = 0;
    for (const FakeEndpoint& endpoint : endpoints)
      refused += endpoint.refused.contains(call) ? endpoint.refused.at(call) : 0;
    EXPECT_LE(starts(call), 1 + refused) << "call " << call << " was sent twice";
  }
}
void Exchange::expect_undisturbed() const {
  const std::map<std::uint64_t, int> expected = {{1, 200}, {2, 200}, {3, 200}, {4, 487}, {5, 200}, {6, 200}};
  for (const auto& [call, status] : expected) {
    const FakeClient::Seen& seen = client->calls.at(call);
    EXPECT_FALSE(seen.cut) << "call " << call;
    EXPECT_EQ(seen.finals, std::vector{status}) << "call " << call;
  }
  EXPECT_EQ(client->calls.at(1).bye_answers, 1);
}
std::size_t Exchange::cut() const {
  std::size_t out = 0;
  for (const auto& [call, seen] : client->calls) out += seen.cut ? 1 : 0;
  return out;
}

}  // namespace reeltack::test
