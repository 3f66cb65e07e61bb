#include "power.h"

#include <algorithm>
#include <cstdio>
#include <thread>

namespace reeltack::rig {
namespace {
constexpr Duration kUrgentCallWait =
    6s;  // at the rig's rate a controller receives an urgent call every 0.6 s
}  // namespace

RigSettings power_settings() {
  RigSettings out;
  out.processor =
      "{set_up: 8ms, answer: 4ms, release: 4ms, refuse: 2ms, repeat: 2ms, cold_from: 0.33, ramp: 15s, "
      "fall_multiple: 2}";
  out.load_duration = 90s;
  return out;
}

Power::Power(RigSettings settings) : rig(std::move(settings)), members_(rig.pack().size()) {}
Power::~Power() {
  if (load_running_) static_cast<void>(end_load());
}

void Power::warm(std::size_t established) {
  rig.pack().start_all();
  ASSERT_TRUE(settled(30s)) << figures();
  rig.play();
  load_running_ = true;
  ASSERT_TRUE(rig.until(20s, [&] { return rig.offices().counts().stood >= established; }));
}

void Power::restart_listed_office() {
  rig.offices().befall({Trouble::Kind::restart, {}, {kRestarted}, 100ms, 1.0});
  EXPECT_TRUE(rig.until(10s, [&] { return rig.all("offices_cold", 1); })) << figures();
  std::this_thread::sleep_for(1500ms);  // it is stored within a second
}

void Power::change_offices() {
  const auto change = [&](Trouble::Kind kind, std::size_t office, Duration lasts) {
    rig.offices().befall({kind, {}, {office}, lasts, 1.0});
  };
  change(Trouble::Kind::restart, kCold, 100ms);
  change(Trouble::Kind::die, kGone, {});
  change(Trouble::Kind::replace, kReplaced, 100ms);
  change(Trouble::Kind::drain, kDrained, 600s);
}

void Power::lose_power(Duration outage) {
  rig.pack().kill_all_at_once();
  rig.set_discovery_reachable(false);
  change_offices();
  std::this_thread::sleep_for(outage);
}

void Power::power_returns(const std::set<std::size_t>& only) {
  returned = base::now();
  std::vector<std::size_t> started;
  for (std::size_t i = 0; i < rig.pack().size(); ++i) {
    if (rig.pack().state(i) != standin::Pack::State::down || (!only.empty() && !only.contains(i))) continue;
    members_[i].log_offset = rig.pack().member(i).log().size();
    members_[i].launched = base::now();
    rig.pack().launch(i);
    started.push_back(i);
  }
  std::vector<std::future<Time>> up;
  for (const std::size_t i : started)
    up.push_back(std::async(std::launch::async, [this, i] { return rig.ready_time_of(i, 20s); }));
  for (std::size_t n = 0; n < started.size(); ++n) members_[started[n]].ready = up[n].get();
  for (const std::size_t i : started) rig.pack().await_ready(i);
  ready = base::now();
  const std::size_t established_before = rig.offices().counts().stood;
  EXPECT_TRUE(rig.until(20s, [&] { return rig.offices().counts().stood > established_before; })) << figures();
  std::printf("ready after %.2f s, first call after %.2f s\n", seconds(ready - returned),
              seconds(base::now() - returned));
}

bool Power::all_logged(const std::string& text, Duration limit, std::size_t from) {
  return rig.until(limit, [&] {
    for (std::size_t i = from; i < rig.pack().size(); ++i)
      if (members_[i].launched && log_since_return(i).find(text) == std::string::npos) return false;
    return true;
  });
}

bool Power::restore_discovery(Duration limit, const std::set<std::size_t>& without) {
  const std::int64_t newest = rig.list_number();
  std::vector<std::string> connected;
  for (std::size_t i = 0; i < rig.pack().size(); ++i)
    if (!without.contains(i)) connected.push_back(Rig::name(i));
  rig.between().clear({connected, {"bulletin"}, true});
  const Time restored_at = base::now();
  const bool all = rig.until(limit, [&] {
    bool received = true;
    for (std::size_t i = 0; i < rig.pack().size(); ++i) {
      if (rig.pack().state(i) != standin::Pack::State::up || members_[i].list || without.contains(i))
        continue;
      if (rig.figure(i, "list_number") >= newest)
        members_[i].list = base::now();
      else
        received = false;
    }
    return received;
  });
  std::printf("all have the list %.2f s after discovery is restored\n", seconds(base::now() - restored_at));
  return all;
}

bool Power::settled(Duration limit) {
  return rig.until(limit, [&] {
    return rig.all("stage", 5) && rig.all("alive", static_cast<std::int64_t>(rig.pack().size()));
  });
}

std::string Power::figures() {
  std::string out;
  for (std::size_t i = 0; i < rig.pack().size(); ++i) {
    out += Rig::name(i);
    for (const char* name : {"stage", "recovering", "opening", "alive", "agreed", "minority",
                             "offices_trusted", "offices_trial", "offices_barred", "offices_cold"})
      out += std::string(" ") + name + "=" + std::to_string(rig.figure(i, name));
    out += "\n";
  }
  return out;
}

std::string Power::logs(std::size_t lines) {
  std::string out;
  for (std::size_t i = 0; i < rig.pack().size(); i += 5) {
    std::string text = rig.pack().member(i).log();
    std::size_t at = text.size();
    for (std::size_t n = 0; n < lines && at != 0 && at != std::string::npos; ++n)
      at = text.rfind('\n', at - 1);
    out += Rig::name(i) + ":\n" + (at == std::string::npos ? text : text.substr(at));
  }
  return out;
}

std::unique_ptr<load::Played> Power::end_load() {
  load_running_ = false;
  rig.stop_load();
  return rig.played();
}

std::unique_ptr<load::Played> Power::judge_load(double min_part) {
  auto played = end_load();
  const load::Tally& all = played->recorder.all();
  EXPECT_EQ(played->recorder.violations().total(), 0U)
      << ::testing::PrintToString(played->recorder.violations().samples);
  EXPECT_EQ(all.ended(), all.started);
  EXPECT_EQ(rig.offices().counts().fallen, 0U);
  const double part = all.worth_offered > 0.0 ? all.worth_earned / all.worth_offered : 0.0;
  std::printf("worth %.3f of offered, %llu of %llu calls established\n", part,
              static_cast<unsigned long long>(all.results[static_cast<std::size_t>(load::Result::stands)]),
              static_cast<unsigned long long>(all.started));
  EXPECT_GT(part, min_part);
  return played;
}

void Power::judge(double min_part, bool offices_changed) {
  // Until each controller that returned has received an urgent call too.
  std::this_thread::sleep_until(base::to_steady(ready) + kUrgentCallWait);
  const auto played = judge_load(min_part);
  if (offices_changed) judge_rules(*played);
  judge_urgent(*played);
}

void Power::judge(Time listed, double min_part, Duration limit) {
  const auto played = judge_load(min_part);
  load::RulesChecker rules;
  Time last{};
  for (const load::OfficeEvent& e : rig.offices().take_log()) {
    using What = load::OfficeEvent::What;
    const bool is_end = e.what == What::draining || e.what == What::gone;
    if (is_end && e.office == kDrained + 1 && listed == Time{}) listed = e.at;
    if (!is_end) rules.take(e);  // which controller received it when is checked below
    if (e.what == What::set_up && e.office == kDrained + 1) last = e.at;
  }
  rules.finish();
  EXPECT_EQ(rules.found().two_out, 0U) << ::testing::PrintToString(rules.found().samples);
  EXPECT_EQ(rules.found().too_many, 0U) << ::testing::PrintToString(rules.found().samples);
  EXPECT_LE(last, listed + limit) << "the last set-up came " << seconds(last - listed) << " s after";
  std::printf("last set-up at the drained office %.3f s after it was listed\n", seconds(last - listed));
}

void Power::judge_rules(const load::Played& played) {
  const std::uint32_t drained = kDrained + 1;
  const std::uint32_t gone = kGone + 1;
  const EventsByController dealt = split_events(rig.offices().take_log(), played.tries, members_.size());
  EXPECT_TRUE(dealt.unattributed.empty()) << dealt.unattributed.size();
  Duration latest = Duration::min();
  std::size_t max_changes = 0;
  std::uint64_t undecided = 0;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    const auto lines = verdicts(log_since_return(i));
    // From its own list or from another member, whichever came first.
    std::optional<Time> known = barred_at(lines, drained);
    if (members_[i].list && (!known || *members_[i].list < *known)) known = members_[i].list;
    ASSERT_TRUE(known) << Rig::name(i) << " never received it";
    const auto found = rules_of(dealt.of[i], {{*known + kSlack, load::OfficeEvent::What::draining, drained}});
    EXPECT_EQ(found.total(), 0U) << Rig::name(i) << ::testing::PrintToString(found.samples);
    undecided += found.unsure;
    for (const load::OfficeEvent& e : dealt.of[i])
      if (e.what == load::OfficeEvent::What::set_up && e.office == drained)
        latest = std::max(latest, e.at - *known);
    std::size_t changes = 0;
    for (const VerdictLine& l : lines) changes += l.office == gone && !l.was.empty() ? 1 : 0;
    max_changes = std::max(max_changes, changes);
  }
  std::printf("%llu rules undecided, as messages were read late\n",
              static_cast<unsigned long long>(undecided));
  std::printf("verdicts on the gone office changed at most %zu times at one controller\n", max_changes);
  if (latest != Duration::min())
    std::printf("last set-up at the drained office %.3f s after its controller knew (0.25 required)\n",
                seconds(latest));
}

