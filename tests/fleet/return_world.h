// A fleet's return played in virtual time: callers, the product's module and turn, offices with processors.
//
// Owns: one play of one case: a module for each controller, a processor for each office, what is under way
// between them, and the callers. The turns, stores and links are the World's.
// Must never: judge, or decide in a module's or a turn's stead.
//
// Callers, schedule and accounts are the load generator's own, processors the stand-ins', so that a play here
// and one in processes count alike. Equal case, play and seed give equal results.
#pragma once

#include <map>
#include <memory>
#include <unordered_map>

#include "fleet/service/terms.h"
#include "load/plan/callers.h"
#include "return_case.h"
#include "standin/model/processor.h"
#include "turn_world.h"

namespace reeltack::test {

class ReturnWorld {
 public:
  ReturnWorld(const ReturnCase& of, Play play, std::uint64_t seed);
  ~ReturnWorld();
  ReturnWorld(const ReturnWorld&) = delete;
  ReturnWorld& operator=(const ReturnWorld&) = delete;
  Worth play();
  World& world() { return world_; }

 private:
  struct Gateway {
    std::unique_ptr<Controller> module;  // none: it takes no calls
    TermsApplied applied;
    std::map<ServerId, Endpoint> at;
    std::uint64_t life = 0;
    bool heard = false;  // a list that was told since its start
  };
  struct Site {  // an office's process
    std::unique_ptr<standin::Processor> processor;
    bool silent = false;
    Time armed = Time::max();
  };
  enum class Phase : std::uint8_t { under_way, works, stands, over };
  struct Attempt {
    std::size_t node = 0, site = 0;
    std::uint64_t life = 0;
    CallId call{};
    std::uint32_t number = 0;  // of the call's attempts
    ServerId server{};
    Time sent{};
    Phase phase = Phase::under_way;
  };
  struct Run;  // of callers

  void call_for(Duration lasts, Duration settle, double crowd);
  void drive_callers();
  void arm();
  void answer(CallId call, load::Callers::No how, Duration later);
  void carry_out(load::CallerActions& actions);
  void tell(std::size_t node, const Event& event);
  void do_all(std::size_t node, const ActionSink& actions);
  void send(std::size_t node, const SendSetUp& set_up);
  void arrives(std::uint64_t key);
  void drive(std::size_t site);
  void finish(std::size_t site, const standin::Processor::Done& done);
  void stands(std::uint64_t key);
  void end(std::uint64_t key, AttemptOutcome ending, bool call_ended = false);
  void fall(std::size_t site);
  void trace_fall(std::size_t site);  // to the screen: who sent how much under which bound
  void saw(const Attempt& attempt, core::OfficeObserver::OfficeObservation what);
  void start(std::size_t node);
  void kill(std::size_t node);
  void tell_truth(std::size_t node);  // the bulletin's list, where no fleet governs it
  void tell_truth();
  void anew(std::size_t office);
  void put_another(std::size_t office);
  void apply(std::size_t node, const recovery::Terms& terms);
  [[nodiscard]] std::uint64_t open_attempt(std::size_t node, CallId call) const;
  [[nodiscard]] ServerEntry entry(const World::Office& office) const;

  const ReturnCase case_;
  const Play play_;
  const std::uint64_t seed_;
  World world_;
  std::vector<recovery::Office> first_;  // as configured
  std::vector<Gateway> gateways_;
  std::vector<Site> sites_;  // by office
  std::map<std::uint64_t, Attempt> attempts_;
  std::unordered_map<std::uint64_t, std::uint64_t> of_call_;  // the last attempt of each
  std::uint64_t last_attempt_ = 0, fallen_ = 0, runs_ = 0;
  bool bulletin_ = true;
  std::unique_ptr<Run> run_;
};

}  // namespace reeltack::test
