#include "load/player.h"

#include <algorithm>
#include <stdexcept>

#include "base/asio.h"
#include "base/wall_clock.h"
#include "load/connection.h"
#include "load/own_use.h"
#include "load/trace.h"

namespace reeltack::load {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using namespace std::chrono_literals;
using Steady = std::chrono::steady_clock;
constexpr Duration kTurn = 100ms;  // so often it is looked for an end

// By Said::What; what was released or cut stood before.
constexpr TryEnd kEnds[] = {TryEnd::stands, TryEnd::refused, TryEnd::failed, TryEnd::gave_up, TryEnd::stands};

class Player final : public Connected {
 public:
  Player(const Scenario& scenario, const PlayerOptions& options)
      : options_(options),
        run_(std::make_unique<Played>(scenario)),
        backlog_(scenario.backlog_bytes),
        timer_(io_),
        turn_(io_) {
    const Scenario& s = run_->scenario;
    std::uint64_t salt = hash(std::to_string(base::wall_now().time_since_epoch().count()));
    for (const Target& t : options.targets) run_->targets.push_back(load::to_text(t));
    const std::size_t n = s.connections * options.targets.size();
    for (std::size_t i = 0; i < n; ++i)
      connections_.push_back(std::make_unique<Connection>(
          *this, backlog_, io_, options.targets[i % options.targets.size()], mix(salt + i)));
    run_->connections = n;
    callers_ = std::make_unique<Callers>(s, salt, n, run_->recorder, options.check_descriptions);
    TraceSource source;
    if (s.process == Process::trace) {
      trace_ = std::make_unique<TraceReader>(s.trace, s.classes);
      source = [this] { return trace_->next(); };
    }
    schedule_ = std::make_unique<Schedule>(s, std::move(source));
    for (const LoadClass& c : s.classes) longest_ = std::max(longest_, c.deadline);
  }

  std::unique_ptr<Played> run() {
    for (auto& c : connections_) c->dial();
    const auto limit = Steady::now() + options_.connect_within;
    while (!all_up() && Steady::now() < limit) io_.run_one_for(10ms);
    if (std::none_of(connections_.begin(), connections_.end(), [](auto& c) { return c->up(); }))
      throw std::runtime_error("no target could be reached: " + run_->targets.front());
    run_->started_unix_ms = clocks::unix_ms(base::wall_now());
    next_ = schedule_->next();
    const double before = own_use().cpu_seconds;
    start_ = Steady::now() + 20ms;
    started_ = true;
    turn();
    pump();
    io_.restart();
    while (!done_ && io_.run_one() > 0) continue;
    if (fault_) std::rethrow_exception(fault_);
    run_->lasted = now();
    finish();
    const OwnUse after = own_use();
    run_->cpu_seconds = after.cpu_seconds - before;
    run_->peak_mb = after.peak_mb;
    run_->beyond = schedule_->beyond();
    run_->crossed = callers_->crossed();
    run_->late = callers_->late();
    run_->tries = tries_.records();
    return std::move(run_);
  }

  [[nodiscard]] Duration now() const { return std::chrono::duration_cast<Duration>(Steady::now() - start_); }
  [[nodiscard]] bool started() const override { return started_; }

  // What is due: arrivals first, whatever came from outside in the meantime.
  void pump() override {
    if (!started_ || done_) return;
    try {
      for (;;) {
        int burst = 0;
        while (next_ && next_->planned <= now() && burst++ < 64) {
          callers_->arrive(now(), *next_, actions_);
          next_ = schedule_->next();
          carry_out();
        }
        callers_->fire(now(), actions_);
        carry_out();
        for (Connection* c : dirty_) {
          c->dirty = false;
          c->flush();
        }
        dirty_.clear();
        if (!next_ || next_->planned > now()) break;
      }
    } catch (...) {
      fault_ = std::current_exception();
      done_ = true;
      return;
    }
    arm();
  }
  void said(Connection& from, const Said& s) override {
    const Duration at = now();
    if (s.what == Said::What::unreadable) return callers_->unreadable(s.text);
    if (s.what != Said::What::gave_up) from.settled(s.id);
    note(s.id, kEnds[static_cast<std::size_t>(s.what)]);
    switch (s.what) {
      case Said::What::stands:
        callers_->stands(at, s.id, s.text, actions_);
        break;
      case Said::What::refused:
      case Said::What::failed:
        callers_->refused(
            at, s.id, s.what == Said::What::refused ? Callers::No::refused : Callers::No::failed, s.later);
        break;
      case Said::What::gave_up:
        callers_->heard_give_up(at, s.id);
        break;
      case Said::What::released:
        callers_->released(at, s.id, s.cut);
        break;
      case Said::What::unreadable:
        break;  // above
    }
    carry_out();
  }
  void sent(TryId id) override {
    if (options_.keep_tries) tries_.sent(base::now(), id);
    callers_->sent(now(), id);
  }
  void broke() override { ++run_->breaks; }
  void lost(TryId id) override {
    note(id, TryEnd::lost);
    callers_->lost(now(), id);
  }
  void mark(Connection& c) override {
    if (!std::exchange(c.dirty, true)) dirty_.push_back(&c);
  }

