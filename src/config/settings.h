// The settings as the wire spells them: path=value lines.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

#include "reeltack/controller.h"

namespace reeltack::wire {

// A setting that is needed and absent, or that cannot be read; the text names the key and its value.
class SettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct ParsedSettings {
  Settings settings;
  std::vector<std::string> report_columns;
};

ParsedSettings parse_settings(const std::string& params);

}  // namespace reeltack::wire
