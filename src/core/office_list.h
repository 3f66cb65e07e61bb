// The one list of offices, whoever tells of them: bulletin, zone, or centrales that register.
//
// Owns: which source named which office, so that a complete list from one does not remove another's; and
//   which side speaks to it. Since when each endpoint's process runs (`started_at`), from the start told.
// Must never: name an office that no source named.
#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <set>

#include "base/wall_clock.h"
#include "clocks/start_times.h"
#include "core/core.h"

namespace reeltack::core {

enum class Source { platform, zone, registered, trunk };

// Decides which of the platform's offices are taken as ready, where others know of them too.
class ListArbiter {
 public:
  virtual ~ListArbiter() = default;
  // From the thread that heard it; must not block or call back. What the platform named: `live` once its list
  // is followed, else it is what the configuration held. What a whole list leaves out isn't called gone: the
  // governor says what becomes of it, since others may follow a list that names it.
  virtual void listed(bool live, bool complete, const std::vector<OfficeEntry>& offices) = 0;
  // The number of the list that listed() tells of from now on; of two of one life of the source the higher is
  // newer.
  virtual void numbered(std::uint64_t /*number*/) {}
  virtual void restarted() {}  // the source: what comes next is a list of another life of it
  virtual void caught_up() {}  // it has told all that it has
  virtual void silent() = 0;   // it is followed no longer, for now
};

class OfficeList {
 public:
  using ReadClocks = std::function<clocks::Reading()>;
  // Made as the program starts: the wall clock of that moment is one of those that ages are taken by.
  explicit OfficeList(Core& core, ReadClocks read_clocks = base::read_clocks)
      : core_(core), read_clocks_(std::move(read_clocks)), start_times_(read_clocks_()) {}
  // From then on what the platform names as draining or gone still passes at once, what it names as ready
  // only by settled(). Before the first told().
  void set_list_arbiter(ListArbiter& governor) { governor_ = &governor; }
  // By the governor: what is to hold of these. One that the platform has named as draining or gone since,
  // under this start or a later one, isn't revived.
  void settled(std::vector<OfficeEntry> offices);
  // The number of the platform's list that what is told next belongs to; of two lists the higher is newer.
  void numbered(std::uint64_t number);
  // The platform's source has begun anew from 1; its list is followed again once it has caught up, and what
  // it has not named by then is on it no longer. Governed alone.
  void restarted();
  // The platform's source has nothing newer: its list is followed.
  void caught_up();
  [[nodiscard]] bool governed() const { return governor_ != nullptr; }
  // Whether the platform's list is followed now: then all that it has named holds at this moment.
  void live(bool followed);
  // The platform's source has told all that it has, up to this moment.
  void followed();
  void told(Source source, bool complete, std::vector<OfficeEntry> offices);
  [[nodiscard]] bool listed_by_other_source(Source source, ServerId office);

 private:
  void follow(bool followed);
  void fill_started(clocks::StartTimes::From from, std::vector<OfficeEntry>& offices);

  Core& core_;
  const ReadClocks read_clocks_;
  std::mutex lock_;  // guards what follows
  clocks::StartTimes start_times_;
  ListArbiter* governor_ = nullptr;
  bool live_ = false;
  std::map<Source, std::map<ServerId, OfficeEntry>> named_;
  std::set<ServerId> unnamed_;             // by the platform's source since it began anew, until it caught up
  std::map<ServerId, OfficeEntry> ended_;  // governed: as the platform last named it, draining or gone
};

// Sends each action to the side that the office belongs to: one that claims it, else the one that dials.
class OfficeRouter final : public OfficeBackend {
 public:
  using Owns = std::function<bool(ServerId)>;
  explicit OfficeRouter(OfficeBackend& dialled) : dialled_(dialled) {}
  void add(OfficeBackend& side, Owns owns) {
    sides_.push_back({&side, std::move(owns)});
  }  // before the core starts
  void listed(bool complete, const std::vector<OfficeEntry>& offices) override;
  void start(const SetUp& set_up) override { side(set_up.office).start(set_up); }
  void give_up(ServerId office, CallId call, std::uint32_t attempt) override {
    side(office).give_up(office, call, attempt);
  }
  void release(ServerId office, CallId call) override { side(office).release(office, call); }
  void keep(ServerId office, bool calls_established) override {
    side(office).keep(office, calls_established);
  }

 private:
  struct Side {
    OfficeBackend* side;
    Owns owns;
  };
  OfficeBackend& side(ServerId office);
  OfficeBackend& dialled_;
  std::vector<Side> sides_;
};

}  // namespace reeltack::core
