#include "power.h"

#include <algorithm>
#include <cstdio>
#include <thread>

namespace reeltack::rig {
namespace {
constexpr Duration kAsked = 6s;  // at the rig's rate a controller hears of an urgent call each 0.6 s
}  // namespace

RigSettings powered() {
  RigSettings out;
  out.processor =
      "{set_up: 8ms, answer: 4ms, release: 4ms, refuse: 2ms, repeat: 2ms, cold_from: 0.33, ramp: 15s, "
      "fall_multiple: 2}";
  out.lasts = 90s;
  return out;
}

Power::Power(RigSettings settings) : rig(std::move(settings)), members_(rig.pack().size()) {}
Power::~Power() {
  if (playing_) static_cast<void>(end());
}

void Power::warm(std::size_t answered) {
  rig.pack().start_all();
  ASSERT_TRUE(settled(30s)) << figures();
  rig.play();
  playing_ = true;
  ASSERT_TRUE(rig.until(20s, [&] { return rig.offices().counts().stood >= answered; }));
}

void Power::told_anew() {
  rig.offices().befall({Trouble::Kind::restart, {}, {kAnew}, 100ms, 1.0});
  EXPECT_TRUE(rig.until(10s, [&] { return rig.all("offices_cold", 1); })) << figures();
  std::this_thread::sleep_for(1500ms);  // it is kept within a second
}

void Power::befall() {
  const auto one = [&](Trouble::Kind kind, std::size_t office, Duration lasts) {
    rig.offices().befall({kind, {}, {office}, lasts, 1.0});
  };
  one(Trouble::Kind::restart, kCold, 100ms);
  one(Trouble::Kind::die, kGone, {});
  one(Trouble::Kind::replace, kOther, 100ms);
  one(Trouble::Kind::drain, kDrained, 600s);
}

void Power::lose_power(Duration dark) {
  rig.pack().kill_all_at_once();
  rig.discovery(false);
  befall();
  std::this_thread::sleep_for(dark);
}

void Power::power_returns(const std::set<std::size_t>& only) {
  returned = base::now();
  std::vector<std::size_t> fresh;
  for (std::size_t i = 0; i < rig.pack().size(); ++i) {
    if (rig.pack().state(i) != standin::Pack::State::down || (!only.empty() && !only.contains(i))) continue;
    members_[i].said = rig.pack().member(i).log().size();
    members_[i].launched = base::now();
    rig.pack().launch(i);
    fresh.push_back(i);
  }
  std::vector<std::future<Time>> up;
  for (const std::size_t i : fresh)
    up.push_back(std::async(std::launch::async, [this, i] { return rig.ready_at(i, 20s); }));
  for (std::size_t n = 0; n < fresh.size(); ++n) members_[fresh[n]].ready = up[n].get();
  for (const std::size_t i : fresh) rig.pack().await_ready(i);
  ready = base::now();
  const std::size_t before = rig.offices().counts().stood;
  EXPECT_TRUE(rig.until(20s, [&] { return rig.offices().counts().stood > before; })) << figures();
  std::printf("ready after %.2f s, first call after %.2f s\n", seconds(ready - returned),
              seconds(base::now() - returned));
}

bool Power::all_say(const std::string& words, Duration most, std::size_t from) {
  return rig.until(most, [&] {
    for (std::size_t i = from; i < rig.pack().size(); ++i)
      if (members_[i].launched && said(i).find(words) == std::string::npos) return false;
    return true;
  });
}

bool Power::hear(Duration most, const std::set<std::size_t>& deaf) {
  const std::int64_t newest = rig.list_number();
  std::vector<std::string> hearing;
  for (std::size_t i = 0; i < rig.pack().size(); ++i)
    if (!deaf.contains(i)) hearing.push_back(Rig::name(i));
  rig.between().clear({hearing, {"bulletin"}, true});
  const Time back = base::now();
  const bool all = rig.until(most, [&] {
    bool heard = true;
    for (std::size_t i = 0; i < rig.pack().size(); ++i) {
      if (rig.pack().state(i) != standin::Pack::State::up || members_[i].list || deaf.contains(i)) continue;
      if (rig.figure(i, "list_number") >= newest)
        members_[i].list = base::now();
      else
        heard = false;
    }
    return heard;
  });
  std::printf("the list is there %.2f s after discovery is back\n", seconds(base::now() - back));
  return all;
}

bool Power::settled(Duration most) {
  return rig.until(most, [&] {
    return rig.all("stage", 5) && rig.all("alive", static_cast<std::int64_t>(rig.pack().size()));
  });
}

bool Power::agree(std::int64_t trusted, std::int64_t barred, Duration most) {
  return rig.until(most,
                   [&] { return rig.all("offices_trusted", trusted) && rig.all("offices_barred", barred); });
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

std::string Power::logs(std::size_t most) {
  std::string out;
  for (std::size_t i = 0; i < rig.pack().size(); i += 5) {
    std::string text = rig.pack().member(i).log();
    std::size_t at = text.size();
    for (std::size_t n = 0; n < most && at != 0 && at != std::string::npos; ++n)
      at = text.rfind('\n', at - 1);
    out += Rig::name(i) + ":\n" + (at == std::string::npos ? text : text.substr(at));
  }
  return out;
}

std::unique_ptr<load::Played> Power::end() {
  playing_ = false;
  rig.stop_playing();
  return rig.played();
}

std::unique_ptr<load::Played> Power::judge_play(double least_part) {
  auto played = end();
  const load::Tally& all = played->recorder.all();
  EXPECT_EQ(played->recorder.violations().total(), 0U)
      << ::testing::PrintToString(played->recorder.violations().samples);
  EXPECT_EQ(all.ended(), all.started);
  EXPECT_EQ(rig.offices().counts().fallen, 0U);
  const double part = all.worth_offered > 0.0 ? all.worth_earned / all.worth_offered : 0.0;
  std::printf("worth %.3f of offered, %llu of %llu calls stood\n", part,
              static_cast<unsigned long long>(all.results[static_cast<std::size_t>(load::Result::stands)]),
              static_cast<unsigned long long>(all.started));
  EXPECT_GT(part, least_part);
  return played;
}

void Power::judge(double least_part, bool befallen) {
  // Until each that came back has been asked for an urgent call too.
  std::this_thread::sleep_until(base::to_steady(ready) + kAsked);
  const auto played = judge_play(least_part);
  if (befallen) judge_rules(*played);
  judge_urgent(*played);
}

void Power::judge(Time told, double least_part, Duration most) {
  const auto played = judge_play(least_part);
  load::RulesChecker rules;
  Time last{};
  for (const load::OfficeEvent& e : rig.offices().take_log()) {
    using What = load::OfficeEvent::What;
    const bool closes = e.what == What::draining || e.what == What::gone;
    if (closes && e.office == kDrained + 1 && told == Time{}) told = e.at;
    if (!closes) rules.take(e);  // when it was told to whom is looked at below
    if (e.what == What::set_up && e.office == kDrained + 1) last = e.at;
  }
  rules.finish();
  EXPECT_EQ(rules.found().two_out, 0U) << ::testing::PrintToString(rules.found().samples);
  EXPECT_EQ(rules.found().too_many, 0U) << ::testing::PrintToString(rules.found().samples);
  EXPECT_LE(last, told + most) << "the last one " << seconds(last - told) << " s after";
  std::printf("last at the drained office %.3f s after it was told\n", seconds(last - told));
}

void Power::judge_rules(const load::Played& played) {
  const std::uint32_t drained = kDrained + 1;
  const std::uint32_t gone = kGone + 1;
  const Dealt dealt = deal(rig.offices().take_log(), played.tries, members_.size());
  EXPECT_TRUE(dealt.nobody.empty()) << dealt.nobody.size();
  Duration latest = Duration::min();
  std::size_t unsure = 0;
  std::uint64_t not_judged = 0;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    const auto lines = verdicts(said(i));
    // By its own list or by another's word, whichever came first.
    std::optional<Time> told = barred_at(lines, drained);
    if (members_[i].list && (!told || *members_[i].list < *told)) told = members_[i].list;
    ASSERT_TRUE(told) << Rig::name(i) << " was never told";
    const auto found = rules_of(dealt.of[i], {{*told + kSlack, load::OfficeEvent::What::draining, drained}});
    EXPECT_EQ(found.total(), 0U) << Rig::name(i) << ::testing::PrintToString(found.samples);
    not_judged += found.unsure;
    for (const load::OfficeEvent& e : dealt.of[i])
      if (e.what == load::OfficeEvent::What::set_up && e.office == drained)
        latest = std::max(latest, e.at - *told);
    std::size_t changes = 0;
    for (const VerdictLine& l : lines) changes += l.office == gone && !l.was.empty() ? 1 : 0;
    unsure = std::max(unsure, changes);
  }
  std::printf("%llu rules not judged, as messages were read late\n",
              static_cast<unsigned long long>(not_judged));
  std::printf("verdicts on the gone office changed at most %zu times at one controller\n", unsure);
  if (latest != Duration::min())
    std::printf("last set-up at the drained office %.3f s after its controller was told (0.25 wanted)\n",
                seconds(latest));
}

void Power::judge_urgent(const load::Played& played) {
  std::vector<double> from_start, waited;
  std::size_t came_back = 0;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    if (!members_[i].ready) continue;
    ++came_back;
    const First first = first_of(played.tries, i, kUrgent, *members_[i].launched);
    if (!first.came) continue;  // nobody has asked it for one
    ASSERT_TRUE(first.stood) << Rig::name(i) << " has served no urgent call";
    // It can serve none before it has started, nor before one has come.
    const Duration wait = *first.stood - std::max(*first.came, *members_[i].ready);
    from_start.push_back(seconds(*first.stood - *members_[i].launched));
    waited.push_back(seconds(wait));
    EXPECT_LT(wait, 1s + kSlack) << Rig::name(i) << " refused " << first.refused << " before";
  }
  if (waited.empty()) return;
  EXPECT_GE(2 * waited.size(), came_back) << "most were asked for none";
  std::sort(from_start.begin(), from_start.end());
  std::sort(waited.begin(), waited.end());
  std::printf(
      "first urgent call of each that came back served after: median %.2f, most %.2f s of its launch; "
      "median %.2f, most %.2f s of READY or of the first that came (1 wanted)\n",
      from_start[from_start.size() / 2], from_start.back(), waited[waited.size() / 2], waited.back());
}

}  // namespace reeltack::rig
