#include "fleet/service/prepared.h"

#include <spdlog/sinks/stdout_sinks.h>

#include "config/versions.h"
#include "fleet/service/log.h"

namespace reeltack::fleet {

std::shared_ptr<spdlog::logger> logger() {
  auto out = std::make_shared<spdlog::logger>("fleet", std::make_shared<spdlog::sinks::stderr_sink_mt>());
  out->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ fleet %v", spdlog::pattern_time_type::utc);
  return out;
}

Prepared prepare(config::Controllers controllers, config::Node& node) {
  const auto log = logger();
  Prepared out{std::move(controllers), nullptr};
  out.storage = std::make_unique<FleetStorage>(
      out.controllers, node.name,
      [log](const std::string& event, const std::string& text) { log->info("{} {}", event, text); });
  const auto& approved = out.storage->rules().approved;
  const auto version = approved ? drift::read_version(*approved) : std::nullopt;
  if (!version) return out;
  const auto refused = config::lay_over(node, out.controllers, *version);
  if (refused.empty()) {
    log->info("rules epoch={} laid_over=yes reason=\"approved before this start\"", version->epoch);
    return out;
  }
  for (const std::string& reason : refused)
    log->info("rules epoch={} laid_over=no refused=\"{}\"", version->epoch, reason);
  return out;
}

}  // namespace reeltack::fleet
