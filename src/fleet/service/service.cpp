#include "fleet/service/service.h"

#include <atomic>

#include "config/versions.h"
#include "fleet/link/link.h"
#include "fleet/service/log.h"
#include "fleet/service/reading.h"
#include "fleet/service/shown.h"
#include "fleet/service/sightings.h"
#include "fleet/service/terms.h"

namespace reeltack::fleet {
namespace {

using namespace std::chrono_literals;

constexpr auto kFlushed = 300ms;

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

class Service::Inside final : public link::Driver {
 public:
  Inside(core::Core& core, core::OfficeList& list, Prepared prepared, const config::Node& node)
      : log_(logger()),
        core_(core),
        list_(list),
        prepared_(std::move(prepared)),
        keeping_(*prepared_.keeping),
        turn_(prepared_.controllers.turn, self_of(prepared_.controllers, node.name, keeping_.incarnation()),
              seeds_of(prepared_.controllers), node.seed),
        reading_(core, turn_, node, prepared_.controllers.rules_file),
        link_(link_of(prepared_.controllers), *this,
              {[this](const recovery::Terms& terms) { apply(terms); },
               [this](const Store& store) { keeping_.put(store); },
               [this](const Log& log) { log_->info("{} {}", log.event, log.text); }}),
        sightings_(MemberId{config::hash_of(node.name)}),
        self_(MemberId{config::hash_of(node.name)}) {}

  // ---- the link's driver, on its thread
  void begin(Time now, CoordinatorActions& actions) override {
    turn_.begin(now, keeping_.persisted_state(), keeping_.known_members(), actions);
    turn_.on(now, DriftEvent{keeping_.rules()}, actions);
    reading_.offer(read_file());
    read_rules(now, actions);
    shown_.take(now, turn_);
  }
  void on(Time now, const CoordinatorEvent& event, CoordinatorActions& actions) override {
    if (const auto* core = std::get_if<CoreEvent>(&event))
      if (const auto* heard = std::get_if<recovery::ListReceived>(&core->event))
        for (const recovery::Evidence& e : heard->offices) sightings_.track(e.office);
    turn_.on(now, event, actions);
  }
  void tick(Time now, CoordinatorActions& actions) override {
    if (const auto durable = keeping_.take_durable_incarnation(now))
      turn_.on(now, IncarnationPersisted{*durable}, actions);
    read_rules(now, actions);
    if (now >= sightings_.next(opens())) {
      saw_.clear();
      sightings_.collect(now, saw_);
      turn_.on_core_events(now, saw_, actions);
    }
    turn_.tick(now, actions);
    shown_.take(now, turn_);
  }
  void leave(Time now, CoordinatorActions& actions) override { turn_.leave(now, actions); }
  [[nodiscard]] Time next() const override {
    const Time at = std::min({turn_.next(), sightings_.next(opens()), reading_.next()});
    const auto retry_interval = keeping_.retry_interval();
    return retry_interval ? std::min(at, base::now() + *retry_interval) : at;
  }

  // ---- from others
  void saw(ServerId office, OfficeObserver::OfficeObservation what) {
    if (sightings_.saw(base::now(), office, what)) link_.reschedule();
  }
  void listed(bool live, bool complete, const std::vector<core::OfficeEntry>& offices) {
    recovery::ListReceived heard;
    heard.complete = complete;
    heard.live = live;
    heard.number = number_;
    heard.restarts = restarts_;
    for (const core::OfficeEntry& o : offices) {
      const recovery::Office office = office_of(o);
      const recovery::OfficeState seen = o.entry.state == ServerState::ready ? recovery::OfficeState::ready
                                         : o.entry.state == ServerState::draining
                                             ? recovery::OfficeState::draining
                                             : recovery::OfficeState::gone;
      // What the configuration held is no live source's word: it counts as kept, of unknown age.
      heard.offices.push_back({office, live ? recovery::Rank::listed : recovery::Rank::stored, seen, self_,
                               live ? std::optional<Duration>(Duration{}) : std::nullopt});
    }
    link_.from_core(std::move(heard));
  }
  void numbered(std::uint64_t number) { number_ = number; }  // under the list's lock, as listed()
  void restarted() {
    number_ = 0;
    ++restarts_;
  }
  void caught_up() {
    if (!std::exchange(caught_up_, true)) link_.from_core(recovery::ListCaughtUp{});
  }
  void silent() { link_.from_core(recovery::SourceUnreachable{}); }

  void start() { link_.start(); }
  void reload() {
    reading_.offer(read_file());
    link_.reschedule();
  }
  void stop() {
    link_.stop();
    keeping_.flush(kFlushed);
  }
  [[nodiscard]] bool settled() const { return shown_.settled; }
  [[nodiscard]] std::string figures() const { return shown_.text(link_.figures()); }

 private:
  void apply(const recovery::Terms& terms) {
    for (const recovery::Terms::Line& line : terms.offices) sightings_.track(line.office);
    TermsTranslator::Changes told = applied_.take(terms);
    if (!told.offices.empty()) list_.settled(std::move(told.offices));
    if (told.module) core_.terms(std::move(*told.module));
    shown_.settled = true;
  }
  [[nodiscard]] std::optional<drift::Version> read_file() {
    std::string why;
    auto out = reading_.read(why);
    if (!why.empty()) log_->info("version refused=\"{}\"", why);
    return out;
  }
  void read_rules(Time now, CoordinatorActions& actions) {
    if (const auto vote = keeping_.take_durable_vote())
      turn_.on(now, DriftEvent{drift::VotePersisted{*vote}}, actions);
    for (drift::Event& event : reading_.collect(now)) turn_.on(now, DriftEvent{std::move(event)}, actions);
  }
  [[nodiscard]] bool opens() const { return turn_.recovery().stage() != recovery::Stage::full; }

  const std::shared_ptr<spdlog::logger> log_;
  core::Core& core_;
  core::OfficeList& list_;
  Prepared prepared_;
  FleetStorage& keeping_;
  Coordinator turn_;
  Reading reading_;
  TermsTranslator applied_;
  Shown shown_;
  std::uint64_t number_ = 0;  // of the list that is heard
  std::uint64_t restarts_ = 0;
  bool caught_up_ = false;
  link::Link link_;
  OfficeObservations sightings_;
  std::vector<recovery::Event> saw_;
  const MemberId self_;
};

Service::Service(core::Core& core, core::OfficeList& list, Prepared prepared, const config::Node& node)
    : inside_(std::make_unique<Inside>(core, list, std::move(prepared), node)) {
  core.watch(*this);
  list.set_list_arbiter(*this);
}
Service::~Service() = default;
void Service::start() { inside_->start(); }
void Service::reload() { inside_->reload(); }
void Service::stop() { inside_->stop(); }
bool Service::settled() const { return inside_->settled(); }
std::string Service::figures() const { return inside_->figures(); }
void Service::saw(ServerId office, OfficeObserver::OfficeObservation what) { inside_->saw(office, what); }
void Service::listed(bool live, bool complete, const std::vector<core::OfficeEntry>& offices) {
  inside_->listed(live, complete, offices);
}
void Service::numbered(std::uint64_t number) { inside_->numbered(number); }
void Service::restarted() { inside_->restarted(); }
void Service::caught_up() { inside_->caught_up(); }
void Service::silent() { inside_->silent(); }

}  // namespace reeltack::fleet
