#include "trunk/trunk.h"

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "base/json.h"
#include "net/system_calls.h"

namespace reeltack::trunk {
namespace {

using namespace std::chrono_literals;
using circuits::Kind;
using circuits::Refusal;

constexpr Duration kGreeting = 2s;  // for the whole handshake
constexpr Duration kPing = 1s;      // without a word of ours
constexpr Duration kSilence = 3s;   // without a word of theirs the connection is dead
constexpr Duration kDial = 1s;
constexpr Duration kAgain = 200ms;
constexpr Duration kRefused = 1s;  // after a handshake that failed
constexpr Duration kTurn = 100ms;
constexpr Duration kLeastPatience = 1ms;
constexpr Duration kRoomAwaited = 1ms;  // after a call that failed for want of memory
constexpr std::size_t kMostQueued = std::size_t{4} * 1024 * 1024;

// Q.850, as the far end's core and ours mean them.
constexpr int kBusy = 17;
constexpr int kFull = 34;
constexpr int kCongestion = 42;  // the far controller had no room: its processors, not its circuits
constexpr int kNotAvailable = 44;
constexpr int kFailed = 47;

int cause_of(core::Why why) {
  switch (why) {
    case core::Why::refused:
      return kCongestion;
    case core::Why::duplicate:
      return kNotAvailable;  // the call came round to where it has been: not run here
    case core::Why::given_up:
      return core::kNormalClearing;
    case core::Why::none:
    case core::Why::tried_in_vain:
    case core::Why::deadline_passed:
    case core::Why::unknown_class:
      break;
  }
  return kFailed;
}

}  // namespace

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
  list_.told(
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
  const char one = 1;
  if (wake_write_) static_cast<void>(!net::sys::write(wake_write_.get(), &one, 1));
}
void Trunk::drain_wakes() {
  char bytes[64];
  while (net::sys::read(wake_read_.get(), bytes, sizeof bytes) > 0) continue;
}
Time Trunk::tick() { return last_ = std::max(last_, base::now()); }

// ---------------------------------------------------------------- for the core

void Trunk::start(const core::SetUp& set_up) {
  const std::lock_guard hold(lock_);
  const auto id = static_cast<std::uint64_t>(set_up.call);
  Words words;
  words.set_up.call_class = set_up.call_class < class_names_.size() ? class_names_[set_up.call_class] : "";
  words.set_up.number = static_cast<std::uint64_t>(set_up.number);
  if (set_up.give_up - base::now() < kLeastPatience)
    return core_.send_failed(set_up.call, set_up.attempt, Ending::not_sent);
  words.give_up = set_up.give_up;
  words.set_up.first_choice = settings_.far_place;
  words.description = set_up.description;
  circuits::GroupActions actions;
  // No circuit, no connection, or a call that came in by this very group: it has not left, in each case.
  if (group_.seize(tick(), id, actions) != Refusal::none)
    return core_.send_failed(set_up.call, set_up.attempt, Ending::not_sent);
  attempts_[set_up.call] = set_up.attempt;
  core_.attempt_left();
  carry_out(actions, words, nullptr);
  wake();
}

void Trunk::give_up(ServerId office, CallId call, std::uint32_t /*attempt*/) { release(office, call); }
void Trunk::release(ServerId /*office*/, CallId call) {
  const std::lock_guard hold(lock_);
  attempts_.erase(call);
  circuits::GroupActions actions;
  group_.release(tick(), static_cast<std::uint64_t>(call), true, core::kNormalClearing, actions);
  carry_out(actions, {}, nullptr);
  wake();
}

bool Trunk::stands(CallId call, const std::string& description) {
  const std::lock_guard hold(lock_);
  if (!group_.holds(static_cast<std::uint64_t>(call), false)) return false;
  circuits::GroupActions actions;
  group_.answer(tick(), static_cast<std::uint64_t>(call), actions);
  Words words;
  words.description = description;
  carry_out(actions, words, nullptr);
  wake();
  return true;
}
void Trunk::refused(CallId call, core::Why why, Duration later) {
  const std::lock_guard hold(lock_);
  circuits::GroupActions actions;
  group_.release(tick(), static_cast<std::uint64_t>(call), false, cause_of(why), actions);
  Words words;
  words.later_ms = static_cast<std::uint32_t>(
      std::max<std::int64_t>(std::chrono::ceil<std::chrono::milliseconds>(later).count(), 0));
  carry_out(actions, words, nullptr);
  wake();
}
void Trunk::released(CallId call, int cause) {
  const std::lock_guard hold(lock_);
  circuits::GroupActions actions;
  group_.release(tick(), static_cast<std::uint64_t>(call), false, cause, actions);
  carry_out(actions, {}, nullptr);
  wake();
}
void Trunk::over(CallId /*call*/) {}  // the group has let go of it already

// ---------------------------------------------------------------- for operators

std::string Trunk::status(bool circuits) const {
  const std::lock_guard hold(lock_);
  const circuits::Group::Summary s = group_.summary();
  const circuits::Group::Counts& c = group_.counts();
  const auto number = [](const char* name, std::uint64_t value) {
    return ",\"" + std::string(name) + "\":" + std::to_string(value);
  };
  std::string out =
      R"({"name":)" + base::quoted(settings_.name) + R"(,"office":")" + base::office_name(settings_.office) +
      R"(","connection":)" + base::quoted(state_) + number("connections", connections_) +
      number("circuits", group_.size()) + number("selectable", group_.selectable()) + number("idle", s.idle) +
      number("seized", s.seized) + number("standing", s.standing) + number("releasing", s.releasing) +
      number("blocked_local", s.blocked_local) + number("blocked_remote", s.blocked_remote) +
      number("lost", s.lost) + number("suspect", s.suspect) + number("unaudited", s.unaudited) +
      number("seizures", c.seized) + number("offered", c.offered) + number("collisions", c.collisions) +
      number("glare_lost", c.glare_lost) + number("audits", c.audits) + number("suspects", c.suspects) +
      number("freed", c.freed) + number("resets", c.resets);
  if (circuits) {
    out += ",\"states\":[";
    for (circuits::Cic cic = 0; cic < group_.size(); ++cic) {
      out += (cic > 0 ? "," : "") + base::quoted(group_.describe(cic));
    }
    out += "]";
  }
  return out + "}";
}
void Trunk::audit() {
  const std::lock_guard hold(lock_);
  circuits::GroupActions actions;
  group_.audit_now(tick(), actions);
  carry_out(actions, {}, nullptr);
  wake();
}
void Trunk::block(circuits::Cic first, std::uint32_t count, bool at_once) {
  const std::lock_guard hold(lock_);
  circuits::GroupActions actions;
  group_.block(tick(), first, count, at_once, actions);
  carry_out(actions, {}, nullptr);
  wake();
}
void Trunk::unblock(circuits::Cic first, std::uint32_t count) {
  const std::lock_guard hold(lock_);
  circuits::GroupActions actions;
  group_.unblock(tick(), first, count, actions);
  carry_out(actions, {}, nullptr);
  wake();
}
void Trunk::lose(circuits::Cic first, std::uint32_t count, bool lost) {
  const std::lock_guard hold(lock_);
  circuits::GroupActions actions;
  lost ? group_.lose(tick(), first, count, actions) : group_.restore(tick(), first, count, actions);
  carry_out(actions, {}, nullptr);
  wake();
}

