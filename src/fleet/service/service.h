// Joins the fleet's coordinator on its link with the core, the office list and the store.
//
// Translates what the core observes into evidence, and the fleet's terms into changes of the office list and
// limits for the decision module. All decisions are the coordinator's. The core never waits for the fleet,
// and no peer is informed of something that the store has yet to make durable, beyond the exception of
// FleetStorage.
//
// Threads: start() and stop() are called by the program's main thread; saw() by the core's; listed(),
// numbered(), restarted(), caught_up() and silent() by the thread that received the list; none of these
// waits. reload(), figures() and settled() by any.
//
// Errors: start() throws std::runtime_error if the address
// is taken; the text names it. prepare() has opened the store before; a store that is unavailable for another
// reason than a second process is logged, and the start goes on without.
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

  void start();   // opens the link; call it before the office list is passed on
  void reload();  // reads the file with the offered version again; logs why it is refused
  void stop();    // leaves the fleet in order and flushes the store
  [[nodiscard]] bool settled() const;         // whether the first terms have been applied
  [[nodiscard]] std::string figures() const;  // proxy.fleet_NAME=VALUE lines in a fixed order

  void observed(ServerId office, core::OfficeObserver::OfficeObservation what) override;
  void listed(bool live, bool complete, const std::vector<core::OfficeEntry>& offices) override;
  void set_list_number(std::uint64_t number) override;
  void source_restarted() override;
  void source_caught_up() override;
  void source_lost() override;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace reeltack::fleet
