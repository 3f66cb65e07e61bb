// Fakes of both sides of the core, which hold it at a chosen point, so that events cross each time in one
// way.
//
// Threads: the core's own calls the fakes; a test calls everything else from its own.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <condition_variable>
#include <future>
#include <memory>
#include <mutex>
#include <vector>

#include "core/core.h"

namespace reeltack::test {

using namespace std::chrono_literals;

constexpr ServerId kFirst{10};
constexpr ServerId kSecond{11};
constexpr Duration kGuard = 300ms;  // the settings' release guard
constexpr Duration kBound = 20s;    // of every wait for what must come

// What is waited for by one thread and done by another.
class Progress {
 public:
  template <class Change>
  void change(Change change) {
    const std::lock_guard hold(lock_);
    change();
    changed_.notify_all();
  }
  template <class Met>
  bool await(Met met) {
    std::unique_lock hold(lock_);
    return changed_.wait_for(hold, kBound, met);
  }
  template <class Read>
  auto read(Read read) {
    const std::lock_guard hold(lock_);
    return read();
  }

 private:
  std::mutex lock_;
  std::condition_variable changed_;
};

// The endpoints: notes what the core asks of them, and can hold the core's thread inside an attempt's start.
class FakeEndpoints final : public core::OfficeBackend {
 public:
  struct Ended {
    ServerId endpoint;
    CallId call;
  };
  void listed(bool /*complete*/, const std::vector<core::OfficeEntry>& /*offices*/) override {}
  void start(const core::SetUp& set_up) override {
    progress_.change([&] { started_.push_back(set_up); });
    progress_.await([&] { return !held_; });
  }
  void cancel(ServerId endpoint, CallId call, std::uint32_t /*attempt*/) override {
    progress_.change([&] { given_up_.push_back({endpoint, call}); });
  }
  void release(ServerId endpoint, CallId call) override {
    progress_.change([&] { released_.push_back({endpoint, call}); });
  }
  void keep_connection(ServerId /*endpoint*/, bool /*calls_established*/) override {}

  void hold(bool on) {
    progress_.change([&] { held_ = on; });
  }
  bool await_starts(std::size_t n) {
    return progress_.await([&] { return started_.size() >= n; });
  }
  core::SetUp start_of(std::size_t n) {
    return progress_.read([&] { return started_.at(n); });
  }
  std::size_t starts() {
    return progress_.read([&] { return started_.size(); });
  }
  std::size_t starts_of(CallId call) {
    return progress_.read([&] {
      return static_cast<std::size_t>(
          std::count_if(started_.begin(), started_.end(), [&](const auto& s) { return s.call == call; }));
    });
  }
  std::size_t given_up(CallId call) {
    return progress_.read([&] { return count(given_up_, call); });
  }
  std::size_t released(CallId call) {
    return progress_.read([&] { return count(released_, call); });
  }

 private:
  static std::size_t count(const std::vector<Ended>& ended, CallId call) {
    return static_cast<std::size_t>(
        std::count_if(ended.begin(), ended.end(), [&](const Ended& e) { return e.call == call; }));
  }
  Progress progress_;
  bool held_ = false;
  std::vector<core::SetUp> started_;
  std::vector<Ended> given_up_;
  std::vector<Ended> released_;
};

// The callers: notes each call's answers.
class FakeCallers final : public core::CallerFrontend {
 public:
  struct Answer {
    CallId call;
    bool stands;
    core::FailureReason why;
  };
  bool established(CallId call, const std::string& /*description*/) override {
    progress_.change([&] { answers_.push_back({call, true, core::FailureReason::none}); });
    return in_reach_;
  }
  void rejected(CallId call, core::FailureReason why, Duration /*later*/) override {
    progress_.change([&] { answers_.push_back({call, false, why}); });
  }
  void released(CallId call, int /*cause*/) override {
    progress_.change([&] { released_.push_back(call); });
  }
  void ended(CallId /*call*/) override {}
  bool still_waiting(CallId /*call*/) override { return waiting_; }

  std::vector<Answer> answers_to(CallId call) {
    return progress_.read([&] {
      std::vector<Answer> out;
      std::copy_if(answers_.begin(), answers_.end(), std::back_inserter(out),
                   [&](const Answer& a) { return a.call == call; });
      return out;
    });
  }
  // The one answer to the call; fails the test where none comes.
  Answer await_answer(CallId call) {
    const bool came = progress_.await([&] {
      return std::any_of(answers_.begin(), answers_.end(), [&](const Answer& a) { return a.call == call; });
    });
    EXPECT_TRUE(came) << "no answer to call " << static_cast<std::uint64_t>(call);
    return came ? answers_to(call).front() : Answer{call, false, core::FailureReason::none};
  }
  std::size_t releases(CallId call) {
    return progress_.read(
        [&] { return static_cast<std::size_t>(std::count(released_.begin(), released_.end(), call)); });
  }
  std::atomic<bool> in_reach_{true};
  std::atomic<bool> waiting_{true};

 private:
  Progress progress_;
  std::vector<Answer> answers_;
  std::vector<CallId> released_;
};

inline Settings usual_settings() {
  Settings out;
  out.classes.push_back({.aim = 1500ms, .deadline = 9s});
  out.attempts_cap = 5;
  out.release_guard = kGuard;
  out.tick = 5ms;
  return out;
}

// Waits until the core has taken in and decided all that was posted before.
inline void settle(core::Core& core) {
  for (int pass = 0; pass < 2; ++pass) {
    std::promise<void> reached;
    core.query(CallId{}, [&](const core::Status&) { reached.set_value(); });
    ASSERT_EQ(reached.get_future().wait_for(kBound), std::future_status::ready);
  }
}
// Waits until the core's own clock has passed `at`, with all that is due by then done.
inline void settle_at(core::Core& core, Time at) {
  std::promise<void> reached;
  core.run_at(at, [&] { reached.set_value(); });
  ASSERT_EQ(reached.get_future().wait_for(kBound), std::future_status::ready);
  settle(core);
}

// A core between the two fakes, with endpoints notified as ready.
class CoreRig : public ::testing::Test {
 protected:
  void run(const Settings& settings, std::vector<ServerId> endpoints = {kFirst}) {
    core_ = std::make_unique<core::Core>(settings, 1);
    core_->start(endpoints_);
    list(endpoints, ServerState::ready);
    settle(*core_);
  }
  void TearDown() override {
    endpoints_.hold(false);
    if (core_) core_->stop();
  }
  void list(const std::vector<ServerId>& endpoints, ServerState state) {
    std::vector<core::OfficeEntry> entries;
    for (const ServerId id : endpoints)
      entries.push_back({{.server = id, .place = 0, .state = state}, "127.0.0.1:1"});
    core_->update_offices(false, entries);
  }
  void request(CallId call, Duration left) {
    core::Request request;
    request.arrival.call = call;
    request.arrival.number = CalledNumber{static_cast<std::uint64_t>(call)};
    request.arrival.caller_leaves_at = base::now() + left;
    request.description = "d";
    request.frontend = &callers_;
    core_->request(std::move(request));
  }
  FakeEndpoints endpoints_;
  FakeCallers callers_;
  std::unique_ptr<core::Core> core_;
};

}  // namespace reeltack::test
