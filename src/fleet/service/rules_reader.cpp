#include "fleet/service/rules_reader.h"

#include "config/terms.h"
#include "config/versions.h"

namespace reeltack::fleet {
namespace {

constexpr Duration kReadInterval = std::chrono::seconds(1);

}  // namespace

RulesReader::RulesReader(const core::Core& core, const Coordinator& coordinator, const config::Node& node,
                         std::string file)
    : core_(core), coordinator_(coordinator), node_(node), file_(std::move(file)) {}

std::optional<drift::Version> RulesReader::read(std::string& error_text) const {
  if (file_.empty()) return std::nullopt;
  try {
    return config::read_version(file_, node_);
  } catch (const std::runtime_error& error) {
    error_text = error.what();
    return std::nullopt;
  }
}

void RulesReader::offer(std::optional<drift::Version> version) {
  if (!version) return;
  const std::lock_guard lock(mutex_);
  offered_ = std::move(version);
}

rules::Tree RulesReader::read_back() const {
  rules::Tree out = rules::rules_of(core_.active_settings(), node_.class_names);
  config::add_terms(coordinator_.settings(), out);
  static_cast<void>(out.put("core.attempts", rules::to_canonical(std::uint64_t{core_.max_attempts()})));
  return out;
}

std::vector<drift::Event> RulesReader::collect(Time now) {
  std::vector<drift::Event> out;
  if (now >= next_) {
    next_ = now + kReadInterval;
    out.emplace_back(drift::RulesReadBack{read_back()});
  }
  const std::lock_guard lock(mutex_);
  if (offered_) out.emplace_back(drift::VersionOffered{*std::exchange(offered_, std::nullopt)});
  return out;
}

}  // namespace reeltack::fleet
