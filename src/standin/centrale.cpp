#include "standin/centrale.h"

#include <algorithm>

namespace reeltack::standin {

namespace asio = boost::asio;
using boost::system::error_code;
using load::OfficeEvent;
using namespace std::chrono_literals;

namespace {

constexpr Duration kReportEvery = 200ms;

asio::steady_timer::duration left(Time at) { return std::max<Duration>(at - base::now(), Duration{}); }

}  // namespace

Centrale::Centrale(asio::io_context& io, const CentraleSettings& settings, std::uint64_t seed, Time started,
                   Witness witness)
    : io_(io),
      settings_(settings),
      witness_(std::move(witness)),
      random_(load::stream(seed, "centrale", settings.id)),
      processor_(settings.processor, started),
      timer_(io),
      report_(io),
      lines_(settings.lines) {
  const auto notify = [this](const Heard& h) { hear(h); };
  link_ = settings.wire == CentraleWire::lines
              ? listen_lines(io, settings.at, notify,
                             [this] {
                               return R"({"verb":"LOAD","tag":"","opts":{"load":")" +
                                      load_figures(free(), lines_, util_, processor_.queue()) + "\"}}\n";
                             })
              : connect_websocket(io, settings, notify);
  tell_load();
  every();
}

void Centrale::pause(bool on) {
  drive();
  processor_.pause(base::now(), on);
  drive();
}

void Centrale::slow(double factor) {
  drive();
  processor_.slow(base::now(), factor);
  drive();
}

void Centrale::lose(double part) {
  lines_ = static_cast<std::uint32_t>(static_cast<double>(settings_.lines) * (1.0 - part));
  std::vector<std::uint64_t> standing;
  for (const auto& [id, call] : calls_) {
    if (call.phase == Phase::standing) standing.push_back(id);
  }
  std::sort(standing.begin(), standing.end());
  while (used_ > lines_ && !standing.empty()) {
    const auto at = static_cast<std::size_t>(load::uniform(random_) * static_cast<double>(standing.size()));
    cut(standing[at]);
    standing.erase(standing.begin() + static_cast<std::ptrdiff_t>(at));
  }
  tell_load();
}

void Centrale::silent(bool on) {
  silent_ = on;
  link_->hold(on);
}

void Centrale::die() {
  if (dead_) return;
  dead_ = true;
  counts_.cut += calls_.size();
  for (const auto& [id, call] : calls_) {
    if (call.phase != Phase::standing) see(OfficeEvent::What::broken, id, call.from);
  }
  calls_.clear();
  timer_.cancel();
  report_.cancel();
  link_->die();
}

void Centrale::add_to(Centrales::Counts& out) const {
  out.set_ups += counts_.set_ups;
  out.stood += counts_.stood;
  out.turned_away += counts_.turned_away;
  out.no_line += counts_.no_line;
  out.cut += counts_.cut;
  out.standing += used_;
  out.queued += processor_.queue();
  out.repeats += processor_.repeats();
  out.fallen += processor_.fallen() ? 1 : 0;
}

void Centrale::drive() {
  if (dead_) return;
  for (;;) {
    done_.clear();
    processor_.advance(base::now(), done_);
    if (done_.empty()) break;
    const std::vector<Processor::Done> now = std::move(done_);
    for (const auto& d : now) finish(d);
  }
  const auto next = processor_.next();
  if (!next) {
    armed_ = Time::max();
    timer_.cancel();
    return;
  }
  if (*next == armed_) return;
  armed_ = *next;
  timer_.expires_after(left(*next));
  timer_.async_wait([this](const error_code& error) {
    if (error || dead_) return;
    armed_ = Time::max();
    drive();
  });
}

void Centrale::tell_load() {
  link_->load(free(), lines_, util_, processor_.queue());
  changed_ = false;
}

void Centrale::every() {
  report_.expires_after(kReportEvery);
  report_.async_wait([this](const error_code& error) {
    if (error || dead_) return;
    const Time now = base::now();
    const Duration busy = processor_.busy(now);
    util_ = static_cast<double>((busy - busy_before_).count()) /
            static_cast<double>(std::max(now - looked_, Duration{1}).count());
    busy_before_ = busy;
    looked_ = now;
    if (changed_) tell_load();
    every();
  });
}

}  // namespace reeltack::standin
