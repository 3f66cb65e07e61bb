#include "platform/bulletin.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace reeltack::platform {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kRecordBytes = 27;
// Poll interval of a pending dial: the first, doubled up to the maximum.
constexpr Duration kFirstDialPoll = 1ms;
constexpr Duration kMaxDialPoll = 10ms;
constexpr Duration kSlowPoll = 25ms;  // interval at which the silent connection is polled

core::OfficeEntry read_record(std::string_view r) {
  core::OfficeEntry out;
  out.entry.server = ServerId{static_cast<std::uint32_t>(net::big_endian(r, 0, 4))};
  for (std::size_t i = 4; i < 8; ++i)
    out.address += (i > 4 ? "." : "") + std::to_string(net::big_endian(r, i, 1));
  out.address += ":" + std::to_string(net::big_endian(r, 8, 2));
  const std::uint64_t state = net::big_endian(r, 10, 1);
  if (state > 2) throw std::runtime_error("a state that the protocol does not name");
  out.entry.state = state == 0 ? ServerState::ready : state == 1 ? ServerState::draining : ServerState::gone;
  out.entry.place = static_cast<std::uint32_t>(net::big_endian(r, 13, 2));
  out.entry.capacity = static_cast<double>(net::big_endian(r, 15, 4)) / 1000.0;
  out.entry.start = StartId{net::big_endian(r, 19, 8) & 0xffffffffffffULL};
  return out;
}

}  // namespace

std::optional<Frame> parse_frame(std::string_view text, std::size_t& used) {
  used = 0;
  if (text.size() < 4) return std::nullopt;
  const std::uint64_t length = net::big_endian(text, 0, 4);
  if (length < 9 || length > net::kMaxInputMessageBytes)
    throw std::runtime_error("a frame of " + std::to_string(length) + " bytes");
  if (text.size() < 4 + length) return std::nullopt;
  Frame out;
  out.number = net::big_endian(text, 4, 8);
  out.kind = static_cast<int>(net::big_endian(text, 12, 1));
  const std::string_view payload = text.substr(13, length - 9);
  if (out.kind > 2 || payload.size() % kRecordBytes != 0 || (out.kind == 0 && !payload.empty()))
    throw std::runtime_error("a malformed frame");
  for (std::size_t at = 0; at < payload.size(); at += kRecordBytes)
    out.offices.push_back(read_record(payload.substr(at, kRecordBytes)));
  used = 4 + length;
  return out;
}

Bulletin::Bulletin(core::OfficeList& list, net::Address at, std::uint64_t last,
                   membership::WatchBackoffSettings settings)
    : list_(list), last_(last), backoff_(settings), at_(std::move(at)), thread_([this] { run(); }) {}

Bulletin::~Bulletin() {
  {
    const std::lock_guard hold(lock_);
    stopping_ = true;
    if (current_) current_->fd.shut();
    changed_.notify_all();
  }
  thread_.join();
}

void Bulletin::move_to(const net::Address& at) {
  const std::lock_guard hold(lock_);
  if (net::to_text(at) == net::to_text(at_)) return;
  at_ = at;
  moved_ = true;
  if (current_) current_->fd.shut();
  changed_.notify_all();
}

void Bulletin::run() {
  list_.set_list_number(last_);  // the number stored with the configuration
  for (;;) {
    net::Address to;
    {
      const std::lock_guard hold(lock_);
      if (stopping_) return;
      if (moved_) slow_.reset();  // the old address must not be followed
      moved_ = false;
      to = at_;
    }
    std::shared_ptr<Connection> fresh = connect(to);
    {
      const std::lock_guard hold(lock_);
      if (stopping_) return;
      if (moved_) continue;
      current_ = std::move(fresh);
    }
    const FollowEnd how = current_ ? follow() : FollowEnd::closed;
    list_.set_followed(false);
    backoff_.failed();
    std::unique_lock hold(lock_);
    // It may be slow and not dead: the oldest one is held until it delivers a frame or its time is up.
    if (how == FollowEnd::silent && !slow_) {
      slow_ = current_;
      slow_deadline_ = net::now() + backoff_.settings().overlap;
    }
    current_.reset();
    changed_.wait_for(hold, backoff_.pause(uniform_(random_)), [this] { return stopping_ || moved_; });
  }
}

