#include "config/terms.h"

#include <algorithm>

#include "rules/entries.h"

namespace reeltack::config {
namespace {

using fleet::CoordinatorSettings;
using T = CoordinatorSettings;
using Members = fleet::members::MembersSettings;
using Gossip = fleet::gossip_schedule::GossipScheduleSettings;
using Recovery = fleet::recovery::RecoverySettings;
using Leases = fleet::recovery::LeaseSettings;
using Offices = fleet::recovery::EvidenceSettings;
using rules::entry;
using rules::Severity;

const rules::Entry<T> kTerms[] = {
    entry<T, &T::members, &Members::period>("period"),
    entry<T, &T::members, &Members::probe_timeout>("probe_timeout"),
    entry<T, &T::members, &Members::indirect_probes>("indirect", Severity::notice),
    entry<T, &T::gossip, &Gossip::interval>("every", Severity::notice),
    entry<T, &T::gossip, &Gossip::urgent_interval>("urgent", Severity::notice),
    entry<T, &T::gossip, &Gossip::bytes_per_second>("bytes", Severity::notice),
    entry<T, &T::recovery, &Recovery::leases, &Leases::min_size>("size"),
    entry<T, &T::recovery, &Recovery::leases, &Leases::lease>("lease"),
    entry<T, &T::recovery, &Recovery::max_asking>("asking"),
    entry<T, &T::recovery, &Recovery::max_probation>("probation"),
    entry<T, &T::recovery, &Recovery::max_partial>("partial"),
    entry<T, &T::recovery, &Recovery::min_opening_time>("opening"),
    entry<T, &T::recovery, &Recovery::fresh>("fresh"),
    entry<T, &T::recovery, &Recovery::enough>("enough"),
    entry<T, &T::recovery, &Recovery::too_little>("too_little"),
    entry<T, &T::recovery, &Recovery::offices, &Offices::half_life_state>("half_life_state"),
    entry<T, &T::recovery, &Recovery::offices, &Offices::half_life_list>("half_life_list"),
    entry<T, &T::recovery, &Recovery::offices, &Offices::half_life_warm>("half_life_warm"),
};
constexpr std::string_view kSection = "fleet.";

const rules::Entry<T>* term(std::string_view key) {
  if (!key.starts_with(kSection)) return nullptr;
  key.remove_prefix(kSection.size());
  const auto found =
      std::find_if(std::begin(kTerms), std::end(kTerms), [key](const auto& e) { return e.name == key; });
  return found == std::end(kTerms) ? nullptr : found;
}

}  // namespace

void add_terms(const CoordinatorSettings& settings, rules::Tree& to) {
  for (const auto& e : kTerms) static_cast<void>(to.put(std::string(kSection) + e.name, e.get(settings)));
}
std::string lay_over(CoordinatorSettings& settings, std::string_view key, std::string_view value) {
  const auto* e = term(key);
  if (e == nullptr) return std::string(key) + ": is no rule";
  if (e->set(settings, value)) return {};
  return std::string(key) + ": must be a " + rules::name_of(e->type) + " in its range, not '" +
         std::string(value) + "'";
}
std::optional<rules::Type> type_of_term(std::string_view key) {
  const auto* e = term(key);
  return e == nullptr ? std::nullopt : std::optional(e->type);
}

}  // namespace reeltack::config
