// Translates the fleet's terms into changes of the office list and admission limits for the decision module.
//
// Remembers what was passed on last, so that only changes are passed on. An office is ready only if the terms
// make it usable, and every office that they bar is included. Used by the link's thread only.
#pragma once

#include <map>

#include "core/core.h"
#include "fleet/recovery/recovery.h"

namespace reeltack::fleet {

class TermsTranslator {
 public:
  struct Changes {
    std::vector<core::OfficeEntry> offices;         // changed entries only
    std::optional<AdmissionLimitsReceived> limits;  // set only if it changed
  };
  Changes take(const recovery::Terms& terms);

 private:
  std::map<ServerId, core::OfficeEntry> offices_;
  AdmissionLimitsReceived last_limits_;
};

}  // namespace reeltack::fleet
