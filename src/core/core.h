// The core: requests, attempts, outcomes and offices, and the one thread that decides on them.
//
// Owns: the Controller, the table of calls, the timers, and the rules that hold whatever crosses (one final
//   answer a call, one attempt out at a time, a given-up attempt told to its office before the module hears).
// Must never: know a wire, a socket or JSON; block on a peer; let any thread but its own touch the table.
//
// A request's stages, a unit each: take_in (inbox, batch, clock), admit, route (the module), send, relay,
// book.
#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "base/base.h"
#include "figures/figures.h"
#include "membership/roster.h"
#include "reeltack/controller.h"

namespace reeltack::core {

inline constexpr int kNormalClearing = 16;    // Q.850: given up, or over
inline constexpr int kTemporaryFailure = 41;  // Q.850: cut

// Why a request failed; the fronts have names of their own for these.
enum class Why { none, refused, attempts_failed, deadline_passed, duplicate, unknown_class, given_up };

// A front, as the core sees it. Called on the core's thread; must not block.
class CallerFrontend {
 public:
  virtual ~CallerFrontend() = default;
  // False: the answer cannot reach the caller any more.
  virtual bool stands(CallId call, const std::string& description) = 0;
  virtual void refused(CallId call, Why why, Duration later) = 0;
  virtual void released(CallId call, int cause) = 0;
  virtual void over(CallId call) = 0;  // its caller has released it: nothing of it need be kept
  // False: the caller of an open call has left, though that has not been said yet. Asked before an attempt of
  // a call that has waited.
  virtual bool waits(CallId /*call*/) { return true; }
};

struct SetUp {
  CallId call{};
  std::uint32_t attempt = 0;
  ServerId office{};
  Time give_up{};
  std::uint32_t call_class = 0;
  CalledNumber number{};
  std::string description;
};
struct OfficeEntry {
  ServerEntry entry;
  std::string address;
};

// The offices, as the core sees them. Must not block. `listed` comes from the thread that heard the news.
class OfficeBackend {
 public:
  virtual ~OfficeBackend() = default;
  virtual void listed(bool complete, const std::vector<OfficeEntry>& offices) = 0;
  virtual void start(const SetUp& set_up) = 0;
  virtual void give_up(ServerId office, CallId call, std::uint32_t attempt) = 0;
  virtual void release(ServerId office, CallId call) = 0;
  virtual void keep(ServerId office, bool calls_established) = 0;
};

// Who looks on at what offices do, to tell others of it. Called on the core's thread; must not block.
class OfficeObserver {
 public:
  enum class OfficeObservation {
    answered,
    refused,
    broke,
    silent,
    unreachable
  };  // refused: turned away by a live office
  virtual ~OfficeObserver() = default;
  virtual void saw(ServerId office, OfficeObservation what) = 0;
};

struct Request {
  CallArrived told;         // with the absolute deadline
  bool class_known = true;  // else it is refused here
  std::string description;
  CallerFrontend* side = nullptr;
};

// What an office said that ends an attempt or a call.
struct Outcome {
  ServerId office{};
  CallId call{};
  int cause = 0;
  std::string note;
  LoadReport report;
};

enum class Phase { unknown, open, stands, refused, failed, given_up, over };
struct Status {  // of a call, for a client that asks
  Phase phase = Phase::unknown;
  Why why = Why::none;
  std::string description;
  CallerFrontend* side = nullptr;
};

class Core {
 public:
  Core(const Settings& settings, std::uint64_t seed);
  ~Core();
  Core(const Core&) = delete;
  Core& operator=(const Core&) = delete;

  // A release of a call from before this program's start goes to `strays`, if there is one.
  void start(OfficeBackend& offices, CallerFrontend* strays = nullptr);  // the thread begins; once
  void stop();                                                           // ends the thread

  // For fronts, from any thread.
  void request(Request request);
  // A front may end its own calls only.
  void give_up(CallId call, const CallerFrontend& side);             // the caller waits no longer
  void release(CallId call, const CallerFrontend& side);             // the caller ends a call that stands
  void ask(CallId call, std::function<void(const Status&)> answer);  // answered on the core's thread

  void at(Time time, std::function<void()> task);  // runs it on the core's thread, then or soon after

  // For the offices' side, from any thread.
  void answered(ServerId office, CallId call, std::string description);
  void ended(Outcome outcome);
  void reported(ServerId office, const LoadReport& report);
  void attempt_failed(CallId call, std::uint32_t attempt, AttemptOutcome ending);
  void office_lost(ServerId office);       // every call that stands there is cut
  void attempt_transmitted();              // a set-up has begun to leave to its office
  void reached(ServerId office, bool up);  // what dialling it has found
  void told(bool complete, std::vector<OfficeEntry> offices);

