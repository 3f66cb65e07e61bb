// reeltack: what a Controller asks its gateway to do, to be carried out in order and at once.
//
// Owns the types of actions alone: plain values that belong to the sink they were appended to. Times are the
// gateway's own.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "reeltack/settings.h"

namespace reeltack {

// Start a set-up of the call at the server; abandon it at expires_at. Attempts count from 0 in sending order.
struct SendSetUp {
  CallId call{};
  ServerId server{};
  Time expires_at{};
};
// Final answer: not taken. The caller may dial again, after retry_after if it heeds that (0: no advice).
struct Refuse {
  CallId call{};
  Duration retry_after{};
};
// Final answer: tried in vain; the call may have had an effect.
struct Fail {
  CallId call{};
};
// Stop waiting for an attempt; its AttemptEnded still follows.
struct CancelAttempt {
  CallId call{};
  std::uint32_t attempt = 0;
};
// Hand back TimerFired at that time or soon after. Timers are not taken back.
struct SetTimer {
  Time at{};
  TimerToken token{};
};
// Check a server; ServerReported follows.
struct ProbeServer {
  ServerId server{};
};
struct CloseIdleConnections {
  ServerId server{};
};
struct SendToPeers {
  std::vector<std::uint8_t> bytes;
};
struct SubscribeToServerList {
  bool on = true;
};
struct FetchServerList {};
// A line for the gateway's log, for on-call staff.
struct LogLine {
  std::string text;
};

using Action =
    std::variant<SendSetUp, Refuse, Fail, CancelAttempt, SetTimer, ProbeServer, CloseIdleConnections,
                 SendToPeers, SubscribeToServerList, FetchServerList, LogLine>;
using ActionSink = std::vector<Action>;

}  // namespace reeltack
