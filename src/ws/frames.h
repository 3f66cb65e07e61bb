// RFC 6455: the opening handshake, frames and messages, as a server reads and writes them, and what a client
// needs to speak to one.
//
// Owns: every check that the RFC asks of a server, and the close code that a breach gets.
// Must never: know a message's meaning, or hold more than one message of a peer.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace reeltack::ws {

// Where a peer broke the protocol: what it gets in the close frame.
enum CloseCode : int {
  kNormal = 1000,
  kGoingAway = 1001,
  kProtocolError = 1002,
  kNotUnderstood = 1003,
  kNotUtf8 = 1007,
  kPolicy = 1008,
  kTooBig = 1009,
};

struct Handshake {
  enum class Result { more, accepted, rejected } result = Result::more;
  std::string path;
  std::string answer;  // whole, to be written as it is
  std::size_t used = 0;
};
// `paths` are those served; `origins`, if any, those from which a browser may come.
Handshake read_handshake(std::string_view text, const std::vector<std::string>& paths,
                         const std::vector<std::string>& origins);

struct Message {
  enum class Kind { text, ping, pong, close } kind = Kind::text;
  std::string payload;
  int close_code = 0;  // of a close frame; 0: it gave none
};

// Turns bytes into messages; fragments are put together, control frames may come between them.
class Assembler {
 public:
  enum class Peer { client, server };  // whose frames they are: a client's are masked, a server's are not
  explicit Assembler(Peer peer = Peer::client) : masked_(peer == Peer::client) {}
  // Takes what it can off the front. Nothing and `fault` unset: more bytes are needed.
  std::optional<Message> next(std::string_view text, std::size_t& used);
  [[nodiscard]] int fault() const { return fault_; }  // close code of a breach, 0: none so far

 private:
  std::optional<Message> whole(int opcode, std::string payload);
  std::optional<Message> breach(int code);
  bool masked_;
  std::string parts_;
  bool in_parts_ = false;
  int fault_ = 0;
};

std::string text_frame(std::string_view payload);
std::string control_frame(int opcode, std::string_view payload);
std::string close_frame(int code, std::string_view reason);
// For a client. The mask is the caller's: 4 bytes that a page's script can't foresee.
std::string client_frame(int opcode, std::string_view payload, std::string_view mask, bool fin = true);
// The request, and the answer's check: `used` is its length. Key: 16 bytes in base64.
std::string client_handshake(std::string_view host, std::string_view path, std::string_view key);
Handshake::Result read_accept(std::string_view text, std::string_view key, std::size_t& used);
inline constexpr int kOpText = 1;
inline constexpr int kOpClose = 8;
inline constexpr int kOpPing = 9;
inline constexpr int kOpPong = 10;

}  // namespace reeltack::ws
