// A trunk group's start and end, and what its other parts share.
#include "trunk/trunk.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>

#include "base/json.h"
#include "net/system_calls.h"

namespace reeltack::trunk {

Trunk::Trunk(core::Core& core, core::OfficeList& list, TrunkSettings settings,
             std::vector<std::string> class_names, std::uint64_t incarnation)
    : core_(core),
      list_(list),
      settings_(std::move(settings)),
      class_names_(std::move(class_names)),
      incarnation_(incarnation),
      group_(settings_.group) {}

Trunk::~Trunk() { close(); }

void Trunk::open() {
  int ends[2];
  if (net::sys::pipe2(ends, O_CLOEXEC | O_NONBLOCK) != 0)
    throw std::runtime_error("trunk " + settings_.name + ": pipe2: " + std::strerror(errno));
  wake_read_ = net::Fd(ends[0]);
  wake_write_ = net::Fd(ends[1]);
  if (settings_.listen) listener_ = net::listen_on(*settings_.listen);
  list_.update(
      core::Source::trunk, false,
      {{{settings_.office, settings_.place, settings_.capacity, ServerState::ready, Time{}}, "trunk"}});
  report();
  thread_ = net::Thread([this] { run(); });
}

void Trunk::close() {
  stopping_ = true;
  wake();
  thread_.join();
}

void Trunk::log(const std::string& text) const { base::log_line("trunk " + settings_.name + ": " + text); }
void Trunk::wake() {
  if (!wake_write_) return;
  const char one = 1;
  // EAGAIN: the pipe is full, so that the thread is about to wake.
  while (net::sys::write(wake_write_.get(), &one, 1) < 0 && errno == EINTR) continue;
}
void Trunk::drain_wakes() {
  char bytes[64];
  while (net::sys::read(wake_read_.get(), bytes, sizeof bytes) > 0) continue;
}
Time Trunk::tick() { return last_ = std::max(last_, base::now()); }

}  // namespace reeltack::trunk
