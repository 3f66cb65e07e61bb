#include "load/player.h"

#include <sys/resource.h>

#include <algorithm>
#include <array>
#include <deque>
#include <stdexcept>
#include <unordered_set>

#include "base/asio.h"
#include "load/trace.h"

namespace reeltack::load {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;
using Steady = std::chrono::steady_clock;

constexpr std::size_t kStep = std::size_t{64} * 1024;
constexpr Duration kTurn = 100ms;  // so often it is looked for an end
constexpr Duration kAgainFirst = 50ms;
constexpr Duration kAgainMost = 1s;

class Player;

// One connection, made anew as often as it breaks. What never left waits for the next.
class Connection {
 public:
  Connection(Player& player, asio::io_context& io, const Target& target, std::uint64_t seed)
      : player_(player), target_(target), socket_(io), timer_(io), seed_(seed), read_(kStep) {}

  void dial();
  // False: the backlog is full.
  bool queue(std::string bytes, TryId id, bool counted);
  void flush();
  void close() {
    closing_ = true;
    error_code ignored;
    timer_.cancel(ignored);
    socket_.close(ignored);
  }
  void await(TryId id) { awaited_.insert(id); }
  void settled(TryId id) { awaited_.erase(id); }
  [[nodiscard]] Wire& wire() { return *wire_; }
  [[nodiscard]] bool up() const { return up_ && wire_->ready(); }
  bool dirty = false;

