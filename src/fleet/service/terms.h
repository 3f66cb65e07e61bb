// The fleet's terms as the list of offices and the module are told of them.
//
// Owns: what was told last, so that only what has changed is told again.
// Must never: make an office ready that the terms do not, or leave out one that they bar.
//
// Threads: one, the link's.
#pragma once

#include <map>

#include "core/core.h"
#include "fleet/recovery/recovery.h"

namespace reeltack::fleet {

class TermsTranslator {
 public:
  struct Changes {
    std::vector<core::OfficeEntry> offices;         // that have changed
    std::optional<AdmissionLimitsReceived> module;  // where it has changed
  };
  Changes take(const recovery::Terms& terms);

 private:
  std::map<ServerId, core::OfficeEntry> offices_;
  AdmissionLimitsReceived module_;
};

}  // namespace reeltack::fleet
