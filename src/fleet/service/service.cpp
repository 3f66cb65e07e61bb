// Implementation of the service: the link's driver, and the calls from the core and the list.
#include "fleet/service/service.h"

#include <atomic>

#include "config/versions.h"
#include "fleet/link/link.h"
#include "fleet/service/log.h"
#include "fleet/service/office_observations.h"
#include "fleet/service/rules_reader.h"
#include "fleet/service/stats_snapshot.h"
#include "fleet/service/terms_translator.h"

namespace reeltack::fleet {
namespace {

using namespace std::chrono_literals;

constexpr auto kFlushTimeout = 300ms;

members::Self self_of(const config::Controllers& settings, const std::string& name, Incarnation incarnation) {
  members::Self out;
  out.id = MemberId{config::hash_of(name)};
  out.incarnation = incarnation;
  out.at = config::endpoint_of(settings.advertise);
  out.name = name;
  out.zone = settings.zone;
  out.fleet = config::hash_of(settings.fleet);
  out.epoch = settings.epoch;
  return out;
}
std::vector<Endpoint> seeds_of(const config::Controllers& settings) {
  std::vector<Endpoint> out;
  for (const base::Address& seed : settings.seeds) out.push_back(config::endpoint_of(seed));
  return out;
}
link::LinkSettings link_of(const config::Controllers& settings) {
  link::LinkSettings out;
  out.listen = config::endpoint_of(settings.listen);
  for (const auto& [name, at] : settings.via)
    out.via[MemberId{config::hash_of(name)}] = config::endpoint_of(at);
  return out;
}

}  // namespace

class Service::Impl final : public link::Driver {
 public:
  Impl(core::Core& core, core::OfficeList& list, Prepared prepared, const config::Node& node)
      : log_(logger()),
        core_(core),
        list_(list),
        prepared_(std::move(prepared)),
        storage_(*prepared_.storage),
        coordinator_(prepared_.controllers.turn,
                     self_of(prepared_.controllers, node.name, storage_.incarnation()),
                     seeds_of(prepared_.controllers), node.seed),
        rules_reader_(core, coordinator_, node, prepared_.controllers.rules_file),
        link_(link_of(prepared_.controllers), *this,
              {[this](const recovery::Terms& terms) { apply(terms); },
               [this](const Store& store) { storage_.put(store); },
               [this](const Log& log) { log_->info("{} {}", log.event, log.text); }}),
        observations_(MemberId{config::hash_of(node.name)}),
        self_(MemberId{config::hash_of(node.name)}) {}

  // The link's driver, called on the link's thread.
  void begin(Time now, CoordinatorActions& actions) override {
    coordinator_.begin(now, storage_.persisted_state(), storage_.known_members(), actions);
    coordinator_.on(now, DriftEvent{storage_.rules()}, actions);
    rules_reader_.offer(read_version_file());
    pass_on_rules(now, actions);
    stats_.take(now, coordinator_);
  }
  void on(Time now, const CoordinatorEvent& event, CoordinatorActions& actions) override {
    if (const auto* core_event = std::get_if<CoreEvent>(&event))
      if (const auto* list = std::get_if<recovery::ListReceived>(&core_event->event))
        for (const recovery::Evidence& e : list->offices) observations_.track(e.office);
    coordinator_.on(now, event, actions);
  }
  void tick(Time now, CoordinatorActions& actions) override {
    if (const auto durable = storage_.take_durable_incarnation(now))
      coordinator_.on(now, IncarnationPersisted{*durable}, actions);
    pass_on_rules(now, actions);
    if (now >= observations_.next(is_opening())) {
      collected_.clear();
      observations_.collect(now, collected_);
      coordinator_.on_core_events(now, collected_, actions);
    }
    coordinator_.tick(now, actions);
    stats_.take(now, coordinator_);
  }
  void leave(Time now, CoordinatorActions& actions) override { coordinator_.leave(now, actions); }
  [[nodiscard]] Time next() const override {
    const Time at = std::min({coordinator_.next(), observations_.next(is_opening()), rules_reader_.next()});
    const auto retry_interval = storage_.retry_interval();
    return retry_interval ? std::min(at, base::now() + *retry_interval) : at;
  }