 private:
  void note(TryId id, TryEnd how) {
    if (options_.keep_tries) tries_.ended(base::now(), id, how);
  }
  bool all_up() const {
    return std::all_of(connections_.begin(), connections_.end(), [](auto& c) { return c->up(); });
  }
  void carry_out() {
    for (std::size_t i = 0; i < actions_.size(); ++i) {
      if (const auto* p = std::get_if<PlaceTry>(&actions_[i])) {
        Connection& c = *connections_[p->user];
        c.await(p->id);
        if (options_.keep_tries) tries_.placed(base::now(), *p, p->user % options_.targets.size());
        if (!c.queue(c.wire().place(*p, run_->scenario.classes[p->call_class].name), p->id, true))
          ++run_->unsent;
      } else if (const auto* g = std::get_if<GiveUpTry>(&actions_[i])) {
        connections_[g->user]->queue(connections_[g->user]->wire().give_up(g->id), TryId{}, false);
      } else if (const auto* r = std::get_if<ReleaseTry>(&actions_[i])) {
        connections_[r->user]->queue(connections_[r->user]->wire().release(r->id), TryId{}, false);
      }
    }
    actions_.clear();
  }
  void arm() {
    Duration at = callers_->next_due();
    if (next_) at = std::min(at, next_->planned);
    if (at == Duration::max() || armed_ == at) return;
    armed_ = at;
    timer_.expires_at(start_ + at);
    timer_.async_wait([this](const error_code& error) {
      if (error) return;
      armed_ = Duration::max();
      pump();
    });
  }
  // The look for an end, and the progress line.
  void turn() {
    const Duration at = now();
    if (next_ && options_.stop != nullptr && options_.stop->load()) {
      run_->ended_early = true;
      next_.reset();
    }
    if (!next_) {
      if (!quiet_since_) quiet_since_ = at;
      // Early, or with nothing open, what still stands is awaited for the settling time alone.
      const bool soon = run_->ended_early || callers_->open() == 0;
      const Duration most = run_->scenario.settle + (soon ? Duration{} : longest_);
      done_ |= callers_->open() + callers_->standing() == 0 || at > *quiet_since_ + most;
    }
    if (options_.progress && at >= shown_ + 500ms) {
      shown_ = at;
      options_.progress(run_->recorder, at, callers_->open(), callers_->standing());
    }
    pump();
    if (done_) return;
    turn_.expires_after(kTurn);
    turn_.async_wait([this](const error_code& error) {
      if (!error) turn();
    });
  }
  // Nothing is left behind at the target: what stands is released, what is open given up.
  void finish() {
    run_->left_standing = callers_->standing();
    callers_->close(now(), actions_);
    started_ = false;
    carry_out();
    for (auto& c : connections_) c->flush();
    for (const auto until = Steady::now() + 200ms; Steady::now() < until;) io_.run_one_for(20ms);
    for (auto& c : connections_) c->close();
    io_.restart();
    io_.poll();
  }

  const PlayerOptions& options_;
  std::unique_ptr<Played> run_;
  Backlog backlog_;
  asio::io_context io_{1};
  asio::steady_timer timer_;
  asio::steady_timer turn_;
  std::vector<std::unique_ptr<Connection>> connections_;
  std::unique_ptr<Callers> callers_;
  std::unique_ptr<TraceReader> trace_;
  std::unique_ptr<Schedule> schedule_;
  std::optional<Arrival> next_;
  CallerActions actions_;
  Tries tries_;
  std::vector<Connection*> dirty_;
  Steady::time_point start_{};
  Duration armed_ = Duration::max();
  Duration shown_{};
  Duration longest_{};
  std::optional<Duration> quiet_since_;
  bool started_ = false;
  bool done_ = false;
  std::exception_ptr fault_;
};

}  // namespace

std::unique_ptr<Played> play(const Scenario& scenario, const PlayerOptions& options) {
  if (options.targets.empty()) throw std::runtime_error("no target is named");
  return Player(scenario, options).run();
}

}  // namespace reeltack::load
