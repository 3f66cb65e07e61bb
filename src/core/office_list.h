// The one list of offices, whoever tells of them: bulletin, zone, or centrales that register.
//
// Owns: which source named which office, so that a complete list from one does not remove another's; and
//   which side speaks to it.
// Must never: name an office that no source named.
#pragma once

#include <map>
#include <mutex>
#include <set>

#include "core/core.h"

namespace reeltack::core {

enum class Source { platform, zone, registered };

class OfficeList {
 public:
  explicit OfficeList(Core& core) : core_(core) {}
  void told(Source source, bool complete, std::vector<OfficeEntry> offices);
  [[nodiscard]] bool named_elsewhere(Source source, ServerId office);

 private:
  Core& core_;
  std::mutex lock_;
  std::map<Source, std::map<ServerId, OfficeEntry>> named_;
};

// Sends each action to the side that the office belongs to.
class OfficeSwitch final : public OfficeSide {
 public:
  using Owns = std::function<bool(ServerId)>;
  OfficeSwitch(OfficeSide& dialled, OfficeSide& registered, Owns registered_owns)
      : dialled_(dialled), registered_(registered), registered_owns_(std::move(registered_owns)) {}
  void listed(bool complete, const std::vector<OfficeEntry>& offices) override;
  void start(const SetUp& set_up) override { side(set_up.office).start(set_up); }
  void give_up(ServerId office, CallId call, std::uint32_t attempt) override {
    side(office).give_up(office, call, attempt);
  }
  void release(ServerId office, CallId call) override { side(office).release(office, call); }
  void keep(ServerId office, bool calls_stand) override { side(office).keep(office, calls_stand); }

 private:
  OfficeSide& side(ServerId office) { return registered_owns_(office) ? registered_ : dialled_; }
  OfficeSide& dialled_;
  OfficeSide& registered_;
  Owns registered_owns_;
};

}  // namespace reeltack::core
