#include "platform/bulletin.h"

#include <stdexcept>

namespace reeltack::platform {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kRecord = 27;
// A whole frame comes each second; without one for so long the connection is dead, whatever trickles in. What
// it would have told counts as told 4 s after it stopped, so that a new one must be up well before.
constexpr Duration kSilence = 1800ms;
constexpr Duration kDialLimit = 500ms;
constexpr Duration kAgain = 150ms;

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
  if (length < 9 || length > net::kMostMessage)
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

Bulletin::Bulletin(core::OfficeList& list, net::Address at, std::uint64_t last)
    : list_(list), last_(last), at_(std::move(at)), thread_([this] { run(); }) {}

Bulletin::~Bulletin() {
  {
    const std::lock_guard hold(lock_);
    stopping_ = true;
    fd_.shut();
    changed_.notify_all();
  }
  thread_.join();
}

void Bulletin::move_to(const net::Address& at) {
  const std::lock_guard hold(lock_);
  if (net::to_text(at) == net::to_text(at_)) return;
  at_ = at;
  moved_ = true;
  fd_.shut();
  changed_.notify_all();
}

void Bulletin::run() {
  list_.numbered(last_);  // what the configuration held
  for (;;) {
    net::Address to;
    {
      const std::lock_guard hold(lock_);
      if (stopping_) return;
      moved_ = false;
      to = at_;
    }
    net::Dialled dialled = net::dial(to, net::now() + kDialLimit);
    {
      const std::lock_guard hold(lock_);
      if (stopping_) return;
      if (moved_) continue;  // while it was dialled: the old one must not be followed
      fd_ = std::move(dialled.fd);
    }
    if (dialled.how == net::Dial::up) follow(fd_);
    list_.live(false);
    std::unique_lock hold(lock_);
    fd_.reset();
    changed_.wait_for(hold, kAgain, [this] { return stopping_ || moved_; });
  }
}

void Bulletin::follow(const net::Fd& fd) {
  std::string greeting;
  for (int shift = 56; shift >= 0; shift -= 8)
    greeting += static_cast<char>(last_ >> static_cast<unsigned>(shift));
  if (!net::write_all(fd, greeting)) return;
  net::Buffer buffer;
  Time silent = net::now() + kSilence;
  bool current = false;
  try {
    for (;;) {
      std::size_t used = 0;
      std::optional<Frame> frame = parse_frame(buffer.view(), used);
      if (!frame) {
        if (buffer.fill(fd, silent) != net::Got::data) return;
        continue;
      }
      buffer.take(used);
      silent = net::now() + kSilence;
      // Its numbers went back: it has begun anew, and is asked from its first event on. Where members share
      // their lists alone; the platform's own bulletin counts on for as long as a controller runs.
      if (frame->kind == 0 && frame->number > 0 && frame->number < last_ && list_.governed()) {
        net::log_line("bulletin: it has begun anew, from " + std::to_string(last_) + " to " +
                      std::to_string(frame->number));
        last_ = 0;
        list_.restarted();
        return;
      }
      if (frame->kind == 0) list_.caught_up();
      if (frame->number <= last_) list_.live(true);  // nothing is newer
      // On this connection nothing is untold any more, and what comes from now on is told as it happens.
      current = current || (frame->kind == 0 && frame->number <= last_);
      if (current) list_.followed();
      // An event told twice must not undo what has come since.
      if (frame->kind == 0 || frame->number <= last_) continue;
      last_ = frame->number;
      list_.numbered(last_);
      list_.told(core::Source::platform, frame->kind == 1, std::move(frame->offices));
      list_.live(true);
    }
  } catch (const std::runtime_error& error) {
    net::log_line(std::string("bulletin: ") + error.what() + "; connecting anew");
  }
}

}  // namespace reeltack::platform
