// The core of the controller: one thread that owns the call table, the timers and the Controller.
//
// Invariants: each call gets exactly one final answer and has at most one attempt outstanding; when an
// attempt is cancelled, its office is notified before the decision module.
// Wire formats, sockets and JSON belong to the frontends and backends. The core never blocks on a peer.
// Thread safety: public functions may be called from any thread unless noted; only the core's thread accesses
// the call table. Source files: inbox (thread and timers), admit, route, send, relay and call_table.
#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "base/base.h"
#include "core/interfaces.h"
#include "core/recent_calls.h"
#include "core/request_memory.h"
#include "figures/figures.h"
#include "membership/roster.h"
#include "reeltack/controller.h"

namespace reeltack::core {

class Core {
 public:
  Core(const Settings& settings, std::uint64_t seed);
  ~Core();
  Core(const Core&) = delete;
  Core& operator=(const Core&) = delete;

  // Starts the core's thread; once. Releases of calls that predate this process go to `unknown_calls`, if
  // set.
  void start(OfficeBackend& backend, CallerFrontend* unknown_calls = nullptr);
  void stop();  // ends the core's thread

  // Bounds the memory of requests that are not answered yet; before the first request.
  void limit_request_memory(std::size_t bytes) { request_memory_.limit(bytes); }

  // For frontends.
  // False: there is no memory for it, and the frontend answers it as refused.
  bool request(Request request);
  // A frontend may end its own calls only.
  void cancel(CallId call, const CallerFrontend& frontend);            // the caller no longer waits
  void release(CallId call, const CallerFrontend& frontend);           // the caller ends an established call
  void query(CallId call, std::function<void(const Status&)> answer);  // `answer` runs on the core's thread
  // The offices at which calls are established or attempted; `answer` runs on the core's thread.
  void query_offices_in_use(std::function<void(std::set<ServerId>)> answer);
  void run_at(Time time, std::function<void()> task);  // on the core's thread, at `time` or soon after
  // For backends.
  // `connection`: on which the answer came.
  void office_answered(ServerId office, CallId call, std::string description,
                       ConnectionNumber connection = {});
  void office_released(OfficeRelease message);
  void load_reported(ServerId office, const LoadReport& report);
  void attempt_failed(CallId call, std::uint32_t attempt, AttemptOutcome outcome);
  void office_lost(ServerId office);  // drops every call established there
  // The process that answered on this connection has died: drops the calls established on it and on earlier
  // ones. They are released at the office as well, in case it has only forgotten the connection.
  void connection_lost(ServerId office, ConnectionNumber connection);
  void attempt_transmitted();                           // a set-up has begun to be written to its office
  void reachability_changed(ServerId office, bool up);  // the result of dialling it
  void update_offices(bool complete, std::vector<OfficeEntry> offices);

  void set_observer(OfficeObserver& observer) { observer_ = &observer; }  // before start()
  void set_admission_limits(AdmissionLimitsReceived limits);  // for the module; replaces all earlier limits

  void refuse_all();  // answers every open call at once; used when the time for shutting down is up

  [[nodiscard]] bool ready() const { return ready_; }                   // an office has been listed
  [[nodiscard]] std::size_t open_calls() const { return open_calls_; }  // without their final answer
  // Open or established calls. May count a call twice while it is being established.
  [[nodiscard]] std::size_t in_flight() const { return open_calls_ + established_calls_; }
  struct Counts {  // totals for supervision and tests
    std::atomic<std::uint64_t> requests{0}, established{0}, refused{0}, failed{0}, cancelled{0}, attempts{0},
        no_memory{0};
  };
  [[nodiscard]] const Counts& counts() const { return counts_; }
  // The settings in effect in the module, and the limit on attempts in effect in the core. They never change.
  [[nodiscard]] const Settings& active_settings() const { return controller_.settings(); }
  [[nodiscard]] std::uint32_t max_attempts() const { return settings_.attempts_cap; }
  // The operators' metrics; a request is counted as it ends.
  [[nodiscard]] const figures::Metrics& metrics() const { return metrics_; }

