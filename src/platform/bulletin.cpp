#include "platform/bulletin.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace reeltack::platform {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kRecord = 27;
// While a connection comes up it is looked at so often, first and at most.
constexpr Duration kFirstLook = 1ms;
constexpr Duration kLook = 10ms;
constexpr Duration kLookAtSlow = 25ms;  // the silent connection, beside the one in use

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
  if (out.kind > 2 || payload.size() % kRecord != 0 || (out.kind == 0 && !payload.empty()))
    throw std::runtime_error("a malformed frame");
  for (std::size_t at = 0; at < payload.size(); at += kRecord)
    out.offices.push_back(read_record(payload.substr(at, kRecord)));
  used = 4 + length;
  return out;
}

Bulletin::Bulletin(core::OfficeList& list, net::Address at, std::uint64_t last,
                   membership::WatchBackoffSettings settings)
    : list_(list), last_(last), pacing_(settings), at_(std::move(at)), thread_([this] { run(); }) {}

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
  list_.numbered(last_);  // what the configuration held
  for (;;) {
    net::Address to;
    {
      const std::lock_guard hold(lock_);
      if (stopping_) return;
      if (moved_) slow_.reset();  // the old one must not be followed
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
    const Ended how = current_ ? follow() : Ended::closed;
    list_.live(false);
    pacing_.failed();
    std::unique_lock hold(lock_);
    // It may be slow and not dead: the oldest one is kept until it speaks, or has had its time.
    if (how == Ended::silent && !slow_) {
      slow_ = current_;
      slow_until_ = net::now() + pacing_.settings().slow;
    }
    current_.reset();
    changed_.wait_for(hold, pacing_.pause(uniform_(random_)), [this] { return stopping_ || moved_; });
  }
}

// Nothing: it has not come up, or there is nothing to wait for any more.
std::shared_ptr<Bulletin::Connection> Bulletin::connect(const net::Address& to) {
  net::Dial how = net::Dial::failed;
  auto fresh = std::make_shared<Connection>();
  fresh->fd = net::begin_dial(to, how);
  const Time by = net::now() + pacing_.connect_timeout();
  for (Duration look = kFirstLook; how == net::Dial::pending; look = std::min(2 * look, kLook)) {
    {
      std::unique_lock hold(lock_);
      if (changed_.wait_for(hold, look, [this] { return stopping_ || moved_; })) return nullptr;
    }
    if (slow_speaks()) return std::exchange(slow_, nullptr);
    how = net::dial_state(fresh->fd);
    if (how == net::Dial::pending && net::now() >= by) {
      pacing_.connect_timed_out();
      return nullptr;
    }
  }
  if (how != net::Dial::up) return nullptr;
  pacing_.connect_succeeded();
  std::string greeting;
  for (int shift = 56; shift >= 0; shift -= 8)
    greeting += static_cast<char>(last_ >> static_cast<unsigned>(shift));
  return net::write_all(fresh->fd, greeting) ? fresh : nullptr;
}

// The silent connection holds a whole frame by now. It is let go once it has ended or its time is over.
bool Bulletin::slow_speaks() {
  if (!slow_) return false;
  std::size_t used = 0;
  try {
    const net::ReadResult got = slow_->buffer.fill_now(slow_->fd);
    if (parse_frame(slow_->buffer.view(), used)) return true;
    if (got != net::ReadResult::closed && net::now() < slow_until_) return false;
  } catch (const std::runtime_error& error) {
    net::log_line(std::string("bulletin: ") + error.what() + "; it was slow, and is let go");
  }
  slow_.reset();
  return false;
}

void Bulletin::follow_slow() {
  const std::lock_guard hold(lock_);
  current_ = std::exchange(slow_, nullptr);
  if (stopping_ || moved_) current_->fd.shut();
}

Bulletin::Ended Bulletin::follow() {
  Time silent = net::now() + pacing_.settings().silence;
  try {
    for (;;) {
      std::size_t used = 0;
      std::optional<Frame> frame = parse_frame(current_->buffer.view(), used);
      if (frame) {
        current_->buffer.take(used);
        silent = net::now() + pacing_.settings().silence;
        pacing_.heard();
        slow_.reset();
        if (!take(*frame)) return Ended::closed;
        continue;
      }
      if (slow_speaks()) {
        follow_slow();
        continue;
      }
      const Time by = slow_ ? std::min(silent, net::now() + kLookAtSlow) : silent;
      const net::ReadResult got = current_->buffer.fill(current_->fd, by);
      if (got == net::ReadResult::closed) return Ended::closed;
      if (got == net::ReadResult::no_data && net::now() >= silent) return Ended::silent;
    }
  } catch (const std::runtime_error& error) {
    net::log_line(std::string("bulletin: ") + error.what() + "; connecting anew");
    return Ended::closed;
  }
}

// False: its events are asked for from the first on.
bool Bulletin::take(Frame& frame) {
  // Its numbers went back: it has begun anew, and is asked from its first event on. Where members share their
  // lists alone; the platform's own bulletin counts on for as long as a controller runs.
  if (frame.kind == 0 && frame.number > 0 && frame.number < last_ && list_.governed()) {
    net::log_line("bulletin: it has begun anew, from " + std::to_string(last_) + " to " +
                  std::to_string(frame.number));
    last_ = 0;
    list_.restarted();
    return false;
  }
  if (frame.kind == 0) list_.caught_up();
  if (frame.number <= last_) list_.live(true);  // nothing is newer
  // On this connection nothing is untold any more, and what comes from now on is told as it happens.
  current_->caught_up = current_->caught_up || (frame.kind == 0 && frame.number <= last_);
  if (current_->caught_up) list_.followed();
  // An event told twice must not undo what has come since.
  if (frame.kind == 0 || frame.number <= last_) return true;
  last_ = frame.number;
  list_.numbered(last_);
  list_.told(core::Source::platform, frame.kind == 1, std::move(frame.offices));
  list_.live(true);
  return true;
}

}  // namespace reeltack::platform