// ---------------------------------------------------------------- what the group wants

void Trunk::carry_out(const circuits::GroupActions& actions, const Words& words, const Signal* from) {
  for (const circuits::GroupAction& a : actions) {
    if (const auto* send = std::get_if<circuits::Send>(&a)) {
      Signal signal;
      signal.message = send->message;
      if (send->message.kind == Kind::iam) signal.set_up = words.set_up;
      if (send->message.kind == Kind::iam || send->message.kind == Kind::anm)
        signal.description = words.description;
      if (send->message.kind == Kind::rel) signal.later_ms = words.later_ms;
      outbox_.add(std::move(signal), words.give_up);
    } else if (const auto* o = std::get_if<circuits::Offered>(&a)) {
      if (from != nullptr) offer(o->call, *from);
    } else if (const auto* n = std::get_if<circuits::Answered>(&a)) {
      attempts_.erase(CallId{n->call});
      core_.answered(settings_.office, CallId{n->call}, from == nullptr ? std::string() : from->description);
    } else if (const auto* x = std::get_if<circuits::NotSent>(&a)) {
      const auto out = attempts_.extract(CallId{x->call});
      if (out) core_.send_failed(CallId{x->call}, out.mapped(), Ending::not_sent);
    } else if (const auto* v = std::get_if<circuits::Over>(&a)) {
      const CallId call{v->call};
      if (!v->outgoing) {
        v->stood ? core_.release(call, *this) : core_.give_up(call, *this);
        continue;
      }
      const auto out = attempts_.extract(call);
      if (v->stood) {
        core_.ended({settings_.office,
                     call,
                     v->cause == core::kNormalClearing ? v->cause : core::kTemporaryFailure,
                     "",
                     {}});
      } else if (out && v->told && (v->cause == kNotAvailable || v->cause == circuits::kNoCircuit)) {
        core_.send_failed(call, out.mapped(), Ending::not_sent);
      } else if (out && v->told) {
        const bool congested = v->cause == kCongestion;
        core_.ended({settings_.office,
                     call,
                     congested           ? kFull
                     : v->cause == kBusy ? kBusy
                                         : kFailed,
                     congested ? "swamped" : "",
                     {}});
      } else if (out) {
        core_.send_failed(call, out.mapped(), Ending::reset);
      }
    }
  }
}

