// The connection to one office: waiting, dialling, or up. While an open connection is quiet, a second one is
// dialled beside it to find out whether the office is reachable.
//
// A link holds the connection, the set-ups open on it and the releases owed to the office, and makes the last
// check before a set-up is written. Connections that it has left are read until their end, because an office
// sends what it owes on any open connection; for that reason a connection that may be up is never closed
// unread. A set-up that the core has given up is not sent.
//
// Threads: handle_event() runs on the loop of Offices; listed(), start(), give_up(), release() and keep() may
// be called from any thread, and write at once where possible. Nothing blocks. Times are absolute. Failures
// are reported to the core, never thrown.
#pragma once

#include <algorithm>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "core/core.h"
#include "membership/open_attempt.h"
#include "membership/pending_releases.h"
#include "membership/reachability.h"
#include "net/buffers.h"
#include "net/loop.h"

namespace reeltack::platform {

struct OfficeLine;

class OfficeLink final : public net::EventHandler, public std::enable_shared_from_this<OfficeLink> {
 public:
  OfficeLink(core::Core& core, net::Loop& loop, ServerId id, Duration dial_limit)
      : core_(core), loop_(loop), id_(id), dial_limit_(dial_limit) {}
  void begin();

  // Must not be called after the office was reported as gone: an office that returns under the id gets a new
  // link.
  void listed(const core::OfficeEntry& office);
  bool start(const core::SetUp& set_up, const std::string& class_name);  // false: the office has gone
  void give_up(CallId call, std::uint32_t attempt);
  void release(CallId call);
  void keep(bool calls_established);
  void earliest_connection_changed(core::ConnectionNumber earliest);  // of the calls established
  [[nodiscard]] core::ConnectionNumber last_before_restart();
  // Shutdown: no set-up is sent from now on, each connection is closed on our side once possible, and read
  // until the office has closed it too.
  void finish();
  [[nodiscard]] bool has_pending_releases();  // a release is queued and not yet written
  [[nodiscard]] bool finished();              // all input from the office is read, and no release is pending
  void handle_event(bool ready) override;

 private:
  // One connection. Writers share ownership, so that the descriptor is not reused while they write.
  struct Line {
    Line(net::Fd up, core::ConnectionNumber its_number, Time when_dialled)
        : fd(std::move(up)), number(its_number), dialled_at(when_dialled) {}
    void close() {
      closed_here = true;
      fd.shut();
    }
    net::Fd fd;
    net::Outbox outbox;
    const core::ConnectionNumber number;
    const Time dialled_at;
    std::atomic<bool> closed_here{false};  // by us, so that the office may still consider it open
  };
  // A connection no longer used: our direction is closed, and it is read until the office closes it, or
  // `until`.
  struct Leaving {
    std::shared_ptr<Line> line;
    net::Buffer buffer;
    bool unreachable = false;  // the office was, while it was silent; nothing has come on it since
    Time left_at{};
    Time until{};
    Time collect_at{};  // when another connection is opened for releases that may be lost on it
  };
  struct Open {
    core::SetUp set_up;
    std::string class_name;
    std::uint64_t tag;
    membership::OpenAttempt attempt;
  };
  void pump(const std::shared_ptr<Line>& line);
  bool may_leave(CallId call, std::uint32_t attempt, const Line* on, std::int64_t sent_ms, std::string& text);
  // The functions below require the lock; all but queue() and wake_if_due_earlier() run on the loop's thread.
  void queue(const std::shared_ptr<Line>& line, CallId call, Open& open);
  [[nodiscard]] Time dial_at() const {
    if (finishing_ && pending_releases_.empty()) return net::kNever;
    return std::max(reach_.dial_at(!open_.empty(), !pending_releases_.empty()), shortage_until_);
  }
  // When a second connection is dialled because the first is quiet.
  [[nodiscard]] Time quiet_check_at() const { return std::max(reach_.probe_at(), shortage_until_); }
  // When one is dialled for that reason, or because releases may have been lost.
  [[nodiscard]] Time second_dial_at() const {
    return finishing_ ? net::kNever : std::min(quiet_check_at(), std::max(collect_at(), shortage_until_));
  }
  void dial();
  void check_dial();
  void dialled(net::Dial how);
  void failed(net::Dial how);
  void host_shortage();
  void up(net::Fd fd);
  [[nodiscard]] bool leads_to_another_process(const core::OfficeEntry& office);
  [[nodiscard]] bool dialled_since(Time started_at) const;
  std::shared_ptr<Line> make_line(net::Fd fd);
  enum class Rest { unread, read };  // whether the office may have sent more on it
  void drop(Rest rest);
  void connection_ended();
  bool read();
  void take(std::string_view text);
  void take_answer(const OfficeLine& message);
  void take_end(const OfficeLine& message);
  // The line in use, at the end or because it was silent; or one that came up beside it.
  enum class Leaves { finished, silent, beside };
  void leave(std::shared_ptr<Line> line, net::Buffer buffer, Leaves which);
  [[nodiscard]] bool may_leave_line() const;
  [[nodiscard]] bool has_pending_releases_locked() const;  // requires the lock
  void leave_all();
  void evict(Time at);
  void drop_leaving();  // all connections being left
  void read_leaving();
  enum class RestRead { more, ended, malformed };
  RestRead read_rest(Leaving& from);
  void process_lost(core::ConnectionNumber connection);
  void handle_late_line(std::string_view text, core::ConnectionNumber connection);
  bool send_release(CallId call, std::string text);  // false: queued for the next connection
  void withdraw_unsent();
  void check_quiet();
  void quiet_checked(net::Dial how, Time at);
  void collected(net::Dial how);
  [[nodiscard]] Time collect_at() const;
  void forget(core::ConnectionNumber unread, Time collect_at);
  [[nodiscard]] Time next_collection(Time at) const;
  void end();
  void arm();
  void wake_if_due_earlier();

  core::Core& core_;
  net::Loop& loop_;
  const ServerId id_;
  const Duration dial_limit_;
  net::Loop::Id handler_id_ = 0;
  std::mutex lock_;  // guards the members below
  net::Address address_;
  membership::Reachability reach_;
  bool outdated_ = false;  // the connected process is reported as gone, moved or replaced
  bool ended_ = false;
  bool finishing_ = false;  // shutting down
  std::uint64_t tags_ = 0;
  std::uint64_t connections_ = 0;  // that have come up
  core::ConnectionNumber last_before_restart_ = core::kAnyConnection;
  std::map<CallId, Open> open_;
  std::vector<std::pair<CallId, std::string>> pending_releases_;  // releases for the next connection
  std::shared_ptr<Line> line_;
  membership::PendingReleases releases_;  // those sent on line_
  std::vector<Leaving> leaving_;
  net::Buffer buffer_;  // input of line_
  net::Fd dialling_;
  net::Address dialled_;
  net::Fd second_;           // second connection, beside a quiet one
  bool collecting_ = false;  // the second one is for releases that may be lost; the first is not quiet
  Time collect_again_at_ = net::kNever;   // set when a connection could not be read to its end
  core::ConnectionNumber forgotten_{};    // the latest connection that was not read to its end
  core::ConnectionNumber earliest_{};     // on which a call was answered that is still established
  Time dial_began_{};                     // of either dial
  Time dial_by_{};                        // deadline of either dial
  Time shortage_until_{};                 // no dial before, after a shortage on this host
  Time shortage_deadline_ = net::kNever;  // when waiting set-ups are returned unsent
  Time event_by_{};                       // an event comes by then; in the past: unknown
};

}  // namespace reeltack::platform
