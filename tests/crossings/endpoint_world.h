// Endpoints on loopback, held at any byte by the test, and their links to a core, stepped by hand.
//
// Owns: the fakes of both sides of a core (callers and endpoints), listeners, and waits bounded at 10 s that
// fail
//   a test only where what it waits for never comes.
// Must never: sleep in order to let two events cross; the test orders them.
#pragma once

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>

#include "platform/link.h"
#include "platform/office_lines.h"

namespace reeltack::test {

using namespace std::chrono_literals;

inline std::string hex_of(CallId call) { return net::hex16(static_cast<std::uint64_t>(call)); }
inline std::string started_line(CallId call, const std::string& description = "sdp") {
  return R"({"verb":"STARTED","tag":")" + hex_of(call) + R"(","opts":{},"blob":")" + description + "\"}\n";
}
inline std::string end_line(CallId call, int cause) {
  return R"({"verb":"FINISH","tag":")" + hex_of(call) + R"(","opts":{},"rc":)" + std::to_string(cause) +
         "}\n";
}
inline bool is(const std::string& line, const char* verb, CallId call) {
  return line.find('"' + std::string(verb) + '"') != std::string::npos &&
         line.find(hex_of(call)) != std::string::npos;
}

// The core's callers: each event is kept, in order.
class FakeCallers final : public core::CallerFrontend {
 public:
  bool established(CallId call, const std::string& description) override {
    return note("stands " + description, call), true;
  }
  void rejected(CallId call, core::FailureReason why, Duration /*later*/) override {
    note("ended " + std::to_string(static_cast<int>(why)), call);
  }
  void released(CallId call, int cause) override { note("released " + std::to_string(cause), call); }
  void ended(CallId call) override { note("over", call); }

  std::vector<std::string> events(CallId call) {
    const std::lock_guard hold(lock_);
    return events_[call];
  }
  bool await(CallId call, std::size_t count) {
    std::unique_lock hold(lock_);
    return changed_.wait_for(hold, 10s, [&] { return events_[call].size() >= count; });
  }

 private:
  void note(std::string text, CallId call) {
    const std::lock_guard hold(lock_);
    events_[call].push_back(std::move(text));
    changed_.notify_all();
  }
  std::mutex lock_;
  std::condition_variable changed_;
  std::map<CallId, std::vector<std::string>> events_;
};

struct FakeEndpoint {
  ServerId id{};
  net::Address address;
  net::Fd listening;
  std::shared_ptr<platform::OfficeLink> link;
  bool held = false;  // its link gets no steps
};

// The core's endpoints: each action goes to the link of its endpoint.
class Links final : public core::OfficeBackend {
 public:
  explicit Links(core::Core*& core) : core_(core) {}
  void listed(bool /*complete*/, const std::vector<core::OfficeEntry>& offices) override {
    for (const core::OfficeEntry& o : offices) of(o.entry.server).listed(o);
  }
  void start(const core::SetUp& set_up) override {
    if (!of(set_up.office).start(set_up, "voice"))
      core_->attempt_failed(set_up.call, set_up.attempt, AttemptOutcome::not_sent);
    const std::lock_guard hold(lock_);
    started_.emplace_back(set_up.office, set_up.call);
    changed_.notify_all();
  }
  void cancel(ServerId office, CallId call, std::uint32_t attempt) override {
    of(office).give_up(call, attempt);
  }
  void release(ServerId office, CallId call) override { of(office).release(call); }
  void keep_connection(ServerId office, bool calls_established) override {
    of(office).keep(calls_established);
  }
  void earliest_connection_changed(ServerId office, core::ConnectionNumber earliest) override {
    of(office).earliest_connection_changed(earliest);
  }
  core::ConnectionNumber last_before_restart(ServerId office) override {
    return of(office).last_before_restart();
  }

  // The core has handed the call to the link there, which has written it if it could.
  bool await_start(ServerId office, CallId call) {
    std::unique_lock hold(lock_);
    return changed_.wait_for(hold, 10s, [&] {
      return std::find(started_.begin(), started_.end(), std::pair(office, call)) != started_.end();
    });
  }

  std::map<ServerId, FakeEndpoint> all;  // one is complete before the core hears of it

 private:
  std::mutex lock_;
  std::condition_variable changed_;
  std::vector<std::pair<ServerId, CallId>> started_;
  platform::OfficeLink& of(ServerId office) { return *all.at(office).link; }
  core::Core*& core_;
};

class EndpointWorld : public ::testing::Test {
 protected:
  EndpointWorld() : links_(core_pointer_) {}
  void SetUp() override {
    Settings settings;
    settings.classes.push_back({.aim = 2s, .deadline = 9s, .effect = Effect::repeatable});
    settings.classes.push_back({.aim = 2s, .deadline = 9s, .effect = Effect::once});
    settings.attempts_cap = 5;
    settings.release_guard = 300ms;
    settings.shape = Shape::pools;
    core_ = std::make_unique<core::Core>(settings, 1);
    core_pointer_ = core_.get();
    core_->start(links_, &callers_);
  }
  void TearDown() override { core_->stop(); }

