#include "host.h"

namespace reeltack::wire {
namespace {

LoadReport to_load_report(const std::vector<std::string>& columns, const std::vector<float>& values) {
  LoadReport report;
  for (std::size_t i = 0; i < columns.size() && i < values.size(); ++i) {
    const double value = values[i];
    if (columns[i] == "free") report.free_lines = value;
    if (columns[i] == "size") report.lines = value;
    if (columns[i] == "recent_ms") report.wait_ms = value;
    if (columns[i] == "hold_back") report.hold_back = value;
  }
  return report;
}

}  // namespace

// The handling of one batch.
struct Host::Step {
  Time now{};
  ReplyWriter reply;
  std::optional<std::uint32_t> reading;                // instance of the current events
  std::optional<std::uint32_t> writing;                // instance of the actions written last
  std::map<std::uint32_t, std::vector<Event>> events;  // by instance, decided on together at the end
  std::vector<std::uint32_t> order;                    // instances in the order of their first events
  ActionSink actions;

  void write_for(std::uint32_t instance) {
    if (writing != instance) reply.about(instance);
    writing = instance;
  }
};

Bytes Host::answer(std::span<const std::uint8_t> frame) {
  Batch batch = decode_batch(frame);
  Step step{batch.now, ReplyWriter(batch.number), {}, {}, {}, {}, {}};
  for (Record& record : batch.records) handle(step, record);
  for (const std::uint32_t id : step.order) decide(step, id);
  return step.reply.finish();
}

void Host::handle(Step& step, Record& record) {
  if (const auto* about = std::get_if<About>(&record)) {
    step.reading = about->instance;
    return;
  }
  if (auto* list = std::get_if<List>(&record)) {
    lists_[list->number] = std::move(list->entries);
    return;
  }
  if (!step.reading) {
    log_("an event before any instance was named: skipped");
    return;
  }
  const std::uint32_t id = *step.reading;
  if (const auto* launch = std::get_if<Launch>(&record)) {
    instances_.erase(id);
    step.events.erase(id);
    try {
      ParsedSettings parsed = parse_settings(launch->params);
      instances_.emplace(
          id, Instance{std::move(parsed.report_columns), Controller(parsed.settings, launch->seed)});
    } catch (const SettingsError& error) {
      step.write_for(id);
      step.reply.die(error.what());
    }
    return;
  }
  if (std::holds_alternative<Teardown>(record)) {
    instances_.erase(id);
    step.events.erase(id);
    return;
  }
  const auto found = instances_.find(id);
  if (found == instances_.end()) {
    log_("an event for instance " + std::to_string(id) + ", which was not launched: skipped");
    return;
  }
  Instance& instance = found->second;
  std::optional<Event> event;
  if (const auto* announce = std::get_if<Announce>(&record)) {
    const auto list = lists_.find(announce->list);
    if (announce->form == AnnounceForm::failed) {
      event = ServerListFailed{};
    } else if (list == lists_.end()) {
      log_("list " + std::to_string(announce->list) + " was never defined: announcement skipped");
    } else {
      event = ServerListReceived{announce->form != AnnounceForm::delta, list->second};
    }
  } else if (auto* finished = std::get_if<Finished>(&record)) {
    finished->ended.report = to_load_report(instance.columns, finished->values);
    event = finished->ended;
  } else if (auto* ping = std::get_if<PingResult>(&record)) {
    ping->reported.report = to_load_report(instance.columns, ping->values);
    event = ping->reported;
  } else if (const auto* arrived = std::get_if<CallArrived>(&record)) {
    event = *arrived;
  } else if (const auto* established = std::get_if<CallEstablished>(&record)) {
    event = *established;
  } else if (const auto* left = std::get_if<CallerLeft>(&record)) {
    event = *left;
  } else if (const auto* timer = std::get_if<TimerFired>(&record)) {
    event = *timer;
  } else if (auto* message = std::get_if<PeerMessageReceived>(&record)) {
    event = std::move(*message);
  }
  if (!event) return;
  std::vector<Event>& events = step.events[id];
  if (events.empty()) step.order.push_back(id);
  events.push_back(std::move(*event));
}

void Host::decide(Step& step, std::uint32_t id) {
  const auto events = step.events.find(id);
  if (events == step.events.end() || events->second.empty()) return;
  step.actions.clear();
  instances_.at(id).controller.on(step.now, events->second, step.actions);
  step.events.erase(events);
  if (step.actions.empty()) return;
  step.write_for(id);
  for (const Action& action : step.actions) step.reply.action(action);
}

}  // namespace reeltack::wire
