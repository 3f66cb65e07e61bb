// The offices of the platform: one link an office, speaking JSON lines, all on one loop.
//
// Owns: the links by office, as the list tells of them, and the loop on which they turn.
// Must never: choose an office, or speak to one that is not listed.
#pragma once

#include <map>
#include <memory>

#include "core/core.h"
#include "net/loop.h"

namespace reeltack::platform {

class OfficeLink;

class Offices final : public core::OfficeBackend {
 public:
  Offices(core::Core& core, std::vector<std::string> class_names, Duration dial_limit);
  ~Offices() override;

  void listed(bool complete, const std::vector<core::OfficeEntry>& offices) override;
  void start(const core::SetUp& set_up) override;
  void cancel(ServerId office, CallId call, std::uint32_t attempt) override;
  void release(ServerId office, CallId call) override;
  void keep_connection(ServerId office, bool calls_established) override;

  // The program ends (OfficeLink::finish): set-ups are returned unsent from now on.
  void finish();
  [[nodiscard]] bool owes();      // releases wait to be written
  [[nodiscard]] bool finished();  // whatever the offices had sent is with the core

 private:
  std::shared_ptr<OfficeLink> link(ServerId office);
  core::Core& core_;
  std::vector<std::string> class_names_;
  Duration dial_limit_;
  std::mutex lock_;
  std::map<ServerId, std::shared_ptr<OfficeLink>> links_;  // one whose office has gone ends by itself
  bool finishing_ = false;
  net::Loop loop_;  // last: its turns end before what they use
};

}  // namespace reeltack::platform
