// The fleet in service: joins the turn on its link with the core, the list of offices and the store.
//
// Owns: the turn, the link, the keeper; the translation of what the core saw into evidence, and of terms into
//   what the list and the module are told; the figures of the fleet.
// Must never: decide (the turn does), let the core wait, or tell a peer of what the store doesn't hold yet.
//
// Threads: start() and stop() by the program's own; saw() by the core's, listed() and silent() by whoever
// heard the list: these never wait here; figures() and settled() by any. Errors: start() throws
// std::runtime_error where the address is taken or another process has the store; the text names which. A
// store that cannot be had otherwise is said in the log, and the start goes on without.
#pragma once

#include <memory>
#include <string>

#include "core/office_list.h"
#include "fleet/service/prepared.h"

namespace reeltack::fleet {

class Service final : public core::OfficeObserver, public core::ListArbiter {
 public:
  Service(core::Core& core, core::OfficeList& list, Prepared prepared, const config::Node& node);
  ~Service() override;
  Service(const Service&) = delete;
  Service& operator=(const Service&) = delete;

  void start();                        // opens the link; before the list is told
  void reload();                       // reads the version's file anew; any thread; says what it refuses
  void stop();                         // leaves in order; what is to last is written
  [[nodiscard]] bool settled() const;  // the first terms have been handed on
  [[nodiscard]] std::string figures() const;  // proxy.fleet_NAME=VALUE lines, in a fixed order

  void observed(ServerId office, core::OfficeObserver::OfficeObservation what) override;
  void listed(bool live, bool complete, const std::vector<core::OfficeEntry>& offices) override;
  void set_list_number(std::uint64_t number) override;
  void source_restarted() override;
  void source_caught_up() override;
  void source_lost() override;

 private:
  class Inside;
  std::unique_ptr<Inside> inside_;
};

}  // namespace reeltack::fleet
