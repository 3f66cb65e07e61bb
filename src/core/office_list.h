// Merges the offices listed by all sources (bulletin, zone, registered centrales, trunk) into the core's
// list.
//
// Records which source listed which office, so that a complete list from one source does not remove another's
// offices, and routes actions to the backend of each office. Fills in since when each office's process runs
// (`started_at`) from its reported start.
//
// An office is never listed unless a source has listed it, whatever an arbiter decides: an arbiter can
// withhold an office of the platform's, but an office that the platform's list does not name, or names as
// draining, receives nothing, and no address counts but the list's. Before the first list of the platform the
// arbiter's decisions pass as they are.
//
// Thread safety: OfficeList may be used from any thread; OfficeRouter is set up before the core starts.
#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>

#include "base/wall_clock.h"
#include "clocks/start_times.h"
#include "core/core.h"

namespace reeltack::core {

enum class Source { platform, zone, registered, trunk };

// Decides which of the platform's offices count as ready where other controllers know of them too.
class ListArbiter {
 public:
  virtual ~ListArbiter() = default;
  // The offices that the platform has listed; called on the thread that received them; must not block or call
  // back. `live`: the platform's list is being followed; else the offices are those of the configuration, or
  // of a list that is still being received. Offices missing from a complete list are not reported as gone.
  virtual void listed(bool live, bool complete, const std::vector<OfficeEntry>& offices) = 0;
  // The number of the list that the next calls of listed() belong to. Within one run of the source, the
  // higher number is newer.
  virtual void set_list_number(std::uint64_t /*number*/) {}
  virtual void source_restarted() {}  // what follows is the list of another run of the source
  virtual void source_caught_up() {}  // the source has sent all that it has
  virtual void source_lost() = 0;     // the source is not followed for now
};

class OfficeList {
 public:
  using ReadClocks = std::function<clocks::ClockReading()>;
  // Construct at program start: ages of starts are derived from the wall clock of that moment, among others.
  explicit OfficeList(Core& core, ReadClocks read_clocks = base::read_clocks)
      : core_(core), read_clocks_(std::move(read_clocks)), start_times_(read_clocks_()) {}
  // With an arbiter, offices that the platform lists as draining or gone, or no longer lists, still pass at
  // once, but ready ones only by apply_decision(). Before the first update().
  void set_list_arbiter(ListArbiter& arbiter) { arbiter_ = &arbiter; }
  // Called by the arbiter with the states that these offices are to have; the platform's list limits them.
  void apply_decision(std::vector<OfficeEntry> offices);
  // The number of the platform's list that the next updates belong to; of two lists the higher is newer.
  void set_list_number(std::uint64_t number);
  // The platform's source numbers its lists from 1 again. Its list is followed again once it has caught up;
  // offices that it has not listed by then are no longer on it. Has an effect with an arbiter only.
  void source_restarted();
  // The platform's source has sent everything; from now on its list is followed.
  void source_caught_up();
  [[nodiscard]] bool has_arbiter() const { return arbiter_ != nullptr; }
  // Whether the platform's list is followed: then everything on it is current.
  void set_followed(bool followed);
  // The platform's source has sent everything up to this moment.
  void confirm_current();
  void update(Source source, bool complete, std::vector<OfficeEntry> offices);
  [[nodiscard]] bool listed_by_other_source(Source source, ServerId office);
  // Core::query_offices_in_use.
  void query_offices_in_use(std::function<void(std::set<ServerId>)> answer) {
    core_.query_offices_in_use(std::move(answer));
  }

 private:
  void change_followed(bool followed);
  void fill_started_at(clocks::StartTimes::Origin origin, std::vector<OfficeEntry>& offices);
  [[nodiscard]] const OfficeEntry* named_by_platform(ServerId office) const;
  [[nodiscard]] bool passed_as_ready(ServerId office) const;
  [[nodiscard]] bool is_listed_by_other(Source source, ServerId office) const;
  [[nodiscard]] std::optional<OfficeEntry> limit(const OfficeEntry& decision) const;
  void pass_platform_list(bool complete, const std::vector<OfficeEntry>& offices);
  void withdraw_unlisted(std::vector<OfficeEntry>& changes) const;
  void pass_on(std::vector<OfficeEntry> changes);

  Core& core_;
  const ReadClocks read_clocks_;
  std::mutex lock_;  // guards what follows
  clocks::StartTimes start_times_;
  ListArbiter* arbiter_ = nullptr;
  bool followed_ = false;
  std::map<Source, std::map<ServerId, OfficeEntry>> listed_;
  // Offices of the platform's source that it has not listed again since its restart; empty once it caught up.
  std::set<ServerId> unconfirmed_;
  // With an arbiter: whether the platform has sent a list, the last decision on each office that is not gone,
  // and what was passed to the core.
  bool platform_listed_ = false;
  std::map<ServerId, OfficeEntry> decided_, passed_;
};

// Routes each action to the backend that claims the office, else to the default one, which dials offices.
class OfficeRouter final : public OfficeBackend {
 public:
  using Owns = std::function<bool(ServerId)>;
  explicit OfficeRouter(OfficeBackend& default_backend) : default_backend_(default_backend) {}
  void add(OfficeBackend& backend, Owns owns) {
    routes_.push_back({&backend, std::move(owns)});
  }  // before the core starts
  void listed(bool complete, const std::vector<OfficeEntry>& offices) override;
  void start(const SetUp& set_up) override { backend_of(set_up.office).start(set_up); }
  void cancel(ServerId office, CallId call, std::uint32_t attempt) override {
    backend_of(office).cancel(office, call, attempt);
  }
  void release(ServerId office, CallId call) override { backend_of(office).release(office, call); }
  void keep_connection(ServerId office, bool calls_established) override {
    backend_of(office).keep_connection(office, calls_established);
  }
  void earliest_connection_changed(ServerId office, ConnectionNumber earliest) override {
    backend_of(office).earliest_connection_changed(office, earliest);
  }
  ConnectionNumber last_before_restart(ServerId office) override {
    return backend_of(office).last_before_restart(office);
  }

 private:
  struct Route {
    OfficeBackend* backend;
    Owns owns;
  };
  OfficeBackend& backend_of(ServerId office);
  OfficeBackend& default_backend_;
  std::vector<Route> routes_;
};

}  // namespace reeltack::core