 private:
  struct Message {
    std::string bytes;
    TryId id{};
  };
  void read();
  void taken(std::size_t n);
  void broke();
  Player& player_;
  const Target target_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::uint64_t seed_;
  std::unique_ptr<Wire> wire_;
  bool up_ = false;
  bool closing_ = false;
  bool waiting_ = false;  // for the socket to take more
  Duration again_ = kAgainFirst;
  std::vector<char> read_;
  std::size_t held_ = 0;
  std::string urgent_;  // the wire's own: before all else
  std::deque<Message> out_;
  std::size_t begun_ = 0;  // bytes of the first message that have left
  std::unordered_set<TryId> awaited_;
};

class Player {
 public:
  Player(const Scenario& scenario, const PlayerOptions& options)
      : options_(options), run_(std::make_unique<Played>(scenario)), timer_(io_), turn_(io_) {
    const Scenario& s = run_->scenario;
    std::uint64_t salt = hash(std::to_string(std::chrono::system_clock::now().time_since_epoch().count()));
    for (const Target& t : options.targets) run_->targets.push_back(load::to_text(t));
    const std::size_t n = s.connections * options.targets.size();
    for (std::size_t i = 0; i < n; ++i)
      connections_.push_back(std::make_unique<Connection>(
          *this, io_, options.targets[i % options.targets.size()], mix(salt + i)));
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
    run_->started_unix_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                                std::chrono::system_clock::now().time_since_epoch())
                                .count();
    next_ = schedule_->next();
    rusage before{};
    ::getrusage(RUSAGE_SELF, &before);
    start_ = Steady::now() + 20ms;
    started_ = true;
    turn();
    pump();
    io_.restart();
    while (!done_ && io_.run_one() > 0) continue;
    if (fault_) std::rethrow_exception(fault_);
    run_->lasted = now();
    finish();
    rusage after{};
    ::getrusage(RUSAGE_SELF, &after);
    const auto seconds = [](const timeval& t) {
      return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) / 1e6;
    };
    run_->cpu_seconds = seconds(after.ru_utime) + seconds(after.ru_stime) - seconds(before.ru_utime) -
                        seconds(before.ru_stime);
    run_->peak_mb = static_cast<double>(after.ru_maxrss) / 1024.0;
    run_->beyond = schedule_->beyond();
    run_->crossed = callers_->crossed();
    return std::move(run_);
  }

  [[nodiscard]] Duration now() const { return std::chrono::duration_cast<Duration>(Steady::now() - start_); }
  Callers& callers() { return *callers_; }
  [[nodiscard]] bool started() const { return started_; }

  // What is due: arrivals first, whatever came from outside in the meantime.
  void pump() {
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
  void said(Connection& from, const Said& s) {
    const Duration at = now();
    if (s.what == Said::What::unreadable) return callers_->unreadable(s.text);
    if (s.what != Said::What::gave_up) from.settled(s.id);
    switch (s.what) {
      case Said::What::stands:
        callers_->stands(at, s.id, s.text, actions_);
        break;
      case Said::What::refused:
        callers_->refused(at, s.id, Callers::No::refused, s.later);
        break;
      case Said::What::failed:
        callers_->refused(at, s.id, Callers::No::failed, s.later);
        break;
      case Said::What::gave_up:
        callers_->heard_give_up(at, s.id);
        break;
      case Said::What::released:
        callers_->released(at, s.id, s.cut);
        break;
      case Said::What::unreadable:
        break;
    }
    carry_out();
  }
  void sent(TryId id) { callers_->sent(now(), id); }
  void broke() { ++run_->breaks; }
  // `must`: the end of a call always finds room: it is small, and what it ends must not stay.
  bool take_backlog(std::size_t bytes, bool must) {
    if (!must && waits_ + bytes > run_->scenario.backlog_bytes) return false;
    waits_ += bytes;
    return true;
  }
  void give_backlog(std::size_t bytes) { waits_ -= bytes; }
  void mark(Connection& c) {
    if (!std::exchange(c.dirty, true)) dirty_.push_back(&c);
  }

 private:
  bool all_up() const {
    return std::all_of(connections_.begin(), connections_.end(), [](auto& c) { return c->up(); });
  }
  void carry_out() {
    for (std::size_t i = 0; i < actions_.size(); ++i) {
      if (const auto* p = std::get_if<PlaceTry>(&actions_[i])) {
        Connection& c = *connections_[p->user];
        c.await(p->id);
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
    if (at == Duration::max()) return;
    if (armed_ == at) return;
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
    const bool asked = options_.stop != nullptr && options_.stop->load();
    if (asked && next_) {
      run_->ended_early = true;
      next_.reset();
      run_->lasted = at;
    }
    if (!next_) {
      if (!quiet_since_) quiet_since_ = at;
      const bool over = callers_->open() == 0 && callers_->standing() == 0;
      const Duration most = run_->scenario.settle + longest_;
      // Early, what still waits is awaited for the settling time alone.
      const Duration patience = run_->ended_early ? run_->scenario.settle : most;
      if (over || at > *quiet_since_ + patience ||
          (callers_->open() == 0 && at > *quiet_since_ + run_->scenario.settle))
        done_ = true;
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
    const auto until = Steady::now() + 200ms;
    while (Steady::now() < until) io_.run_one_for(20ms);
    for (auto& c : connections_) c->close();
    io_.restart();
    io_.poll();
  }

  const PlayerOptions& options_;
  std::unique_ptr<Played> run_;
  asio::io_context io_{1};
  asio::steady_timer timer_;
  asio::steady_timer turn_;
  std::vector<std::unique_ptr<Connection>> connections_;
  std::unique_ptr<Callers> callers_;
  std::unique_ptr<TraceReader> trace_;
  std::unique_ptr<Schedule> schedule_;
  std::optional<Arrival> next_;
  CallerActions actions_;
  std::vector<Connection*> dirty_;
  Steady::time_point start_{};
  Duration armed_ = Duration::max();
  Duration shown_{};
  Duration longest_{};
  std::optional<Duration> quiet_since_;
  std::size_t waits_ = 0;  // bytes that have not left
  bool started_ = false;
  bool done_ = false;
  std::exception_ptr fault_;
};

void Connection::dial() {
  wire_ = make_wire(target_, seed_ = mix(seed_));
  held_ = 0;
  waiting_ = false;
  error_code error;
  socket_.close(error);
  const tcp::endpoint to(asio::ip::make_address(target_.address.host), target_.address.port);
  socket_.async_connect(to, [this](const error_code& failed) {
    if (closing_) return;
    if (failed) return broke();
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    up_ = true;
    urgent_ = wire_->hello();
    read();
    flush();
    player_.pump();
  });
}

bool Connection::queue(std::string bytes, TryId id, bool counted) {
  if (!player_.take_backlog(bytes.size(), !counted)) return false;
  out_.push_back({std::move(bytes), id});
  player_.mark(*this);
  return true;
}

void Connection::flush() {
  if (!up_ || waiting_) return;
  // Many messages leave in one write; where the socket takes no more, the rest waits for it.
  constexpr std::size_t kMostBuffers = 64;
  for (;;) {
    std::array<asio::const_buffer, kMostBuffers> buffers;
    std::size_t n = 0;
    if (!urgent_.empty() && begun_ == 0) buffers[n++] = asio::buffer(urgent_);
    if (wire_->ready()) {
      for (auto m = out_.begin(); m != out_.end() && n < kMostBuffers; ++m)
        buffers[n++] = m == out_.begin() ? asio::buffer(m->bytes) + begun_ : asio::buffer(m->bytes);
    }
    if (n == 0) return;
    error_code error;
    std::vector<asio::const_buffer> all(buffers.begin(), buffers.begin() + static_cast<std::ptrdiff_t>(n));
    const std::size_t written = socket_.write_some(all, error);
    if (error == asio::error::would_block) {
      waiting_ = true;
      socket_.async_wait(tcp::socket::wait_write, [this](const error_code& failed) {
        if (closing_ || failed) return;
        waiting_ = false;
        flush();
        player_.pump();
      });
      return;
    }
    if (error) return;  // the reader hears of it
    taken(written);
  }
}

void Connection::taken(std::size_t n) {
  if (begun_ == 0 && !urgent_.empty()) {
    const std::size_t own = std::min(n, urgent_.size());
    urgent_.erase(0, own);
    n -= own;
  }
  while (n > 0) {
    Message& m = out_.front();
    if (begun_ == 0 && m.id != TryId{}) player_.sent(m.id);
    const std::size_t here = std::min(n, m.bytes.size() - begun_);
    begun_ += here;
    n -= here;
    if (begun_ < m.bytes.size()) return;
    player_.give_backlog(m.bytes.size());
    out_.pop_front();
    begun_ = 0;
  }
}

void Connection::read() {
  if (read_.size() - held_ < kStep / 2) read_.resize(read_.size() + kStep);
  socket_.async_read_some(asio::buffer(read_.data() + held_, read_.size() - held_),
                          [this](const error_code& error, std::size_t n) {
                            if (closing_) return;
                            player_.pump();  // an arrival never waits for answers to be read
                            if (error) return broke();
                            held_ += n;
                            std::vector<Said> said;
                            std::string reply;
                            std::size_t used = 0;
                            const bool was_ready = wire_->ready();
                            const bool good = wire_->read({read_.data(), held_}, used, said, reply);
                            std::copy(read_.begin() + static_cast<std::ptrdiff_t>(used),
                                      read_.begin() + static_cast<std::ptrdiff_t>(held_), read_.begin());
                            held_ -= used;
                            if (player_.started()) {
                              for (const Said& s : said) player_.said(*this, s);
                            }
                            if (!good) return broke();
                            if (!reply.empty()) queue(std::move(reply), TryId{}, false);
                            if (!was_ready && wire_->ready()) {
                              again_ = kAgainFirst;
                              player_.mark(*this);
                            }
                            player_.pump();
                            read();
                          });
}

// The target ended it, or could not be reached: what had begun to leave is lost, the rest goes on the next.
void Connection::broke() {
  const bool was_up = std::exchange(up_, false);
  error_code ignored;
  socket_.close(ignored);
  urgent_.clear();
  std::unordered_set<TryId> waiting;
  if (begun_ > 0) {
    player_.give_backlog(out_.front().bytes.size());
    out_.pop_front();
    begun_ = 0;
  }
  for (const Message& m : out_) waiting.insert(m.id);
  if (was_up) player_.broke();
  if (player_.started()) {
    std::vector<TryId> lost;
    for (const TryId id : awaited_) {
      if (!waiting.contains(id)) lost.push_back(id);
    }
    std::sort(lost.begin(), lost.end());  // the order of a hash table is no order
    for (const TryId id : lost) {
      awaited_.erase(id);
      player_.callers().lost(player_.now(), id);
      if (target_.kind == Target::Kind::ws)
        queue(wire_->give_up(id), TryId{}, false);  // no socket owns a call
    }
  }
  timer_.expires_after(again_);
  again_ = std::min(again_ * 2, kAgainMost);
  timer_.async_wait([this](const error_code& error) {
    if (!error && !closing_) dial();
  });
  player_.pump();
}

}  // namespace

std::unique_ptr<Played> play(const Scenario& scenario, const PlayerOptions& options) {
  if (options.targets.empty()) throw std::runtime_error("no target is named");
  return Player(scenario, options).run();
}

}  // namespace reeltack::load
