// The callers' wires as bytes: SIP over TCP and call control over WebSocket, the client's side.
//
// Owns: the spelling of a caller's messages and the reading of what the target says.
// Must never: hold a socket, judge an answer, or know a call beyond its id.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"
#include "load/plan/callers.h"

namespace reeltack::load {

struct Target {
  enum class Kind { sip, ws } kind = Kind::sip;
  base::Address address;
};
Target parse_target(const std::string& text);  // sip:HOST:PORT or ws:HOST:PORT; throws std::invalid_argument
std::string to_text(const Target& target);

// What a target said.
struct Said {
  enum class What { stands, refused, failed, gave_up, released, unreadable } what{};
  TryId id{};
  std::string text;  // description, or what could not be read
  Duration later{};
  bool cut = false;
};

// One connection's side of a wire.
class Wire {
 public:
  virtual ~Wire() = default;
  // What is to be written as soon as the connection is up; the wire is ready once ready() says so.
  virtual std::string hello() = 0;
  [[nodiscard]] virtual bool ready() const = 0;
  virtual std::string place(const PlaceTry& wanted, const std::string& class_name) = 0;
  virtual std::string give_up(TryId id) = 0;
  virtual std::string release(TryId id) = 0;
  // Takes what is whole off the front and returns its length. `reply` gets what must be written for it;
  // false: nothing more can be read here and the connection must end.
  virtual bool read(std::string_view text, std::size_t& used, std::vector<Said>& said,
                    std::string& reply) = 0;
};
// `seed` is for the masks of a WebSocket.
std::unique_ptr<Wire> make_wire(const Target& target, std::uint64_t seed);

}  // namespace reeltack::load