  // Called on other threads, as service.h says.
  void saw(ServerId office, OfficeObserver::OfficeObservation what) {
    if (observations_.saw(base::now(), office, what)) link_.reschedule();
  }
  void listed(bool live, bool complete, const std::vector<core::OfficeEntry>& offices) {
    recovery::ListReceived list;
    list.complete = complete;
    list.live = live;
    list.number = list_number_;
    list.restarts = list_restarts_;
    for (const core::OfficeEntry& office_entry : offices) {
      const recovery::Office office = office_of(office_entry);
      const recovery::OfficeState state =
          office_entry.entry.state == ServerState::ready      ? recovery::OfficeState::ready
          : office_entry.entry.state == ServerState::draining ? recovery::OfficeState::draining
                                                              : recovery::OfficeState::gone;
      // An entry of the configuration does not come from a live source: it counts as stored evidence of
      // unknown age.
      list.offices.push_back({office, live ? recovery::Rank::listed : recovery::Rank::stored, state, self_,
                              live ? std::optional<Duration>(Duration{}) : std::nullopt});
    }
    link_.from_core(std::move(list));
  }
  // Called under the office list's lock, like listed().
  void numbered(std::uint64_t number) { list_number_ = number; }
  void restarted() {
    list_number_ = 0;
    ++list_restarts_;
  }
  void caught_up() {
    if (!std::exchange(caught_up_, true)) link_.from_core(recovery::ListCaughtUp{});
  }
  void silent() { link_.from_core(recovery::SourceUnreachable{}); }

  void start() { link_.start(); }
  void reload() {
    rules_reader_.offer(read_version_file());
    link_.reschedule();
  }
  void stop() {
    link_.stop();
    storage_.flush(kFlushTimeout);
  }
  [[nodiscard]] bool settled() const { return stats_.settled; }
  [[nodiscard]] std::string figures() const { return stats_.text(link_.figures()); }

 private:
  void apply(const recovery::Terms& terms) {
    for (const recovery::Terms::Line& line : terms.offices) observations_.track(line.office);
    TermsTranslator::Changes changes = terms_translator_.take(terms);
    if (!changes.offices.empty()) list_.apply_decision(std::move(changes.offices));
    if (changes.limits) core_.set_admission_limits(std::move(*changes.limits));
    stats_.settled = true;
  }
  [[nodiscard]] std::optional<drift::Version> read_version_file() {
    std::string error_text;
    auto out = rules_reader_.read(error_text);
    if (!error_text.empty()) log_->info("version refused=\"{}\"", error_text);
    return out;
  }
  void pass_on_rules(Time now, CoordinatorActions& actions) {
    if (const auto vote = storage_.take_durable_vote())
      coordinator_.on(now, DriftEvent{drift::VotePersisted{*vote}}, actions);
    for (drift::Event& event : rules_reader_.collect(now))
      coordinator_.on(now, DriftEvent{std::move(event)}, actions);
  }
  [[nodiscard]] bool is_opening() const { return coordinator_.recovery().stage() != recovery::Stage::full; }

  const std::shared_ptr<spdlog::logger> log_;
  core::Core& core_;
  core::OfficeList& list_;
  Prepared prepared_;
  FleetStorage& storage_;
  Coordinator coordinator_;
  RulesReader rules_reader_;
  TermsTranslator terms_translator_;
  StatsSnapshot stats_;
  std::uint64_t list_number_ = 0;  // of the list received last
  std::uint64_t list_restarts_ = 0;
  bool caught_up_ = false;
  link::Link link_;
  OfficeObservations observations_;
  std::vector<recovery::Event> collected_;
  const MemberId self_;
};

Service::Service(core::Core& core, core::OfficeList& list, Prepared prepared, const config::Node& node)
    : impl_(std::make_unique<Impl>(core, list, std::move(prepared), node)) {
  core.set_observer(*this);
  list.set_list_arbiter(*this);
}
Service::~Service() = default;
void Service::start() { impl_->start(); }
void Service::reload() { impl_->reload(); }
void Service::stop() { impl_->stop(); }
bool Service::settled() const { return impl_->settled(); }
std::string Service::figures() const { return impl_->figures(); }
void Service::observed(ServerId office, OfficeObserver::OfficeObservation what) { impl_->saw(office, what); }
void Service::listed(bool live, bool complete, const std::vector<core::OfficeEntry>& offices) {
  impl_->listed(live, complete, offices);
}
void Service::set_list_number(std::uint64_t number) { impl_->numbered(number); }
void Service::source_restarted() { impl_->restarted(); }
void Service::source_caught_up() { impl_->caught_up(); }
void Service::source_lost() { impl_->silent(); }

}  // namespace reeltack::fleet
