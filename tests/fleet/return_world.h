// Simulates one return of a fleet from a power outage in virtual time: callers, the production decision
// module and coordinator, and offices with processors.
//
// A ReturnWorld holds a module for each controller, a processor for each office, the messages between them,
// and the callers; coordinators, stores and links belong to World. It only measures, and decides nothing in
// place of a module or a coordinator.
//
// Callers, schedule and records are the load generator's own, processors those of the fake offices, so that
// results here and in real processes are counted alike. Equal case, variant and seed give equal results.
#pragma once

#include <map>
#include <memory>
#include <unordered_map>

#include "coordinator_world.h"
#include "fleet/service/terms_translator.h"
#include "load/plan/callers.h"
#include "return_case.h"
#include "standin/model/processor.h"

namespace reeltack::test {

class ReturnWorld {
 public:
  ReturnWorld(const ReturnCase& of, Variant variant, std::uint64_t seed);
  ~ReturnWorld();
  ReturnWorld(const ReturnWorld&) = delete;
  ReturnWorld& operator=(const ReturnWorld&) = delete;
  ReturnResult run();
  World& world() { return world_; }

 private:
  struct Gateway {
    std::unique_ptr<Controller> module;  // none: without power, takes no calls
    TermsTranslator applied_terms;
    std::map<ServerId, Endpoint> addresses;
    std::uint64_t lifetime = 0;
    bool list_received = false;  // since its start
  };
  struct Site {  // the process of an office
    std::unique_ptr<standin::Processor> processor;
    bool silent = false;
    Time armed_for = Time::max();
  };
  enum class Phase : std::uint8_t { in_transit, processing, established, ended };
  struct Attempt {
    std::size_t node = 0, site = 0;
    std::uint64_t lifetime = 0;  // of the controller
    CallId call{};
    std::uint32_t number = 0;  // among the call's attempts
    ServerId server{};
    Time sent{};
    Phase phase = Phase::in_transit;
  };
  struct LoadRun;

  void run_load(Duration lasts, Duration settle, double surge);
  void run_callers();
  void arm_callers();
  void reject(CallId call, load::Callers::No how, Duration retry_after);
  void carry_out_callers(load::CallerActions& actions);
  void notify(std::size_t node, const Event& event);
  void carry_out(std::size_t node, const ActionSink& actions);
  void send_set_up(std::size_t node, const SendSetUp& set_up);
  void on_arrival(std::uint64_t key);
  void run_processor(std::size_t site);
  void on_work_done(std::size_t site, const standin::Processor::Done& done);
  void on_established(std::uint64_t key);
  void end(std::uint64_t key, AttemptOutcome outcome, bool call_ended = false);
  void fall(std::size_t site);
  void print_fall(std::size_t site);  // to stdout: set-ups and bounds of each controller
  void observe(const Attempt& attempt, core::OfficeObserver::OfficeObservation what);
  void start(std::size_t node);
  void kill(std::size_t node);
  void send_list(std::size_t node);  // the bulletin's list, if no fleet decides on it
  void send_list() {
    for (std::size_t i = 0; i < gateways_.size(); ++i) send_list(i);
  }
  void restart_office(std::size_t office);
  void replace_office(std::size_t office);
  void apply_terms(std::size_t node, const recovery::Terms& terms);
  [[nodiscard]] std::uint64_t open_attempt(std::size_t node, CallId call) const;
  [[nodiscard]] ServerEntry entry(const World::Office& office) const;

  const ReturnCase case_;
  const Variant variant_;
  const std::uint64_t seed_;
  World world_;
  std::vector<recovery::Office> configured_;  // the offices as they were first
  std::vector<Gateway> gateways_;
  std::vector<Site> sites_;  // by office
  std::map<std::uint64_t, Attempt> attempts_;
  std::unordered_map<std::uint64_t, std::uint64_t> attempt_of_call_;  // the last attempt of each call
  std::uint64_t last_attempt_ = 0, offices_fallen_ = 0, load_runs_ = 0, unlisted_ = 0;
  bool bulletin_up_ = true;
  std::unique_ptr<LoadRun> load_run_;
};

}  // namespace reeltack::test