// A call that comes in goes through the same core, module and rules as any other.
void Trunk::offer(std::uint64_t call, const Signal& from) {
  core::Request request;
  CallArrived& told = request.told;
  told.call = CallId{call};
  told.number = NumberCalled{from.set_up.number};
  told.destination = from.set_up.first_choice;
  told.cut_before = from.set_up.again;
  told.caller_leaves = base::now() + std::chrono::milliseconds(from.set_up.patience_ms);
  const auto name = std::find(class_names_.begin(), class_names_.end(), from.set_up.call_class);
  request.class_known = name != class_names_.end();
  told.call_class = static_cast<std::uint32_t>(name - class_names_.begin());
  request.description = from.description;
  request.side = this;
  core_.request(std::move(request));
}

void Trunk::report() {
  double free = 0.0;
  {
    const std::lock_guard hold(lock_);
    free = group_.up() ? static_cast<double>(group_.selectable()) : 0.0;
    if (free == reported_) return;
    reported_ = free;
  }
  LoadReport report;
  report.free_lines = free;
  report.lines = static_cast<double>(settings_.group.size);
  core_.reported(settings_.office, report);
}

// ---------------------------------------------------------------- the wire

void Trunk::idle(Time until) {
  do {
    {
      const std::lock_guard hold(lock_);
      circuits::GroupActions actions;
      group_.fire(tick(), actions);
      carry_out(actions, {}, nullptr);
      outbox_.clear();  // nobody is there to read it
    }
    report();
    pollfd p{wake_read_.get(), POLLIN, 0};
    net::poll_some(
        &p, 1, static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(kTurn / 4).count()));
    drain_wakes();
  } while (!stopping_ && base::now() < until);
}

net::Fd Trunk::connect() {
  while (!stopping_) {
    if (listener_) {
      if (net::Fd fd = net::accept_one(listener_, base::now() + kTurn / 4)) return fd;
      idle(Time{});
    } else {
      net::Dialled dialled = net::dial(*settings_.dial, base::now() + kDial);
      if (dialled.how == net::Dial::up) return std::move(dialled.fd);
      idle(base::now() + kAgain);
    }
  }
  return {};
}

void Trunk::run() {
  std::string said;  // so that a handshake that fails each second fills no log
  while (!stopping_) {
    const net::Fd fd = connect();
    if (!fd || stopping_) return;
    net::Buffer buffer;
    std::string why;
    try {
      if (greet(fd, buffer)) {
        said.clear();
        serve(fd, buffer);
        idle(base::now() + kAgain);
        continue;
      }
      why = "the connection ended before its handshake was done";
    } catch (const std::runtime_error& error) {
      why = error.what();
    }
    {
      const std::lock_guard hold(lock_);
      state_ = "refused: " + why;
    }
    if (why != said) log("refused: " + why);
    said = why;
    idle(base::now() + kRefused);
  }
}

// Both ends must mean the same group; else not one circuit of it is used.
bool Trunk::greet(const net::Fd& fd, net::Buffer& buffer) {
  Hello own;
  own.group = settings_.name;
  own.circuits = settings_.group.size;
  own.point_code = settings_.group.own;
  own.far_point_code = settings_.group.far;
  own.controls_even = group_.controls(0);
  own.incarnation = incarnation_;
  const Time by = base::now() + kGreeting;
  if (!net::write_all(fd, encode(own), by)) return false;
  std::optional<Frame> frame;
  for (;;) {
    std::size_t used = 0;
    frame = decode(buffer.view(), used);
    buffer.take(used);
    if (frame) break;
    if (buffer.fill(fd, by) != net::Got::data) return false;
  }
  if (!frame->hello) throw std::runtime_error("the far end did not begin with its hello");
  const Hello& far = *frame->hello;
  const auto differs = [](const char* what, const auto& ours, const auto& theirs) {
    throw std::runtime_error(std::string("the ends disagree on the ") + what + ": here " +
                             std::to_string(ours) + ", there " + std::to_string(theirs));
  };
  if (far.version != own.version) differs("version", own.version, far.version);
  if (far.group != own.group) throw std::runtime_error("the far end speaks of the group '" + far.group + "'");
  if (far.circuits != own.circuits) differs("number of circuits", own.circuits, far.circuits);
  if (far.point_code != own.far_point_code) differs("far point code", own.far_point_code, far.point_code);
  if (far.far_point_code != own.point_code) differs("near point code", own.point_code, far.far_point_code);
  if (far.controls_even == own.controls_even)
    throw std::runtime_error("the ends disagree on which of them is the control end of the even circuits");
  const std::lock_guard hold(lock_);
  far_incarnation_ = far.incarnation;
  return true;
}