  FakeEndpoint& add(std::uint32_t id) {
    FakeEndpoint& out = links_.all[ServerId{id}];
    out.id = ServerId{id};
    out.address = {"127.100." + std::to_string(8 + id % 200) + "." + std::to_string(1 + ::getpid() % 250),
                   static_cast<std::uint16_t>(20000 + ::getpid() % 20000)};
    out.listening = net::listen_on(out.address);
    out.link = std::make_shared<platform::OfficeLink>(*core_, loop_, out.id, 500ms);
    out.link->begin();
    return out;
  }
  static core::OfficeEntry entry(const FakeEndpoint& endpoint, ServerState state, StartId start = {}) {
    core::OfficeEntry out{{.server = endpoint.id, .place = 0, .state = state},
                          net::to_text(endpoint.address)};
    out.entry.start = start;
    out.entry.capacity = 1.0;
    return out;
  }
  // To the link and the core, as discovery does.
  void tell(const FakeEndpoint& endpoint, ServerState state, StartId start = {}) {
    core_->update_offices(false, {entry(endpoint, state, start)});
  }
  // One endpoint that is listed, with its first connection.
  net::Fd connected(FakeEndpoint& endpoint) {
    tell(endpoint, ServerState::ready);
    net::Fd out = accept(endpoint);
    endpoint.link->handle_event(true);
    return out;
  }
  void turn() {
    for (auto& [id, endpoint] : links_.all) {
      if (!endpoint.held) endpoint.link->handle_event(true);
    }
  }
  // Enough for a connection that has come up, and all that has come on it.
  void turns() {
    for (int i = 0; i < 20; ++i) turn();
  }
  net::Fd accept(FakeEndpoint& endpoint) {
    net::Fd out;
    for (const Time by = net::now() + 10s; !out && net::now() < by;) {
      turn();
      out = net::accept_one(endpoint.listening, net::now() + 5ms);
    }
    EXPECT_TRUE(static_cast<bool>(out)) << "no connection";
    held_.erase(out.get());
    return out;
  }
  // The next line that comes on a connection; empty: it has ended, or nothing came for 10 s.
  std::string line(const net::Fd& from) {
    std::string& held = held_[from.get()];
    for (const Time by = net::now() + 10s; net::now() < by;) {
      if (const std::size_t end = held.find('\n'); end != std::string::npos) {
        const std::string out = held.substr(0, end);
        held.erase(0, end + 1);
        return out;
      }
      turn();
      if (!net::readable(from, net::now() + 5ms)) continue;
      char chunk[4096];
      const ssize_t n = ::recv(from.get(), chunk, sizeof chunk, 0);
      if (n <= 0) return {};
      held.append(chunk, static_cast<std::size_t>(n));
    }
    return {};
  }
  // All lines that come before the link's release of a call that nobody knows, which is asked for now.
  std::vector<std::string> lines_until_now(FakeEndpoint& endpoint, const net::Fd& from) {
    turns();  // a connection that has just come up carries first what waited for it
    const CallId marker{0xffff'0000ULL + ++markers_};
    endpoint.link->release(marker);
    std::vector<std::string> out;
    for (std::string next = line(from); !next.empty() && !is(next, "FINISH", marker); next = line(from))
      out.push_back(next);
    return out;
  }
  void say(const net::Fd& to, const std::string& lines) { EXPECT_TRUE(net::write_all(to, lines)); }
  static constexpr std::uint32_t kRepeatable = 0;
  static constexpr std::uint32_t kOnce = 1;  // fails where an attempt may have run
  void request(CallId call, Duration patience = 9s, std::uint32_t call_class = kRepeatable) {
    core::Request request;
    request.arrival.call_class = call_class;
    request.arrival.call = call;
    request.arrival.caller_leaves_at = net::now() + patience;
    request.description = "offer";
    request.frontend = &callers_;
    core_->request(std::move(request));
  }
  static core::SetUp set_up(const FakeEndpoint& endpoint, CallId call, std::uint32_t attempt = 0) {
    return {call, attempt, endpoint.id, net::now() + 60s, 0, {}, "offer"};
  }
  // Straight to the link, for what the core would not ask for in time.
  static bool start(const FakeEndpoint& endpoint, CallId call, std::uint32_t attempt = 0,
                    const std::string& filler = "") {
    core::SetUp wanted = set_up(endpoint, call, attempt);
    wanted.description += filler;
    return endpoint.link->start(wanted, "voice");
  }

  FakeCallers callers_;
  core::Core* core_pointer_ = nullptr;
  Links links_;
  std::unique_ptr<core::Core> core_;
  net::Loop loop_;
  std::map<int, std::string> held_;  // by descriptor: kept open by the test meanwhile
  std::uint64_t markers_ = 0;
};

}  // namespace reeltack::test
