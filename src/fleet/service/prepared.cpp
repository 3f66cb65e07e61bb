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
  out.keeping = std::make_unique<FleetStorage>(
      out.controllers, node.name,
      [log](const std::string& event, const std::string& text) { log->info("{} {}", event, text); });
  const auto& kept = out.keeping->rules().approved;
  const auto version = kept ? drift::read_version(*kept) : std::nullopt;
  if (!version) return out;
  const auto refused = config::lay_over(node, out.controllers, *version);
  if (refused.empty()) {
    log->info("rules epoch={} laid_over=yes reason=\"approved before this start\"", version->epoch);
    return out;
  }
  for (const std::string& why : refused)
    log->info("rules epoch={} laid_over=no refused=\"{}\"", version->epoch, why);
  return out;
}

}  // namespace reeltack::fleet
