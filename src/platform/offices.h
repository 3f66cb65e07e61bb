// The platform's offices: one OfficeLink for each listed office, all on one event loop.
//
// Links are created and ended as the office list reports offices. Offices are chosen by the core.
// Thread-safe.
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
  void earliest_connection_changed(ServerId office, core::ConnectionNumber earliest) override;
  core::ConnectionNumber last_before_restart(ServerId office) override;

  // Shutdown (OfficeLink::finish): set-ups are returned unsent from now on.
  void finish();
  [[nodiscard]] bool has_pending_releases();  // releases are queued and not yet written
  [[nodiscard]] bool finished();              // everything that the offices had sent has reached the core

 private:
  std::shared_ptr<OfficeLink> link(ServerId office);
  core::Core& core_;
  std::vector<std::string> class_names_;
  Duration dial_limit_;
  std::mutex lock_;
  // The link of an office that is gone is removed here and ends by itself.
  std::map<ServerId, std::shared_ptr<OfficeLink>> links_;
  bool finishing_ = false;
  net::Loop loop_;  // last: its handlers end before the members that they use
};

}  // namespace reeltack::platform
