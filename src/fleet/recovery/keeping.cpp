// What lasts: stage and sizes at least every 5 s, the list every 15 s, rates every 30 s; changes within a
// second, a life or its end that a live list tells at once: power that flickers gives no second.
//
// Owns: nothing beyond its class. Must never: write what was kept as younger than it is.
#include <cmath>

#include "fleet/recovery/mix.h"
#include "fleet/recovery/recovery.h"

namespace reeltack::fleet::recovery {
using namespace std::chrono_literals;

namespace {
constexpr Duration kChanged = 1s;  // what has changed is written no more often
}

// The text is asked for where it is due alone.
template <class Text>
void Recovery::keep_one(Time now, const char* key, int sense, Duration renewal, Text text, Actions& actions) {
  const auto had = written_.find(key);
  if (had != written_.end() &&
      now - had->second.at < (had->second.sense != sense ? std::min(kChanged, renewal) : renewal))
    return;
  std::string value = text();
  written_[key] = {value, now, sense};
  actions.emplace_back(Persist{key, std::move(value)});
}

std::vector<Evidence> Recovery::kept_offices() const {
  std::vector<Evidence> offices;
  for (const OfficeAssessment& j : judged_) {
    Evidence e{j.office, Rank::stored, j.state, self_, j.age};
    if (j.rank == Rank::listed && bulletin_ && j.verdict == Verdict::trusted) e.age = Duration{};
    if (j.state == OfficeState::absent) continue;
    if (j.cold) e.uptime = j.uptime - std::min(j.uptime, e.age.value_or(Duration{}));
    offices.push_back(e);
  }
  return offices;
}

void Recovery::keep(Time now, Actions& actions) {
  if (stage_ == Stage::dark || stage_ == Stage::restored) return;
  const int stage = static_cast<int>(stage_) + 8 * static_cast<int>(leases_.agreed());
  const bool joining = leases_.joining(now);  // a restart within the wait waits anew
  const auto stage_text = [&] {
    StageValue value = stage_value(now);
    value.served |= full_since_ != Time::min();
    if (joining) value.agreed = 1;
    return write(value);
  };
  keep_one(now, kStageRecord, stage + (joining ? 4 << 24 : 0), 5s, stage_text, actions);
  if (bulletin_) {
    Hash lives;
    for (const OfficeAssessment& j : judged_) {
      if (j.rank != Rank::listed) continue;
      lives.add(static_cast<std::uint64_t>(j.office.id)).add(j.office.start);
      lives.add(std::uint64_t{j.verdict == Verdict::barred});
    }
    if (lives.value() != kept_lives_) written_.erase(kListRecord);
    kept_lives_ = lives.value();
  }
  const auto list = written_.find(kListRecord);
  if (list == written_.end() || now - list->second.at >= kChanged) {
    Hash hash;
    for (const OfficeAssessment& j : judged_) {
      if (j.state == OfficeState::absent) continue;
      hash.add(static_cast<std::uint64_t>(j.office.id)).add(j.office.start);
      hash.add(std::uint64_t{j.office.at.address} << 16U | j.office.at.port)
          .add(static_cast<std::uint64_t>(j.state));
    }
    const int seen = static_cast<int>(hash.value() & 0x7fffffffU);
    const ListId id{epochs_.epoch(), epochs_.number(), list_.digest};
    keep_one(
        now, kListRecord, seen, 15s, [&] { return write_stored_list(id, kept_offices()); }, actions);
  }
  const auto rates_text = [&] {
    Rates rates;
    for (const auto& [office, peak] : peaks_) rates[office] = peak.a_second;
    return write(rates);
  };
  double sum = 0.0;
  for (const auto& [office, peak] : peaks_) sum += peak.a_second;
  // Anew as they grow by a half, so that the first seconds' are not what is kept.
  const int grown = sum > 0.0 ? static_cast<int>(std::lround(2.0 * std::log2(sum))) : 0;
  if (!peaks_.empty())
    keep_one(now, kRatesRecord, 256 * static_cast<int>(peaks_.size()) + grown, 30s, rates_text, actions);
}

}  // namespace reeltack::fleet::recovery
