// The calls of a fake endpoint, from what it hears to what it answers.
#include <algorithm>
#include <chrono>

#include "load/plan/description.h"
#include "standin/centrale.h"

namespace reeltack::standin {

namespace asio = boost::asio;
using boost::system::error_code;
using load::OfficeEvent;

namespace {

// Causes (ITU-T Q.850).
constexpr int kNormalClearing = 16;
constexpr int kNoCircuit = 34;
constexpr int kTemporaryFailure = 41;

}  // namespace

void Centrale::see(OfficeEvent::What what, std::uint64_t call, std::uint64_t from, int cause) {
  witness_({base::now(), what, settings_.id, call, from, cause}, Known::exactly);
}

void Centrale::see_heard(OfficeEvent::What what, std::uint64_t call, const Heard& h, int cause) {
  witness_({h.arrived.value_or(base::now()), what, settings_.id, call, h.from, cause},
           h.arrived && h.arrived_exactly ? Known::exactly : Known::by_its_end);
}

void Centrale::hear(const Heard& h) {
  if (dead_) return;
  if (h.what == Heard::What::lost) return lost(h);
  if (h.what == Heard::What::set_up) return set_up(h);
  const auto found = calls_.find(h.call);
  if (found == calls_.end()) return;
  see_heard(OfficeEvent::What::given_up, h.call, h, kNormalClearing);
  const bool stood = has_stood(found->second);
  if (!stood && !settings_.works_on_given_up) processor_.withdraw(h.call);
  drop(found);
  if (stood) processor_.offer(base::now(), Work::release, 0);
  drive();
}

void Centrale::set_up(const Heard& h) {
  ++counts_.set_ups;
  see_heard(OfficeEvent::What::set_up, h.call, h);
  if (calls_.contains(h.call)) return;  // a set-up once more: the log shows it
  if (silent_) {
    calls_[h.call] = {Phase::setting_up, h.from, h.number, nullptr};
    ++used_;
    return;
  }
  if (used_ >= lines_) {
    ++counts_.no_line;
    return end(h.from, h.call, kNoCircuit, "blocked");
  }
  if (!processor_.offer(base::now(), Work::set_up, h.call)) {
    if (processor_.fallen()) return die();
    ++counts_.turned_away;
    return end(h.from, h.call, kNoCircuit, "swamped");
  }
  calls_[h.call] = {Phase::setting_up, h.from, h.number, nullptr};
  ++used_;
  drive();
}

void Centrale::end(std::uint64_t from, std::uint64_t call, int cause, const char* note) {
  see(OfficeEvent::What::ended, call, from, cause);
  link_->ended(from, call, cause, note);
}

void Centrale::lost(const Heard& h) {
  std::vector<std::uint64_t> open;
  for (const auto& [id, call] : calls_) {
    if (call.from == h.from && call.phase != Phase::standing && call.phase != Phase::ending)
      open.push_back(id);
  }
  std::sort(open.begin(), open.end());
  for (const std::uint64_t id : open) {
    see_heard(OfficeEvent::What::broken, id, h);
    drop(calls_.find(id));
  }
}

void Centrale::cut(std::uint64_t id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  ++counts_.cut;
  const std::uint64_t from = found->second.from;
  drop(found);
  end(from, id, kTemporaryFailure, "");
}

void Centrale::drop(std::unordered_map<std::uint64_t, Call>::iterator call) {
  calls_.erase(call);
  --used_;
  changed_ = true;
}

void Centrale::finish(const Processor::Done& d) {
  const auto found = calls_.find(d.call);
  if (found == calls_.end()) return;
  Call& call = found->second;
  if (d.work == Work::set_up && call.phase == Phase::setting_up) {
    call.phase = Phase::answering;
    processor_.offer(base::now(), Work::answer, d.call);
  } else if (d.work == Work::answer && call.phase == Phase::answering) {
    changed_ = true;
    call.phase = Phase::standing;
    ++counts_.stood;
    see(OfficeEvent::What::answered, d.call, call.from);
    link_->started(
        call.from, d.call,
        load::endpoint_description(d.call, base::office_name(ServerId{settings_.id}), call.number));
    if (settings_.hold > Duration{}) hold(d.call, call);
  } else if (d.work == Work::release && call.phase == Phase::ending) {
    const std::uint64_t from = call.from;
    drop(found);
    end(from, d.call, kNormalClearing, "");
  }
}

void Centrale::hold(std::uint64_t id, Call& call) {
  const double mean = std::chrono::duration<double>(settings_.hold).count();
  call.over = std::make_shared<asio::steady_timer>(io_);
  call.over->expires_after(
      std::chrono::round<Duration>(std::chrono::duration<double>(load::exponential(random_, mean))));
  call.over->async_wait([this, id](const error_code& error) {
    if (error || dead_) return;
    const auto found = calls_.find(id);
    if (found == calls_.end() || found->second.phase != Phase::standing) return;
    found->second.phase = Phase::ending;
    processor_.offer(base::now(), Work::release, id);
    drive();
  });
}

}  // namespace reeltack::standin
