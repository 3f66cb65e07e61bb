// The record codes of the wire, as the platform numbers them. The comments give the platform's own names.
#pragma once

#include <cstdint>

namespace reeltack::wire {

// Records in batches.
enum class EventCode : std::uint8_t {
  list = 0,          // List
  call_arrived = 1,  // Incoming
  caller_left = 2,   // ClientLeft
  peer_said = 3,     // Inbox
  call_stands = 4,   // Headers
  announce = 5,      // Announce
  launch = 6,        // Launch
  ping_result = 7,   // PingResult
  finished = 8,      // Finished
  about = 9,         // About
  teardown = 10,     // Teardown
  timer_fired = 11,  // DeadlineHit
};

// Records in replies.
enum class ActionCode : std::uint8_t {
  send_set_up = 0,             // Send
  refuse = 1,                  // Decline
  fail = 2,                    // Error
  cancel_attempt = 3,          // Cancel
  set_timer = 4,               // SetAlarm
  probe_server = 5,            // Test
  close_idle_connections = 6,  // DropConns
  tell_peers = 7,              // Say
  log_line = 8,                // Emit
  die = 9,                     // Die
  subscribe_to_list = 10,      // Tail
  fetch_list = 11,             // QueryAll
  about = 12,                  // For
};

}  // namespace reeltack::wire
