// The fleet's log on standard error. Each line has the time, "fleet", the event's name and key=value pairs.
// Thread-safe.
#pragma once

#include <spdlog/spdlog.h>

#include <memory>

namespace reeltack::fleet {

std::shared_ptr<spdlog::logger> logger();

}  // namespace reeltack::fleet
