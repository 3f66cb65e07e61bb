// RFC 6455: the opening handshake, frames and messages as a server reads and writes them, and what a client
// needs.
//
// Makes every check that the RFC requires of a server and selects the close code of a violation. At most one
// message of a peer is held. Does no I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace reeltack::ws {

// Codes of close frames (RFC 6455, 7.4.1).
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
  std::string answer;  // complete response, ready to be written
  std::size_t used = 0;
};
// `paths`: the paths served. `origins`: the origins accepted of browsers; empty: all.
Handshake read_handshake(std::string_view text, const std::vector<std::string>& paths,
                         const std::vector<std::string>& origins);

struct Message {
  enum class Kind { text, ping, pong, close } kind = Kind::text;
  std::string payload;
  int close_code = 0;  // of a close frame; 0: none given
};

// Assembles messages from frames; control frames may come between the fragments of a message.
class Assembler {
 public:
  enum class Peer { client, server };  // the sender: a client's frames are masked, a server's are not
  explicit Assembler(Peer peer = Peer::client) : masked_(peer == Peer::client) {}
  // Consumes up to one message; `used` is the length consumed. Nothing with fault() 0: more bytes are needed.
  std::optional<Message> next(std::string_view text, std::size_t& used);
  [[nodiscard]] int fault() const { return fault_; }  // close code of a violation; 0: none so far

 private:
  std::optional<Message> finish_message(int opcode, std::string payload);
  std::optional<Message> fail(int code);
  bool masked_;
  std::string fragments_;
  bool fragmented_ = false;
  int fault_ = 0;
};

std::string text_frame(std::string_view payload);
std::string control_frame(int opcode, std::string_view payload);
std::string close_frame(int code, std::string_view reason);
// For a client. `mask`: 4 bytes that a web page's script cannot predict.
std::string client_frame(int opcode, std::string_view payload, std::string_view mask, bool fin = true);
// The opening request, and the check of its response, of length `used`. `key`: 16 bytes in base64.
std::string client_handshake(std::string_view host, std::string_view path, std::string_view key);
Handshake::Result read_accept(std::string_view text, std::string_view key, std::size_t& used);
inline constexpr int kOpText = 1;
inline constexpr int kOpClose = 8;
inline constexpr int kOpPing = 9;
inline constexpr int kOpPong = 10;

}  // namespace reeltack::ws
