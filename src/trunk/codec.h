// The trunk's frames as bytes: trunk.proto, length-delimited.
//
// Owns: encoding, decoding, and every bound on what a far end may send.
// Must never: hold a socket, or let a frame pass that the protocol does not allow.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "circuits/group.h"

namespace reeltack::trunk {

inline constexpr std::uint32_t kVersion = 1;
inline constexpr std::size_t kMostFrame = std::size_t{16} * 1024;

class CodecError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Hello {
  std::uint32_t version = kVersion;
  std::string group;
  std::uint32_t circuits = 0;
  std::uint32_t point_code = 0;
  std::uint32_t far_point_code = 0;
  bool controls_even = false;
  std::uint64_t incarnation = 0;
};
struct SetUpWords {
  std::string call_class;
  std::uint64_t number = 0;
  std::uint32_t patience_ms = 0;
  std::uint32_t first_choice = 0;
  bool again = false;
};
struct Signal {
  circuits::Message message;
  SetUpWords set_up;           // iam
  std::string description;     // iam, anm
  std::uint32_t later_ms = 0;  // rel
};
struct Frame {
  std::optional<Hello> hello;
  std::optional<Signal> signal;  // neither: a ping
};

std::string encode(const Hello& hello);
std::string encode(const Signal& signal);
std::string encode_ping();
// Takes one frame off the front; `used` tells its length. Nothing: more bytes are needed. Throws CodecError.
std::optional<Frame> decode(std::string_view bytes, std::size_t& used);

}  // namespace reeltack::trunk
