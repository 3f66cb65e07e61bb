// Encoding of the fleet's messages (fleet.proto): one message per UDP datagram, or one exchange message per
// frame on a TCP connection, behind its length.
//
// Decoding is strict within a version: a field that is missing, unknown or out of range is an error that
// names it. Of a message of another version only the envelope is read and the rest stays empty, so that the
// coordinator can refuse it by its version. The codec does not judge the sender.
//
// Units: ages travel in whole milliseconds, rounded down; bounds are in bytes or counts. Errors: CodecError.
// Stateless and thread-safe.
#pragma once

#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "fleet/coordinator/coordinator.h"
#include "fleet/members/members.h"

namespace reeltack::fleet::link {

inline constexpr std::size_t kMaxDatagramBytes = 1400;                            // largest datagram sent
inline constexpr std::size_t kMaxReceivedDatagramBytes = std::size_t{16} * 1024;  // largest datagram accepted
inline constexpr std::size_t kFrameLengthBytes = 4;  // big-endian length before each frame
inline constexpr std::size_t kMaxFrameBytes = kMaxExchangeBytes - kFrameLengthBytes;  // without the length
inline constexpr std::size_t kMaxTableUpdates = 64;      // in a table; kMaxUpdates in other kinds
inline constexpr std::size_t kMaxFactValueBytes = 4096;  // of one fact
inline constexpr std::size_t kMaxOwners = 4096;          // in a digest or delta
inline constexpr std::size_t kMaxDeltaFacts = 4096;      // in a delta, over all owners
// Encoded size of an exchange beyond the estimates of facts/sizes.h: once per exchange, and once more for
// each fact and each owner's part.
inline constexpr std::size_t kExchangeOverheadBytes = 80;
inline constexpr std::size_t kPartOverheadBytes = 10;
inline constexpr Duration kMaxFactAge = std::chrono::hours(24 * 3660);

class CodecError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
  // The claimed sender, if the envelope could be read.
  std::optional<MemberId> from;
};

// The encoders throw a CodecError if the message violates a bound of the protocol or is too long to be sent.
std::string encode(const members::Message& message);
std::string encode(const eager_push::Message& push);
std::string encode(const Exchange& exchange);  // includes the length prefix
std::size_t wire_size(const members::Message& message);
std::size_t wire_size(const eager_push::Message& push);
std::size_t wire_size(const Exchange& exchange);  // includes the length prefix

members::Message decode_message(std::string_view datagram);
eager_push::Message decode_push(std::string_view datagram);
// Whether a datagram is an eager push. False for a membership message, and for a datagram that is neither or
// that has another version; such a datagram is to be decoded as a membership message.
bool is_push(std::string_view datagram);
// Decodes the length in the first kFrameLengthBytes bytes; throws a CodecError if it is zero or above
// kMaxFrameBytes.
std::size_t frame_length(std::string_view first);
Exchange decode_exchange(std::string_view body);  // without the length prefix

}  // namespace reeltack::fleet::link
