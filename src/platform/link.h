// The link to one office: waiting, dialling, or up; where an open connection has gone quiet, a second one is
// dialled beside it.
//
// Owns: its connection, what of ours is open on it, the releases owed to the office, and the last check
// before a
//   set-up leaves. Connections that it has left, until what the office had sent on them is read.
// Must never: choose an office, test one (ECHO), keep a set-up that the core has given up, or block. Close a
//   connection that may be up without reading it to its end: an office sends what it owes on any open one.
//
// Threads: turn() runs on the offices' loop; listed(), start(), give_up(), release() and keep() may come from
// any, and write at once where they can. Times are absolute. What fails is told to the core, never thrown.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "core/core.h"
#include "membership/reach.h"
#include "membership/releases.h"
#include "net/buffers.h"
#include "net/loop.h"

namespace reeltack::platform {

class OfficeLink final : public net::EventHandler, public std::enable_shared_from_this<OfficeLink> {
 public:
  OfficeLink(core::Core& core, net::Loop& loop, ServerId id, Duration dial_limit)
      : core_(core), loop_(loop), id_(id), dial_limit_(dial_limit) {}
  void begin();

  // Not again after it was told as gone: what comes back under the id gets a new link.
  void listed(const core::OfficeEntry& office);
  bool start(const core::SetUp& set_up, const std::string& class_name);  // false: the office has gone
  void give_up(CallId call, std::uint32_t attempt);
  void release(CallId call);
  void keep(bool calls_established);
  // The program ends: no set-up is sent from now on, each connection is closed on our side once it may be,
  // and read until the office has closed it too.
  void finish();
  [[nodiscard]] bool owes();      // a release waits to be written
  [[nodiscard]] bool finished();  // all that the office had sent is read, and nothing is owed to it
  void handle_event(bool ready) override;

 private:
  // One connection. Kept by whoever writes to it, so that its descriptor is not another's meanwhile.
  struct Line {
    explicit Line(net::Fd up) : fd(std::move(up)) {}
    net::Fd fd;
    net::Outbox outbox;
  };
  // One that is used no more: our way is closed, and the office's is read until it closes too, or `until`.
  struct Leaving {
    std::shared_ptr<Line> line;
    net::Buffer buffer;
    Time left_at{};
    Time until{};
    Time collect_at{};  // what may be lost on it is collected by another connection then
  };
  struct Open {
    core::SetUp set_up;
    std::string class_name;
    std::uint64_t tag = 0;
    bool left = false;
    bool follows_give_up = false;  // an attempt of the same call was given up here, perhaps not read yet
  };
  void pump(const std::shared_ptr<Line>& line);
  bool may_leave(CallId call, std::uint32_t attempt, const Line* on, std::int64_t told_ms, std::string& text);
  // What follows, with the lock held; on the loop's thread but for queue() and look_in_time().
  void queue(const std::shared_ptr<Line>& line, CallId call, Open& open);
  [[nodiscard]] Time dial_at() const {
    if (finishing_ && owed_.empty()) return net::kNever;
    return std::max(reach_.dial_at(!open_.empty(), !owed_.empty()), room_at_);
  }
  // When a connection that has gone quiet is asked for by a second one.
  [[nodiscard]] Time ask_at() const { return std::max(reach_.ask_at(), room_at_); }
  // When a second connection is dialled beside the open one, for that or for releases that may be lost.
  [[nodiscard]] Time second_dial_at() const {
    return finishing_ ? net::kNever : std::min(ask_at(), std::max(collect_at(), room_at_));
  }
  void dial();
  void look_at_dial();
  void dialled(net::Dial how);
  void failed(net::Dial how);
  void no_room();
  void up(net::Fd fd);
  enum class Rest { unread, read };  // what the office may still have sent on it
  void drop(Rest rest);
  bool read();
  void take(std::string_view text);
  // The line that was in use, or one that came up beside it.
  enum class Leaves { used, beside };
  void leave(std::shared_ptr<Line> line, net::Buffer buffer, Leaves which);
  [[nodiscard]] bool may_leave_line() const;
  [[nodiscard]] bool owes_now() const;  // owes(), with the lock held
  void leave_all();
  void evict(Time at);
  void let_go();  // of all that is being left
  void read_leaving();
  enum class RestRead { more, ended, spoilt };
  RestRead read_rest(Leaving& from);
  void take_late(std::string_view text);
  bool tell_over(CallId call, std::string text);  // false: it is owed to the next connection
  void withdraw_unsent();
  void ask_if_there();
  void asked(net::Dial how, Time at);
  void collected(net::Dial how);
  [[nodiscard]] Time collect_at() const;
  void end();
  void arm();
  void look_in_time();

  core::Core& core_;
  net::Loop& loop_;
  const ServerId id_;
  const Duration dial_limit_;
  net::Loop::Id watch_ = 0;
  std::mutex lock_;  // guards what follows
  net::Address address_;
  membership::Reachability reach_;
  bool outdated_ = false;  // the connection is to a process that is told as gone, moved or started anew
  bool ended_ = false;
  bool finishing_ = false;  // the program ends
  std::uint64_t tags_ = 0;
  std::map<CallId, Open> open_;
  std::vector<std::pair<CallId, std::string>> owed_;  // releases for the next connection
  std::shared_ptr<Line> line_;
  membership::Releases releases_;  // that went on the line
  std::vector<Leaving> leaving_;
  net::Buffer buffer_;  // of the line
  net::Fd dialling_;
  net::Address dialled_;
  net::Fd asking_;                      // a second connection, beside one that has gone quiet
  bool collecting_ = false;             // it is for releases that may be lost, and the first one is not quiet
  Time collect_once_at_ = net::kNever;  // a connection could not be read to its end
  Time dial_by_{};                      // for either
  Time room_at_{};                      // after a dial for which this host had no room: not again before
  Time room_by_ = net::kNever;          // and by when what waits for it is given back unsent
  Time turn_by_{};                      // a turn comes by then; in the past: nothing is known
};

}  // namespace reeltack::platform