  void watch(OfficeObserver& watcher) { watcher_ = &watcher; }  // before start()
  void terms(AdmissionLimitsReceived terms);                    // for the module, whole each time; any thread

  void refuse_all();  // whatever is still open, at once: the program's time is up

  [[nodiscard]] bool ready() const { return ready_; }  // a list is held and the module has taken it
  [[nodiscard]] std::size_t open_calls() const { return open_; }  // without their final answer
  // Taken and not ended: open, or standing and not released. A little more while a call goes over.
  [[nodiscard]] std::size_t in_flight() const { return open_ + standing_calls_; }
  // For supervision and tests: what the table counted.
  struct Counts {
    std::atomic<std::uint64_t> requests{0}, stood{0}, refused{0}, failed{0}, given_up{0}, attempts{0};
  };
  [[nodiscard]] const Counts& counts() const { return counts_; }
  // What is decided by, as those hold it that use it: the module, and the core's own bound on attempts. Never
  // changes; from any thread.
  [[nodiscard]] const Settings& active_settings() const { return controller_.settings(); }
  [[nodiscard]] std::uint32_t most_attempts() const { return settings_.attempts_cap; }
  // The operators' figures, counted here where each request ends; read from any thread.
  [[nodiscard]] const figures::Figures& figures() const { return figures_; }

 private:
  struct Attempt {
    std::uint32_t number = 0;
    ServerId office{};
    Time sent{};
  };
  struct Due {
    enum class Kind { module, attempt, deadline, task } kind{};
    std::uint64_t id = 0;  // token or call
    std::uint32_t attempt = 0;
    std::function<void()> task{};
  };
  struct Record {
    Request request;
    Time admitted{};
    Phase phase = Phase::open;
    Why why = Why::none;
    std::uint32_t attempts = 0;
    std::optional<Attempt> out;
    ServerId stands_at{};
    std::string answer;
    std::optional<std::multimap<Time, Due>::iterator> deadline;
  };
  using Task = std::function<void()>;

  // take_in
  void post(Task task);
  void run();
  void take_timers();
  // admit
  void admit(Request request);
  // route
  void route();
  void carry_out(const Action& action);
  // send
  void send(const SendSetUp& wanted);
  void abandon(Record& record, AttemptOutcome ending, bool call_ended);
  void attempt_over(CallId call, std::uint32_t attempt, AttemptOutcome ending);
  // relay
  void relay_answer(ServerId office, CallId call, std::string description);
  void relay_end(const Outcome& outcome);
  void relay_release(CallId call, const CallerFrontend& side);
  void relay_give_up(CallId call, const CallerFrontend& side);
  // book
  Record* find(CallId call);
  void tell_ended(const Record& record, const Attempt& attempt, AttemptOutcome ending, bool call_ended,
                  const Outcome* told = nullptr);
  void finish(Record& record, Phase phase, Why why, Duration later);
  void close(Record& record);
  void keep_ended(Record& record);
  void drop_deadline(Record& record);
  void cut_calls_at(ServerId office);
  void list(bool complete, const std::vector<OfficeEntry>& offices);
  void standing(ServerId office, int change);
  void count_offices();
  void watched(ServerId office, OfficeObserver::OfficeObservation what) const;

  Controller controller_;
  Settings settings_;
  OfficeBackend* offices_ = nullptr;
  CallerFrontend* strays_ = nullptr;
  OfficeObserver* watcher_ = nullptr;
  Counts counts_;
  figures::Figures figures_;
  std::atomic<bool> ready_{false};
  std::atomic<std::size_t> open_{0};
  std::atomic<std::size_t> standing_calls_{0};

  std::mutex lock_;  // guards the inbox alone
  std::condition_variable filled_;
  std::vector<Task> inbox_;
  bool asleep_ = false;  // it waits, and nobody has woken it
  bool stopping_ = false;

  // The core thread's own.
  Time now_{};
  std::vector<Event> events_;
  ActionSink actions_;
  std::unordered_map<CallId, Record> calls_;
  std::multimap<Time, Due> timers_;
  std::deque<std::pair<Time, CallId>> ended_;  // records kept of ended calls, and until when
  membership::Roster roster_;
  std::map<ServerId, int> standing_;
  base::Thread thread_;
};

}  // namespace reeltack::core
