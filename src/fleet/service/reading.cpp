#include "fleet/service/reading.h"

#include "config/terms.h"
#include "config/versions.h"

namespace reeltack::fleet {
namespace {

constexpr Duration kRead = std::chrono::seconds(1);

}  // namespace

Reading::Reading(const core::Core& core, const Coordinator& turn, const config::Node& node, std::string file)
    : core_(core), turn_(turn), node_(node), file_(std::move(file)) {}

std::optional<drift::Version> Reading::read(std::string& why) const {
  if (file_.empty()) return std::nullopt;
  try {
    return config::read_version(file_, node_);
  } catch (const std::runtime_error& error) {
    why = error.what();
    return std::nullopt;
  }
}

void Reading::offer(std::optional<drift::Version> version) {
  if (!version) return;
  const std::lock_guard hold(lock_);
  offered_ = std::move(version);
}

rules::Tree Reading::read_back() const {
  rules::Tree out = rules::rules_of(core_.active_settings(), node_.class_names);
  config::add_terms(turn_.settings(), out);
  static_cast<void>(out.put("core.attempts", rules::to_canonical(std::uint64_t{core_.max_attempts()})));
  return out;
}

std::vector<drift::Event> Reading::collect(Time now) {
  std::vector<drift::Event> out;
  if (now >= next_) {
    next_ = now + kRead;
    out.emplace_back(drift::RulesReadBack{read_back()});
  }
  const std::lock_guard hold(lock_);
  if (offered_) out.emplace_back(drift::VersionOffered{*std::exchange(offered_, std::nullopt)});
  return out;
}

}  // namespace reeltack::fleet