void Power::judge_urgent(const load::Played& played) {
  std::vector<double> from_start, waited;
  std::size_t returned_count = 0;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    if (!members_[i].ready) continue;
    ++returned_count;
    const FirstAttempts first = first_results_of(played.tries, i, kUrgent, *members_[i].launched);
    if (!first.attempted_at) continue;  // it received no urgent call
    ASSERT_TRUE(first.established_at) << Rig::name(i) << " served no urgent call";
    // It can serve none before it is ready, nor before one has arrived.
    const Duration wait = *first.established_at - std::max(*first.attempted_at, *members_[i].ready);
    from_start.push_back(seconds(*first.established_at - *members_[i].launched));
    waited.push_back(seconds(wait));
    EXPECT_LT(wait, 1s + kSlack) << Rig::name(i) << " refused " << first.refused << " before";
  }
  if (waited.empty()) return;
  EXPECT_GE(2 * waited.size(), returned_count) << "most received no urgent call";
  std::sort(from_start.begin(), from_start.end());
  std::sort(waited.begin(), waited.end());
  std::printf(
      "first urgent call of each that returned served after: median %.2f, max %.2f s from its launch; "
      "median %.2f, max %.2f s from READY or from the first call that arrived (1 required)\n",
      from_start[from_start.size() / 2], from_start.back(), waited[waited.size() / 2], waited.back());
}

}  // namespace reeltack::rig