// Null: the connection was not established, or the client is stopping or was moved.
std::shared_ptr<Bulletin::Connection> Bulletin::connect(const net::Address& to) {
  net::Dial how = net::Dial::failed;
  auto fresh = std::make_shared<Connection>();
  fresh->fd = net::begin_dial(to, how);
  const Time by = net::now() + backoff_.connect_timeout();
  for (Duration poll_interval = kFirstDialPoll; how == net::Dial::pending;
       poll_interval = std::min(2 * poll_interval, kMaxDialPoll)) {
    {
      std::unique_lock hold(lock_);
      if (changed_.wait_for(hold, poll_interval, [this] { return stopping_ || moved_; })) return nullptr;
    }
    if (slow_has_frame()) return std::exchange(slow_, nullptr);
    how = net::dial_state(fresh->fd);
    if (how == net::Dial::pending && net::now() >= by) {
      backoff_.connect_timed_out();
      return nullptr;
    }
  }
  if (how != net::Dial::up) return nullptr;
  backoff_.connect_succeeded();
  std::string greeting;
  for (int shift = 56; shift >= 0; shift -= 8)
    greeting += static_cast<char>(last_ >> static_cast<unsigned>(shift));
  return net::write_all(fresh->fd, greeting) ? fresh : nullptr;
}

// Whether the silent connection has delivered a complete frame. It is dropped once it ends or its time is up.
bool Bulletin::slow_has_frame() {
  if (!slow_) return false;
  std::size_t used = 0;
  try {
    const net::ReadResult got = slow_->buffer.fill_now(slow_->fd);
    if (parse_frame(slow_->buffer.view(), used)) return true;
    if (got != net::ReadResult::closed && net::now() < slow_deadline_) return false;
  } catch (const std::runtime_error& error) {
    net::log_line(std::string("bulletin: ") + error.what() + "; dropping the slow connection");
  }
  slow_.reset();
  return false;
}

void Bulletin::switch_to_slow() {
  const std::lock_guard hold(lock_);
  current_ = std::exchange(slow_, nullptr);
  if (stopping_ || moved_) current_->fd.shut();
}

Bulletin::FollowEnd Bulletin::follow() {
  Time silent = net::now() + backoff_.settings().silence;
  try {
    for (;;) {
      std::size_t used = 0;
      std::optional<Frame> frame = parse_frame(current_->buffer.view(), used);
      if (frame) {
        current_->buffer.take(used);
        silent = net::now() + backoff_.settings().silence;
        backoff_.frame_received();
        slow_.reset();
        if (!take(*frame)) return FollowEnd::closed;
        continue;
      }
      if (slow_has_frame()) {
        switch_to_slow();
        continue;
      }
      const Time by = slow_ ? std::min(silent, net::now() + kSlowPoll) : silent;
      const net::ReadResult got = current_->buffer.fill(current_->fd, by);
      if (got == net::ReadResult::closed) return FollowEnd::closed;
      if (got == net::ReadResult::no_data && net::now() >= silent) return FollowEnd::silent;
    }
  } catch (const std::runtime_error& error) {
    net::log_line(std::string("bulletin: ") + error.what() + "; reconnecting");
    return FollowEnd::closed;
  }
}

// False: reconnect, and request the events from the first on.
bool Bulletin::take(Frame& frame) {
  // Its numbers went back: it has restarted, and is read from its first event on. Done only where members
  // share their lists; the platform's own bulletin keeps counting for as long as a controller runs.
  if (frame.kind == 0 && frame.number > 0 && frame.number < last_ && list_.has_arbiter()) {
    net::log_line("bulletin: restarted, from event " + std::to_string(last_) + " to " +
                  std::to_string(frame.number));
    last_ = 0;
    list_.source_restarted();
    return false;
  }
  if (frame.kind == 0) list_.source_caught_up();
  if (frame.number <= last_) list_.set_followed(true);  // no newer event exists
  // This connection has delivered every event so far, and delivers new ones as they happen.
  current_->caught_up = current_->caught_up || (frame.kind == 0 && frame.number <= last_);
  if (current_->caught_up) list_.confirm_current();
  // An event that is received twice must not undo later ones.
  if (frame.kind == 0 || frame.number <= last_) return true;
  last_ = frame.number;
  list_.set_list_number(last_);
  list_.update(core::Source::platform, frame.kind == 1, std::move(frame.offices));
  list_.set_followed(true);
  return true;
}

}  // namespace reeltack::platform
