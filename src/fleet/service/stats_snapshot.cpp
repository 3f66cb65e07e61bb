// Copying and formatting of the fleet's figures.
#include "fleet/service/stats_snapshot.h"

namespace reeltack::fleet {

void StatsSnapshot::take(Time now, const Coordinator& coordinator) {
  if (now < taken_at_ + kMinInterval) return;
  taken_at_ = now;
  const recovery::Recovery& r = coordinator.recovery();
  std::uint64_t by_verdict[3] = {};
  std::uint64_t cold = 0;
  for (const recovery::OfficeAssessment& assessment : r.offices(now)) {
    ++by_verdict[static_cast<int>(assessment.verdict)];
    cold += assessment.cold ? 1 : 0;
  }
  barred_ = by_verdict[0];
  trial_ = by_verdict[1];
  trusted_ = by_verdict[2];
  cold_ = cold;
  stage_ = static_cast<std::uint64_t>(r.stage());
  recovering_ = r.recovering() ? 1 : 0;
  opening_ = static_cast<std::uint64_t>(r.opening() * 100.0);
  const recovery::Share share = r.share(now);
  minority_ = share.minority ? 1 : 0;
  agreed_ = share.size;
  alive_ = coordinator.members().alive();
  health_ = coordinator.members().health_multiplier();
  incarnation_ = coordinator.members().self().incarnation;
  facts_ = coordinator.facts().size();
  fact_bytes_ = coordinator.facts().bytes();
  const CoordinatorCounters& c = coordinator.counts();
  exchanges_ = c.exchanges_completed;
  exchanges_failed_ = c.exchanges_failed;
  refused_ = c.other_fleet + c.unsupported_version + c.malformed + c.exchanges_refused;
  flooded_ = c.flooded;
  over_bound_ = c.over_bound + coordinator.facts().counts().over_bound;
  stage_changes_ = c.stage_changes;
  list_number_ = r.list().number;
  list_digest_ = r.list().digest;
  list_wins_ = r.winning_list().digest;
  const eager_push::Counts& news = coordinator.eager_push().counts();
  news_in_ = news.messages_received;
  news_out_ = news.messages_sent;
  news_refused_ = news.refused();
  if (now >= rules_at_ + kMinRulesInterval) take_rules(now, coordinator.drift());
}

void StatsSnapshot::take_rules(Time now, const drift::Drift& drift) {
  using drift::View;
  rules_at_ = now;
  const auto figures = drift.view_counts(now);
  const auto of = [&figures](View view) { return figures.views.at(static_cast<std::size_t>(view)); };
  rules_epoch_ = drift.approved() ? drift.approved()->epoch : 0;
  rules_digest_ = drift.report() ? drift.report()->full_digest : 0;
  rules_in_step_ = of(View::in_step);
  rules_adopting_ = of(View::adopting) + of(View::ahead);
  rules_pending_ = of(View::pending);
  rules_drifted_ = figures.alarmed;
  rules_critical_ = figures.critical;
  rules_unreachable_ = of(View::unreachable) + of(View::stale) + of(View::unknown);
  rules_conflict_ = drift.conflict();
}

std::string StatsSnapshot::text(const link::LinkFigures& link_figures) const {
  std::string out;
  const auto line = [&out](const char* name, std::uint64_t value) {
    out += std::string("proxy.fleet_") + name + "=" + std::to_string(value) + "\n";
  };
  line("stage", stage_);
  line("recovering", recovering_);
  line("opening", opening_);
  line("alive", alive_);
  line("agreed", agreed_);
  line("minority", minority_);
  line("offices_trusted", trusted_);
  line("offices_trial", trial_);
  line("offices_barred", barred_);
  line("offices_cold", cold_);
  line("stage_changes", stage_changes_);
  line("incarnation", incarnation_);
  line("health", health_);
  line("facts", facts_);
  line("fact_bytes", fact_bytes_);
  line("exchanges", exchanges_);
  line("exchanges_failed", exchanges_failed_);
  line("refused", refused_);
  line("flooded", flooded_);
  line("over_bound", over_bound_);
  line("bytes_in", link_figures.bytes_in + link_figures.exchange_bytes_in);
  line("bytes_out", link_figures.bytes_out + link_figures.exchange_bytes_out);
  line("malformed", link_figures.malformed);
  line("core_dropped", link_figures.core_dropped);
  line("cpu_us", static_cast<std::uint64_t>(
                     std::chrono::duration_cast<std::chrono::microseconds>(link_figures.cpu).count()));
  line("failed", link_figures.failed ? 1 : 0);
  line("news_in", news_in_);
  line("news_out", news_out_);
  line("news_refused", news_refused_);
  line("list_number", list_number_);
  line("list_digest", list_digest_);
  line("list_wins", list_wins_);
  line("rules_epoch", rules_epoch_);
  line("rules_digest", rules_digest_);
  line("rules_in_step", rules_in_step_);
  line("rules_adopting", rules_adopting_);
  line("rules_pending", rules_pending_);
  line("rules_drifted", rules_drifted_);
  line("rules_critical", rules_critical_);
  line("rules_unreachable", rules_unreachable_);
  line("rules_conflict", rules_conflict_);
  return out;
}

}  // namespace reeltack::fleet