 private:
  struct Attempt {
    std::uint32_t number = 0;
    ServerId office{};
    Time sent_at{};
  };
  struct Timer {
    enum class Kind { module, attempt, deadline, task } kind{};
    std::uint64_t id = 0;  // the timer token or the call
    std::uint32_t attempt = 0;
    std::function<void()> task{};
  };
  struct Record {
    Request request;
    Time admitted_at{};
    Phase phase = Phase::open;
    FailureReason reason = FailureReason::none;
    std::uint32_t attempts = 0;
    std::optional<Attempt> pending;
    ServerId office{};              // where the call is established
    ConnectionNumber connection{};  // on which that office answered
    std::string answer;             // that office's description of the call
    std::optional<std::multimap<Time, Timer>::iterator> expiry_timer;
  };
  using Task = std::function<void()>;

  // inbox.cpp
  void post(Task task);
  void run();
  void run_due_timers();
  // admit.cpp
  void admit(Request request);
  // route.cpp
  void route();
  void execute(const Action& action);
  // send.cpp
  void send(const SendSetUp& action);
  void cancel_attempt(Record& record, AttemptOutcome outcome, bool call_ended);
  void end_attempt(CallId call, std::uint32_t attempt, AttemptOutcome outcome);
  // relay.cpp
  void relay_answer(ServerId office, CallId call, std::string description, ConnectionNumber connection);
  void relay_office_release(const OfficeRelease& message);
  void relay_established_end(Record& record, const OfficeRelease& message);
  void relay_release(CallId call, const CallerFrontend& frontend);
  void relay_cancel(CallId call, const CallerFrontend& frontend);
  // call_table.cpp
  Record* find(CallId call);
  void report_attempt_ended(const Record& record, const Attempt& attempt, AttemptOutcome outcome,
                            bool call_ended, const OfficeRelease* message = nullptr);
  void finish(Record& record, Phase phase, FailureReason reason, Duration retry_after);
  void end_established(Record& record);
  void retain_ended(Record& record);
  void erase_first_retained();
  void cancel_expiry_timer(Record& record);
  void drop_calls_at(ServerId office);
  void drop_calls_on(ServerId office, ConnectionNumber last);
  void drop_calls_before_restart(ServerId office);
  [[nodiscard]] std::vector<CallId> calls_at(ServerId office, ConnectionNumber last) const;
  [[nodiscard]] std::set<ServerId> offices_in_use() const;
  void drop_call(Record& record);
  void apply_list(bool complete, const std::vector<OfficeEntry>& offices);
  void count_established(const Record& record);
  void uncount_established(const Record& record);
  void report_earliest(ServerId office, ConnectionNumber earliest);
  void update_office_metrics();
  void notify_observer(ServerId office, OfficeObserver::OfficeObservation what) const;

  Controller controller_;
  Settings settings_;
  OfficeBackend* backend_ = nullptr;
  CallerFrontend* unknown_call_frontend_ = nullptr;
  OfficeObserver* observer_ = nullptr;
  Counts counts_;
  RequestMemory request_memory_;
  figures::Metrics metrics_;
  std::atomic<bool> ready_{false};
  std::atomic<std::size_t> open_calls_{0};
  std::atomic<std::size_t> established_calls_{0};

  std::mutex lock_;  // guards the inbox, asleep_ and stopping_
  std::condition_variable inbox_changed_;
  std::vector<Task> inbox_;
  bool asleep_ = false;  // the core waits and has not been woken yet
  bool stopping_ = false;

  // Accessed by the core's thread only.
  Time now_{};
  std::vector<Event> events_;
  ActionSink actions_;
  std::unordered_map<CallId, Record> calls_;
  std::multimap<Time, Timer> timers_;
  std::deque<std::pair<Time, CallId>> retained_;  // ended calls and when to erase their records
  RecentCalls recent_;                            // attempted, and erased before that time
  membership::Roster roster_;
  // The number of established calls by office, and by the connection on which it answered.
  std::map<ServerId, std::map<ConnectionNumber, int>> established_at_office_;
  std::map<ServerId, ConnectionNumber> earliest_reported_;  // to the backend
  base::Thread thread_;
};

}  // namespace reeltack::core