void Trunk::serve(const net::Fd& fd, net::Buffer& buffer) {
  {
    const std::lock_guard hold(lock_);
    outbox_.clear();
    circuits::GroupActions actions;
    group_.connected(tick(), actions);
    carry_out(actions, {}, nullptr);
    state_ = "up";
    ++connections_;
  }
  log("connected");
  Time heard = base::now();
  Time spoke = heard;
  std::string why;
  // What came with the handshake's last bytes is read first.
  if (!read_frames(buffer)) why = "it sent what no far end may send";
  while (!stopping_ && why.empty()) {
    Time due = base::now() + kTurn;
    {
      const std::lock_guard hold(lock_);
      circuits::GroupActions actions;
      group_.fire(tick(), actions);
      carry_out(actions, {}, nullptr);
      due = std::min(due, group_.next_due());
      if (outbox_.bytes() > kMostQueued) why = "it does not read";
      if (outbox_.bytes() == 0 && base::now() >= spoke + kPing) outbox_.add_ping();
    }
    report();
    const Time now = base::now();
    if (now >= heard + kSilence) why = "it is silent";
    if (!why.empty()) break;
    std::string writing;
    {
      const std::lock_guard hold(lock_);
      writing = outbox_.due(now);
    }
    if (!writing.empty()) {
      const ssize_t n = net::sys::send(fd.get(), writing.data(), writing.size());
      if (n < 0 && (errno == ENOBUFS || errno == ENOMEM)) {
        net::pause_until(base::now() + kRoomAwaited);  // it shows as writable all the while
      } else if (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
        why = "it is gone";
        break;
      }
      if (n > 0) {
        spoke = now;
        {
          const std::lock_guard hold(lock_);
          outbox_.written(static_cast<std::size_t>(n));
        }
        if (static_cast<std::size_t>(n) == writing.size()) continue;  // more may have come meanwhile
      }
    }
    pollfd waits[2] = {{fd.get(), static_cast<short>(POLLIN | (writing.empty() ? 0 : POLLOUT)), 0},
                       {wake_read_.get(), POLLIN, 0}};
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(due - base::now()).count();
    net::poll_some(waits, 2, static_cast<int>(std::clamp<std::int64_t>(wait, 0, 100)));
    if ((waits[1].revents & POLLIN) != 0) drain_wakes();
    if ((waits[0].revents & (POLLIN | POLLHUP | POLLERR)) == 0) continue;
    const net::Got got = buffer.fill_now(fd);
    if (got == net::Got::closed) {
      why = "it is gone";
    } else if (got == net::Got::late) {  // no memory for what shows as readable
      net::pause_until(base::now() + kRoomAwaited);
    } else {
      heard = base::now();
      if (!read_frames(buffer)) why = "it sent what no far end may send";
    }
  }
  log("connection over: " + (why.empty() ? std::string("this end stops") : why));
  const std::lock_guard hold(lock_);
  circuits::GroupActions actions;
  group_.broken(tick(), actions);
  carry_out(actions, {}, nullptr);
  outbox_.clear();
  state_ = "down: " + why;
}

bool Trunk::read_frames(net::Buffer& buffer) {
  const std::lock_guard hold(lock_);
  try {
    for (;;) {
      std::size_t used = 0;
      const std::optional<Frame> frame = decode(buffer.view(), used);
      buffer.take(used);
      if (!frame) return true;
      if (frame->hello) return false;
      if (!frame->signal) continue;
      circuits::GroupActions actions;
      const bool good = group_.take(tick(), frame->signal->message, actions);
      carry_out(actions, {}, &*frame->signal);
      if (!good) return false;
    }
  } catch (const CodecError& error) {
    log(error.what());
    return false;
  }
}

}  // namespace reeltack::trunk
