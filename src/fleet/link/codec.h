// The fleet's messages as bytes: fleet.proto; a datagram each, or a frame each behind its length.
//
// Owns: encoding, decoding, and every bound on what a peer may send.
// Must never: hold a socket, judge who sent it, or let pass what the protocol does not allow.
//
// Strict within a version: a field that is missing, unknown or out of range is an error that names it. Of
// another version the envelope alone is read, and the rest is left empty: the turn refuses it by name.
// Units: ages travel in whole milliseconds, rounded down; bounds in bytes and numbers. Errors: CodecError.
// Threads: any; no state.
#pragma once

#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "fleet/members/members.h"
#include "fleet/turn/turn.h"

namespace reeltack::fleet::link {

inline constexpr std::size_t kMostDatagram = 1400;                                // sent
inline constexpr std::size_t kMaxReceivedDatagramBytes = std::size_t{16} * 1024;  // taken
inline constexpr std::size_t kFrameLengthBytes = 4;  // before each frame of an exchange
inline constexpr std::size_t kMostFrame = kMaxExchangeBytes - kFrameLengthBytes;  // behind it
inline constexpr std::size_t kMaxTableUpdates = 64;  // of a table; else kMaxUpdates
inline constexpr std::size_t kMostValue = 4096;      // bytes of a fact
inline constexpr std::size_t kMaxOwners = 4096;      // of a digest or delta
inline constexpr std::size_t kMaxDeltaFacts = 4096;  // of a delta, all owners together
// What an exchange takes beyond the estimates of facts/sizes.h: once, and for each fact and each owner's
// part.
inline constexpr std::size_t kMostHead = 80;
inline constexpr std::size_t kPartOverheadBytes = 10;
inline constexpr Duration kMaxFactAge = std::chrono::hours(24 * 3660);

class CodecError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
  // Who says that it sent it, where the envelope could be read.
  std::optional<MemberId> from;
};

// Throw CodecError where the message breaks a bound of the protocol, or is longer than may be sent.
std::string encode(const members::Message& message);
std::string encode(const news::Message& news);
std::string encode(const Exchange& exchange);  // with its length before it
std::size_t wire_size(const members::Message& message);
std::size_t wire_size(const news::Message& news);
std::size_t wire_size(const Exchange& exchange);  // with its length

members::Message decode_message(std::string_view datagram);
news::Message decode_push(std::string_view datagram);
// Which of the two a datagram is; of another version, or where it is neither, a message of the members.
bool is_push(std::string_view datagram);
// The length in the first kFrameLengthBytes bytes; throws where it is none of the protocol's.
std::size_t frame_length(std::string_view first);
Exchange decode_exchange(std::string_view body);  // without its length

}  // namespace reeltack::fleet::link
