// The link's thread: passes events to the driver and carries out its actions.
#include "fleet/link/link.h"

#include <atomic>
#include <ctime>
#include <deque>

#include "base/base.h"
#include "fleet/link/connections.h"
#include "fleet/link/core_queue.h"
#include "fleet/link/udp.h"

namespace reeltack::fleet::link {
namespace {

constexpr Duration kMinTickInterval = std::chrono::milliseconds(1);

using base::now;
template <class... Case>
struct Overloaded : Case... {
  using Case::operator()...;
};
template <class... Case>
Overloaded(Case...) -> Overloaded<Case...>;

}  // namespace

std::string to_text(Endpoint at) {
  return asio::ip::address_v4(at.address).to_string() + ":" + std::to_string(at.port);
}

class Link::Impl {
 public:
  Impl(LinkSettings settings, Driver& driver, LinkCallbacks outward)
      : settings_(std::move(settings)),
        driver_(driver),
        callbacks_(std::move(outward)),
        io_(1),
        udp_(context()),
        connections_(context()),
        timer_(io_),
        queue_(settings_.max_core_events) {}

  void start() {
    if (started_) throw LinkError("fleet: the link was started before");
    try {
      udp_.open();
      connections_.open();
    } catch (const std::system_error& error) {
      close();
      throw LinkError("fleet: cannot listen on " + to_text(settings_.listen) + ": " + error.what());
    }
    udp_.start();
    connections_.start();
    asio::post(io_, [this] {
      run([this](Time at, CoordinatorActions& actions) { driver_.begin(at, actions); });
      spawn(io_, tick_loop());
    });
    std::string error_text;
    if (!thread_.start([this] { run_thread(); }, error_text)) {
      close();
      throw LinkError("fleet: no thread for the link: " + error_text);
    }
    started_ = true;
  }

  void stop() {
    if (!started_ || stopped_) return;
    stopped_ = true;
    asio::post(io_, [this] { leave(); });
    thread_.join();
    close();
  }

  void from_core(recovery::Event event) {
    if (queue_.push(std::move(event))) asio::post(io_, [this] { dispatch_core_events(); });
  }
  void reschedule() {
    if (reschedule_posted_.exchange(true)) return;
    asio::post(io_, [this] {
      reschedule_posted_ = false;  // cleared before next() is read: a later reschedule() posts again
      rearm_timer();
    });
  }
  void incarnation_persisted(Incarnation to) {
    asio::post(io_, [this, to] { dispatch(IncarnationPersisted{to}); });
  }
  [[nodiscard]] LinkFigures figures() const {
    const LinkCounters& c = counters_;
    return {c.datagrams_in,   c.datagrams_out,   c.bytes_in, c.bytes_out,      c.frames_in,     c.frames_out,
            c.frame_bytes_in, c.frame_bytes_out, c.dialled,  c.accepted,       c.connections,   c.refused,
            c.malformed,      c.overflowed,      c.not_sent, queue_.dropped(), Duration(c.cpu), c.failed};
  }

 private:
  TaskContext context() {
    return {io_, settings_, counters_, [this](CoordinatorEvent event) { dispatch(std::move(event)); },
            [this](Log log) { write_log(std::move(log)); }};
  }

  void run_thread() {
    try {
      io_.run();
    } catch (const std::exception& error) {
      counters_.failed = true;
      write_log({"fleet_link_failed", std::string("error=\"") + error.what() + "\""});
      close();
    }
    update_cpu_time();
  }

  // Calls the driver once, then once for each event that its actions cause. Events that arrive meanwhile are
  // queued, so that calls of the driver never nest.
  template <class Call>
  void run(Call call) {
    dispatching_ = true;
    CoordinatorActions actions;
    call(now(), actions);
    carry_out(actions);
    while (!pending_.empty()) {
      const CoordinatorEvent event = std::move(pending_.front());
      pending_.pop_front();
      actions.clear();
      driver_.on(now(), event, actions);
      carry_out(actions);
    }
    dispatching_ = false;
    rearm_timer();
  }
  void rearm_timer() {
    if (driver_.next() < armed_) timer_.cancel();
  }

