#include "host.h"

namespace reeltack::wire {
namespace {

LoadReport name_values(const std::vector<std::string>& columns, const std::vector<float>& values) {
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

struct Host::Turn {
  Time now{};
  ReplyWriter reply;
  std::optional<std::uint32_t> about;                  // whose events these are
  std::optional<std::uint32_t> answering;              // whose actions were written last
  std::map<std::uint32_t, std::vector<Event>> events;  // each instance's, decided on together at the end
  std::vector<std::uint32_t> order;                    // in which instances were first heard of
  ActionSink actions;

  void speak_for(std::uint32_t instance) {
    if (answering != instance) reply.about(instance);
    answering = instance;
  }
};

Bytes Host::answer(std::span<const std::uint8_t> frame) {
  Batch batch = decode_batch(frame);
  Turn turn{batch.now, ReplyWriter(batch.number), {}, {}, {}, {}, {}};
  for (Record& record : batch.records) handle(turn, record);
  for (const std::uint32_t id : turn.order) decide(turn, id);
  return turn.reply.finish();
}

void Host::handle(Turn& turn, Record& record) {
  if (const auto* about = std::get_if<About>(&record)) {
    turn.about = about->instance;
    return;
  }
  if (auto* list = std::get_if<List>(&record)) {
    lists_[list->number] = std::move(list->entries);
    return;
  }
  if (!turn.about) {
    complain_("an event before any instance was named: skipped");
    return;
  }
  const std::uint32_t id = *turn.about;
  if (const auto* launch = std::get_if<Launch>(&record)) {
    instances_.erase(id);
    turn.events.erase(id);
    try {
      ParsedSettings parsed = parse_settings(launch->params);
      instances_.emplace(
          id, Instance{std::move(parsed.report_columns), Controller(parsed.settings, launch->seed)});
    } catch (const SettingsError& error) {
      turn.speak_for(id);
      turn.reply.die(error.what());
    }
    return;
  }
  if (std::holds_alternative<Teardown>(record)) {
    instances_.erase(id);
    turn.events.erase(id);
    return;
  }
  const auto found = instances_.find(id);
  if (found == instances_.end()) {
    complain_("an event for instance " + std::to_string(id) + ", which was not launched: skipped");
    return;
  }
  Instance& instance = found->second;
  std::optional<Event> event;
  if (const auto* announce = std::get_if<Announce>(&record)) {
    const auto list = lists_.find(announce->list);
    if (announce->form == AnnounceForm::failed) {
      event = ServerListFailed{};
    } else if (list == lists_.end()) {
      complain_("list " + std::to_string(announce->list) + " was never defined: announcement skipped");
    } else {
      event = ServerListReceived{announce->form != AnnounceForm::delta, list->second};
    }
  } else if (auto* finished = std::get_if<Finished>(&record)) {
    finished->ended.report = name_values(instance.columns, finished->values);
    event = finished->ended;
  } else if (auto* ping = std::get_if<PingResult>(&record)) {
    ping->reported.report = name_values(instance.columns, ping->values);
    event = ping->reported;
  } else if (const auto* arrived = std::get_if<CallArrived>(&record)) {
    event = *arrived;
  } else if (const auto* stands = std::get_if<CallEstablished>(&record)) {
    event = *stands;
  } else if (const auto* left = std::get_if<CallerLeft>(&record)) {
    event = *left;
  } else if (const auto* timer = std::get_if<TimerFired>(&record)) {
    event = *timer;
  } else if (auto* said = std::get_if<PeerMessageReceived>(&record)) {
    event = std::move(*said);
  }
  if (!event) return;
  std::vector<Event>& events = turn.events[id];
  if (events.empty()) turn.order.push_back(id);
  events.push_back(std::move(*event));
}

void Host::decide(Turn& turn, std::uint32_t id) {
  const auto events = turn.events.find(id);
  if (events == turn.events.end() || events->second.empty()) return;
  turn.actions.clear();
  instances_.at(id).controller.on(turn.now, events->second, turn.actions);
  turn.events.erase(events);
  if (turn.actions.empty()) return;
  turn.speak_for(id);
  for (const Action& action : turn.actions) turn.reply.action(action);
}

}  // namespace reeltack::wire
