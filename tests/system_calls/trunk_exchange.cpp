#include "system_calls/trunk_exchange.h"

#include <gtest/gtest.h>

#include "base/json.h"
#include "system_calls/faults.h"
#include "system_calls/peers.h"

namespace reeltack::test {
namespace {

using namespace std::chrono_literals;

constexpr ServerId kTrunk{0xf001};
constexpr ServerId kEndpoint{1};
constexpr std::uint32_t kPlace = 9;
constexpr int kBusyCause = 17;  // Q.850; refused as full, an endpoint would be spared for a while

Settings core_settings() {
  Settings out;
  out.classes.push_back({.aim = 2s, .deadline = 9s, .effect = Effect::once});
  out.attempts_cap = 5;
  out.may_cancel = true;
  out.release_guard = 50ms;
  return out;
}
trunk::TrunkSettings trunk_settings(circuits::PointCode own, circuits::PointCode far) {
  trunk::TrunkSettings out;
  out.name = "west";
  out.office = kTrunk;
  out.place = kPlace;
  out.far_place = kPlace;
  out.group.size = TrunkExchange::kCircuits;
  out.group.own = own;
  out.group.far = far;
  out.group.release_again = 200ms;
  out.group.audit_period = 200ms;
  out.group.confirm_after = 50ms;
  return out;
}

}  // namespace

CallSeen SeenCalls::of(CallId call) {
  const std::lock_guard hold(lock_);
  return calls_[call];
}
void SeenCalls::note(CallId call, int CallSeen::*what) {
  const std::lock_guard hold(lock_);
  ++(calls_[call].*what);
}
std::map<CallId, CallSeen> SeenCalls::all() {
  const std::lock_guard hold(lock_);
  return calls_;
}

void TrunkEndpoint::start(const core::SetUp& set_up) {
  seen.note(set_up.call, &CallSeen::starts);
  core_.attempt_transmitted();
  const auto behaviour = static_cast<std::uint64_t>(set_up.number) % 10;
  if (behaviour == kAnswers) core_.office_answered(kEndpoint, set_up.call, "by the endpoint");
  if (behaviour == kBusy) core_.office_released({kEndpoint, set_up.call, kBusyCause, "", {}});
}
void TrunkEndpoint::hang_up(CallId call) {
  core_.office_released({kEndpoint, call, core::kNormalClearing, "", {}});
}

TrunkExchange::TrunkExchange()
    : near(core_settings(), 1), far(core_settings(), 2), near_list_(near), far_list_(far) {
  trunk::TrunkSettings dials = trunk_settings(1, 2);
  dials.dial = own_address(0);
  trunk::TrunkSettings listens = trunk_settings(2, 1);
  listens.listen = own_address(0);
  dialling = std::make_unique<trunk::Trunk>(near, near_list_, dials, std::vector<std::string>{"voice"}, 1);
  listening = std::make_unique<trunk::Trunk>(far, far_list_, listens, std::vector<std::string>{"voice"}, 2);
  endpoint = std::make_unique<TrunkEndpoint>(far);
  far_sides_ = std::make_unique<core::OfficeRouter>(*endpoint);
  far_sides_->add(*listening, [](ServerId id) { return id == kTrunk; });
}
TrunkExchange::~TrunkExchange() { close(); }

void TrunkExchange::start() {
  const faults::ProgramCalls counted;
  near.start(*dialling);
  far.start(*far_sides_);
  far_list_.update(core::Source::platform, true, {{{kEndpoint, kPlace}, "endpoint"}});
  listening->open();
  dialling->open();
}
void TrunkExchange::close() {
  if (std::exchange(closed_, true)) return;
  {
    const faults::ProgramCalls counted;
    dialling->close();
    listening->close();
  }
  near.stop();
  far.stop();
}

bool TrunkExchange::until(const std::function<bool()>& holds) {
  for (const Time by = net::now() + 10s; net::now() < by; net::pause_until(net::now() + 1ms)) {
    if (holds()) return true;
  }
  return false;
}
double TrunkExchange::figure(const trunk::Trunk& of, const std::string& key) {
  return base::Json::parse(of.status(false)).find(key)->number().value_or(-1.0);
}
bool TrunkExchange::all_idle() const {
  return figure(*dialling, "selectable") == kCircuits && figure(*listening, "selectable") == kCircuits;
}

void TrunkExchange::invite(std::uint64_t call, int behaviour) {
  core::Request request;
  request.arrival.call = CallId{call};
  request.arrival.number = CalledNumber{call * 10 + static_cast<std::uint64_t>(behaviour)};
  request.arrival.destination = kPlace;
  request.arrival.caller_leaves_at = net::now() + 4s;
  request.description = "offer";
  request.frontend = &caller;
  near.request(std::move(request));
}
bool TrunkExchange::await_final(std::uint64_t call) {
  return until([this, call] {
    const CallSeen seen = caller.seen.of(CallId{call});
    return seen.stands + seen.refusals > 0;
  });
}

void TrunkExchange::play() {
  ASSERT_TRUE(until([this] { return all_idle() && near.ready() && far.ready(); }));
  invite(1, TrunkEndpoint::kAnswers);
  EXPECT_TRUE(await_final(1));
  near.release(CallId{1}, caller);
  invite(2, TrunkEndpoint::kBusy);
  EXPECT_TRUE(await_final(2));
  invite(3, TrunkEndpoint::kAnswers);
  EXPECT_TRUE(await_final(3));
  if (caller.seen.of(CallId{3}).stands > 0) {
    endpoint->hang_up(CallId{3});
    EXPECT_TRUE(until([this] { return caller.seen.of(CallId{3}).releases > 0; })) << "the release was lost";
  }
  invite(4, TrunkEndpoint::kSilent);
  EXPECT_TRUE(until(
      [this] { return endpoint->seen.of(CallId{4}).starts > 0 || caller.seen.of(CallId{4}).refusals > 0; }));
  near.cancel(CallId{4}, caller);
  invite(5, TrunkEndpoint::kAnswers);
  invite(6, TrunkEndpoint::kAnswers);
  EXPECT_TRUE(await_final(5));
  EXPECT_TRUE(await_final(6));
  near.release(CallId{5}, caller);
  near.release(CallId{6}, caller);
  expect_idle();
}

void TrunkExchange::expect_idle() {
  EXPECT_TRUE(until([this] { return all_idle(); })) << dialling->status(true) << listening->status(true);
}

void TrunkExchange::expect_serving() {
  bool served = false;
  for (int tries = 0; !served && tries < 3; ++tries) {
    const std::uint64_t call = ++further_;
    invite(call, TrunkEndpoint::kAnswers);
    served = await_final(call) && caller.seen.of(CallId{call}).stands > 0;
    near.release(CallId{call}, caller);
  }
  EXPECT_TRUE(served) << "it serves no further call";
}

void TrunkExchange::expect_each_answered_once() {
  for (const auto& [id, seen] : caller.seen.all()) {
    const auto call = static_cast<std::uint64_t>(id);
    if (call != 4) {  // which its caller gives up
      EXPECT_EQ(seen.stands + seen.refusals, 1) << "call " << call;
    }
    EXPECT_LE(seen.releases, 1) << "call " << call;
    const CallSeen there = endpoint->seen.of(id);
    EXPECT_LE(there.starts, 1) << "call " << call << " was sent twice";
  }
}
void TrunkExchange::expect_undisturbed() {
  for (const std::uint64_t call : {1U, 3U, 5U, 6U}) EXPECT_EQ(caller.seen.of(CallId{call}).stands, 1) << call;
  EXPECT_EQ(caller.seen.of(CallId{2}).refusals, 1);
  EXPECT_EQ(caller.seen.of(CallId{3}).releases, 1);
  EXPECT_EQ(caller.seen.of(CallId{4}).stands, 0);
  EXPECT_TRUE(until([this] { return endpoint->seen.of(CallId{4}).over > 0; }));
  EXPECT_EQ(figure(*dialling, "connections"), 1);
}

}  // namespace reeltack::test