  void dispatch(CoordinatorEvent event) {
    if (leaving_) return;
    if (dispatching_)
      pending_.push_back(std::move(event));
    else
      run([this, &event](Time at, CoordinatorActions& actions) { driver_.on(at, event, actions); });
  }

  void carry_out(CoordinatorActions& actions) {
    for (CoordinatorAction& action : actions)
      std::visit(Overloaded{[this](const SendMembership& send) { udp_.send(send); },
                            [this](const SendPush& send) { udp_.send(send); },
                            [this](const Dial& dial) { connections_.dial(dial); },
                            [this](const SendExchange& send) { connections_.send(send); },
                            [this](const CloseConnection& closing) { connections_.hang_up(closing.id); },
                            [this](Store& store) {
                              if (callbacks_.to_store) callbacks_.to_store(std::move(store));
                            },
                            [this](ApplyTerms& apply) {
                              if (callbacks_.to_core) callbacks_.to_core(std::move(apply.terms));
                            },
                            [this](Log& log) { write_log(std::move(log)); }},
                 action);
  }

  void write_log(Log log) {
    if (callbacks_.log) callbacks_.log(std::move(log));
  }

  void dispatch_core_events() {
    for (recovery::Event& event : queue_.take()) dispatch(CoreEvent{std::move(event)});
  }

  asio::awaitable<void> tick_loop() {
    Time earliest = Time::min();
    while (!leaving_) {
      armed_ = std::max(driver_.next(), earliest);
      timer_.expires_at(base::to_steady(armed_));
      asio::error_code error;
      co_await timer_.async_wait(with(error));
      if (leaving_) co_return;
      if (now() < driver_.next() || now() < earliest) continue;
      // See link.h: answers waiting in the socket did arrive.
      udp_.drain(settings_.max_datagrams_before_tick);
      if (now() < driver_.next()) continue;
      run([this](Time at, CoordinatorActions& actions) { driver_.tick(at, actions); });
      earliest = now() + kMinTickInterval;
      update_cpu_time();
    }
  }

  void leave() {
    run([this](Time at, CoordinatorActions& actions) { driver_.leave(at, actions); });
    leaving_ = true;
    timer_.cancel();
    spawn(io_, stop_after(settings_.leave_timeout));
    connections_.leave([this] { io_.stop(); });
  }

  asio::awaitable<void> stop_after(Duration timeout) {
    asio::steady_timer timer(io_, timeout);
    asio::error_code error;
    co_await timer.async_wait(with(error));
    io_.stop();
  }

  void close() {
    udp_.close();
    leaving_ = true;
    connections_.close();
  }

  void update_cpu_time() {
    timespec at{};
    if (::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &at) == 0)
      counters_.cpu = std::int64_t{at.tv_sec} * 1'000'000'000 + at.tv_nsec;
  }

  const LinkSettings settings_;
  Driver& driver_;
  const LinkCallbacks callbacks_;
  LinkCounters counters_;
  asio::io_context io_;
  UdpTask udp_;
  Connections connections_;
  asio::steady_timer timer_;
  CoreQueue queue_;
  std::deque<CoordinatorEvent> pending_;
  Time armed_ = Time::min();  // when the timer expires
  std::atomic<bool> reschedule_posted_{false};
  bool dispatching_ = false, leaving_ = false, started_ = false, stopped_ = false;
  base::Thread thread_;
};

Link::Link(LinkSettings settings, Driver& driver, LinkCallbacks outward)
    : impl_(std::make_unique<Impl>(std::move(settings), driver, std::move(outward))) {}
Link::~Link() { stop(); }
void Link::start() { impl_->start(); }
void Link::stop() { impl_->stop(); }
void Link::from_core(recovery::Event event) { impl_->from_core(std::move(event)); }
void Link::reschedule() { impl_->reschedule(); }
void Link::incarnation_persisted(Incarnation to) { impl_->incarnation_persisted(to); }
LinkFigures Link::figures() const { return impl_->figures(); }

}  // namespace reeltack::fleet::link
