// The bulletin: the platform's list of offices, as frames over TCP.
//
// Owns: the subscription, resumed after the last event that was taken.
// Must never: skip an event, take one twice, wait for ever on a connection that has gone silent, or let go of
// one that is merely slow before another speaks.
#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <random>

#include "core/office_list.h"
#include "membership/watch_pacing.h"
#include "net/buffers.h"

namespace reeltack::platform {

struct Frame {
  std::uint64_t number = 0;
  int kind = 0;  // 0 nothing new, 1 the whole list, 2 changes
  std::vector<core::OfficeEntry> offices;
};
// Takes one frame off the front; nothing: more bytes are needed. Throws std::runtime_error if malformed.
std::optional<Frame> parse_frame(std::string_view text, std::size_t& used);

class Bulletin {
 public:
  Bulletin(core::OfficeList& list, net::Address at, std::uint64_t last,
           membership::WatchBackoffSettings settings = {});
  ~Bulletin();
  // The platform has moved it: the old connection ends, and the new one resumes after the last event taken.
  void move_to(const net::Address& at);

 private:
  struct Connection {
    net::Fd fd;
    net::Buffer buffer;
    bool caught_up = false;  // it has said that nothing is newer than what was taken
  };
  enum class Ended { closed, silent };
  void run();
  std::shared_ptr<Connection> connect(const net::Address& to);
  Ended follow();
  bool slow_speaks();
  void follow_slow();
  bool take(Frame& frame);
  core::OfficeList& list_;
  // Of its own thread.
  std::uint64_t last_;
  membership::WatchBackoff pacing_;
  std::minstd_rand random_{std::random_device{}()};
  std::uniform_real_distribution<double> uniform_{0.0, 1.0};
  std::shared_ptr<Connection> slow_;  // silent for now, kept beside the one in use
  Time slow_until_{};
  std::mutex lock_;  // guards what follows
  net::Address at_;
  bool moved_ = false;
  std::condition_variable changed_;
  bool stopping_ = false;
  std::shared_ptr<Connection> current_;  // changed by its own thread alone
  net::Thread thread_;
};

}  // namespace reeltack::platform
