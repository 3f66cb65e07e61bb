// Bulletin client: subscribes to the platform's list of offices, sent as frames over TCP.
//
// The subscription resumes after the last event applied, so no event is skipped or applied twice. A
// connection that has gone silent is replaced; it is held beside its replacement for a time, since it may
// only be slow, and is dropped once another one delivers a frame.
//
// Threads: the client runs on a thread of its own; move_to() may be called from any.
#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <random>

#include "core/office_list.h"
#include "membership/watch_backoff.h"
#include "net/buffers.h"

namespace reeltack::platform {

struct Frame {
  std::uint64_t number = 0;
  int kind = 0;  // 0: nothing new, 1: the complete list, 2: changes
  std::vector<core::OfficeEntry> offices;
};
// Parses one frame at the start of `text`; nothing: more bytes are needed. `used` is its length. Throws
// std::runtime_error if malformed.
std::optional<Frame> parse_frame(std::string_view text, std::size_t& used);

class Bulletin {
 public:
  Bulletin(core::OfficeList& list, net::Address at, std::uint64_t last,
           membership::WatchBackoffSettings settings = {});
  ~Bulletin();
  // The platform has moved the bulletin: the old connection ends, and the new one resumes after the last
  // event.
  void move_to(const net::Address& at);

 private:
  struct Connection {
    net::Fd fd;
    net::Buffer buffer;
    bool caught_up = false;  // it has reported that no newer event exists
  };
  enum class FollowEnd { closed, silent };
  void run();
  std::shared_ptr<Connection> connect(const net::Address& to);
  FollowEnd follow();
  bool slow_has_frame();
  void switch_to_slow();
  bool take(Frame& frame);
  core::OfficeList& list_;
  // Used on the client's own thread only.
  std::uint64_t last_;
  membership::WatchBackoff backoff_;
  std::minstd_rand random_{std::random_device{}()};
  std::uniform_real_distribution<double> uniform_{0.0, 1.0};
  std::shared_ptr<Connection> slow_;  // silent connection, held beside the one in use
  Time slow_deadline_{};
  std::mutex lock_;  // guards the members below
  net::Address at_;
  bool moved_ = false;
  std::condition_variable changed_;
  bool stopping_ = false;
  std::shared_ptr<Connection> current_;  // written by the client's own thread only
  net::Thread thread_;
};

}  // namespace reeltack::platform
