#include "ws/frames.h"

#include <nettle/base64.h>
#include <nettle/sha1.h>
#include <strings.h>

#include <algorithm>
#include <array>

#include "base/json.h"
#include "net/buffers.h"

namespace reeltack::ws {
namespace {

constexpr std::size_t kMaxHeadBytes = 8192;
constexpr std::size_t kMaxControlPayload = 125;
constexpr std::size_t kMaxHeaderFields = 100;

bool equal_ignoring_case(std::string_view a, std::string_view b) {
  return a.size() == b.size() && ::strncasecmp(a.data(), b.data(), a.size()) == 0;
}
std::string_view trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}
bool list_contains(std::string_view value, std::string_view token) {
  while (!value.empty()) {
    const std::string_view one = value.substr(0, value.find(','));
    value.remove_prefix(std::min(one.size() + 1, value.size()));
    if (equal_ignoring_case(trimmed(one), token)) return true;
  }
  return false;
}

std::string accept_key(std::string_view key) {
  static constexpr std::string_view kSuffix = "258EAFA5-E914-47DA-95CA-C5AB0DC85B11";
  sha1_ctx sha;
  sha1_init(&sha);
  sha1_update(&sha, key.size(), reinterpret_cast<const std::uint8_t*>(key.data()));
  sha1_update(&sha, kSuffix.size(), reinterpret_cast<const std::uint8_t*>(kSuffix.data()));
  std::array<std::uint8_t, SHA1_DIGEST_SIZE> digest{};
  sha1_digest(&sha, digest.size(), digest.data());
  std::string out(BASE64_ENCODE_RAW_LENGTH(SHA1_DIGEST_SIZE), '\0');
  base64_encode_raw(out.data(), digest.size(), digest.data());
  return out;
}
bool is_valid_key(std::string_view key) {  // base64 of 16 bytes
  if (key.size() != 24) return false;
  base64_decode_ctx decode;
  base64_decode_init(&decode);
  std::array<std::uint8_t, BASE64_DECODE_LENGTH(24)> out{};
  std::size_t n = 0;
  return base64_decode_update(&decode, &n, out.data(), key.size(), key.data()) == 1 && n == 16 &&
         base64_decode_final(&decode) == 1;
}

Handshake rejected(const char* status, const char* more = "") {
  return {
      Handshake::Result::rejected, "",
      std::string("HTTP/1.1 ") + status + "\r\n" + more + "Connection: close\r\nContent-Length: 0\r\n\r\n",
      0};
}

bool is_valid_close_code(int code) {
  return (code >= 1000 && code <= 1003) || (code >= 1007 && code <= 1011) || (code >= 3000 && code <= 4999);
}

std::string frame(int opcode, std::string_view payload) {
  std::string out(1, static_cast<char>(0x80 | opcode));
  const std::size_t n = payload.size();
  if (n < 126) {
    out += static_cast<char>(n);
  } else {
    const int bytes = n < 65536 ? 2 : 8;
    out += static_cast<char>(bytes == 2 ? 126 : 127);
    for (int i = bytes - 1; i >= 0; --i) out += static_cast<char>(n >> static_cast<unsigned>(8 * i));
  }
  return out.append(payload);
}

}  // namespace

Handshake read_handshake(std::string_view text, const std::vector<std::string>& paths,
                         const std::vector<std::string>& origins) {
  const std::size_t end = text.find("\r\n\r\n");
  if (end == std::string_view::npos)
    return text.size() > kMaxHeadBytes ? rejected("431 Request Header Fields Too Large") : Handshake{};
  if (end > kMaxHeadBytes) return rejected("431 Request Header Fields Too Large");
  std::string_view head = text.substr(0, end);
  const std::string_view first = head.substr(0, head.find("\r\n"));
  head.remove_prefix(std::min(first.size() + 2, head.size()));
  const std::size_t one = first.find(' ');
  const std::size_t two = first.find(' ', one == std::string_view::npos ? one : one + 1);
  if (two == std::string_view::npos || first.substr(two + 1) != "HTTP/1.1")
    return rejected("400 Bad Request");
  if (first.substr(0, one) != "GET") return rejected("405 Method Not Allowed", "Allow: GET\r\n");
  std::string path(first.substr(one + 1, two - one - 1));
  path = path.substr(0, path.find('?'));
  bool host = false;
  bool upgrade = false;
  bool connection = false;
  bool version = false;
  std::string key;
  std::string origin;
  for (std::size_t fields = 0; !head.empty(); ++fields) {
    if (fields == kMaxHeaderFields) return rejected("431 Request Header Fields Too Large");
    const std::string_view line = head.substr(0, head.find("\r\n"));
    head.remove_prefix(std::min(line.size() + 2, head.size()));
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0) return rejected("400 Bad Request");
    const std::string_view name = line.substr(0, colon);
    const std::string_view value = trimmed(line.substr(colon + 1));
    if (equal_ignoring_case(name, "Host")) host = !value.empty();
    if (equal_ignoring_case(name, "Upgrade")) upgrade = upgrade || list_contains(value, "websocket");
    if (equal_ignoring_case(name, "Connection")) connection = connection || list_contains(value, "upgrade");
    if (equal_ignoring_case(name, "Sec-WebSocket-Version")) version = value == "13";
    if (equal_ignoring_case(name, "Origin")) origin = value;
    if (equal_ignoring_case(name, "Sec-WebSocket-Key")) {
      if (!key.empty()) return rejected("400 Bad Request");
      key = value;
    }
  }
  if (std::find(paths.begin(), paths.end(), path) == paths.end()) return rejected("404 Not Found");
  if (!upgrade || !connection)
    return rejected("426 Upgrade Required", "Upgrade: websocket\r\nSec-WebSocket-Version: 13\r\n");
  if (!version) return rejected("426 Upgrade Required", "Sec-WebSocket-Version: 13\r\n");
  if (!host || !is_valid_key(key)) return rejected("400 Bad Request");
  // Guards callers against a foreign web page that drives their browser.
  if (!origin.empty() && !origins.empty() &&
      std::find(origins.begin(), origins.end(), origin) == origins.end())
    return rejected("403 Forbidden");
  return {Handshake::Result::accepted, path,
          "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
          "Sec-WebSocket-Accept: " +
              accept_key(key) + "\r\n\r\n",
          end + 4};
}

std::optional<Message> Assembler::fail(int code) {
  fault_ = code;
  return std::nullopt;
}

std::optional<Message> Assembler::next(std::string_view text, std::size_t& used) {
  used = 0;
  while (fault_ == 0) {
    const std::string_view rest = text.substr(used);
    const auto byte = [&rest](std::size_t i) { return static_cast<unsigned char>(rest[i]); };
    if (rest.size() < 2) return std::nullopt;
    const int opcode = byte(0) & 0x0f;
    const bool fin = (byte(0) & 0x80U) != 0;
    const bool control = opcode >= 8;
    if ((byte(0) & 0x70U) != 0 || (opcode > 2 && opcode < 8) || opcode > kOpPong) return fail(kProtocolError);
    if (((byte(1) & 0x80U) != 0) != masked_) return fail(kProtocolError);  // a client's frames are masked
    const std::size_t masking = masked_ ? 4 : 0;
    std::uint64_t length = byte(1) & 0x7fU;
    std::size_t at = 2;
    if (control && (!fin || length > kMaxControlPayload)) return fail(kProtocolError);
    if (length >= 126) {
      const std::size_t bytes = length == 126 ? 2 : 8;
      if (rest.size() < at + bytes) return std::nullopt;
      length = 0;
      for (std::size_t i = 0; i < bytes; ++i) length = length << 8U | byte(at + i);
      at += bytes;
      // The shortest encoding is required, and the highest bit must be clear.
      if (length < (bytes == 2 ? 126U : 65536U) || length >> 63U != 0) return fail(kProtocolError);
    }
    if (opcode == 2) return fail(kNotUnderstood);
    if (!control && (opcode == 0) != fragmented_) return fail(kProtocolError);
    if (!control && fragments_.size() + length > net::kMaxInputMessageBytes) return fail(kTooBig);
    if (rest.size() < at + masking + length) return std::nullopt;
    const std::string_view mask = rest.substr(at, masking);
    std::string payload(rest.substr(at + masking, length));
    for (std::size_t i = 0; masked_ && i < payload.size(); ++i)
      payload[i] = static_cast<char>(payload[i] ^ mask[i % 4]);
    used += at + masking + length;
    if (control) return finish_message(opcode, std::move(payload));
    fragments_ += payload;
    fragmented_ = !fin;
    if (!fin) continue;
    return finish_message(1, std::exchange(fragments_, {}));
  }
  return std::nullopt;
}

std::optional<Message> Assembler::finish_message(int opcode, std::string payload) {
  if (opcode == kOpPing) return Message{Message::Kind::ping, std::move(payload), 0};
  if (opcode == kOpPong) return Message{Message::Kind::pong, std::move(payload), 0};
  if (opcode == kOpClose) {
    if (payload.empty()) return Message{Message::Kind::close, "", 0};
    if (payload.size() < 2) return fail(kProtocolError);
    const int code = static_cast<unsigned char>(payload[0]) << 8 | static_cast<unsigned char>(payload[1]);
    if (!is_valid_close_code(code)) return fail(kProtocolError);
    if (!net::is_utf8(std::string_view(payload).substr(2))) return fail(kNotUtf8);
    return Message{Message::Kind::close, payload.substr(2), code};
  }
  if (!net::is_utf8(payload)) return fail(kNotUtf8);
  return Message{Message::Kind::text, std::move(payload), 0};
}

std::string client_frame(int opcode, std::string_view payload, std::string_view mask, bool fin) {
  std::string out = frame(opcode, payload);
  if (!fin) out[0] = static_cast<char>(out[0] & 0x7f);
  out[1] = static_cast<char>(out[1] | '\x80');
  const std::size_t head = out.size() - payload.size();
  out.insert(head, mask.substr(0, 4));
  for (std::size_t i = 0; i < payload.size(); ++i)
    out[head + 4 + i] = static_cast<char>(payload[i] ^ mask[i % 4]);
  return out;
}
std::string client_handshake(std::string_view host, std::string_view path, std::string_view key) {
  std::string out("GET ");
  out.append(path).append(" HTTP/1.1\r\nHost: ").append(host);
  out.append("\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\n");
  return out.append("Sec-WebSocket-Key: ").append(key).append("\r\n\r\n");
}
Handshake::Result read_accept(std::string_view text, std::string_view key, std::size_t& used) {
  const std::size_t end = text.find("\r\n\r\n");
  used = 0;
  if (end == std::string_view::npos)
    return text.size() > kMaxHeadBytes ? Handshake::Result::rejected : Handshake::Result::more;
  used = end + 4;
  const std::string accept = "Sec-WebSocket-Accept: " + accept_key(std::string(key)) + "\r\n";
  const bool good =
      text.substr(0, 13) == "HTTP/1.1 101 " && text.substr(0, end + 2).find(accept) != std::string_view::npos;
  return good ? Handshake::Result::accepted : Handshake::Result::rejected;
}

std::string text_frame(std::string_view payload) { return frame(1, payload); }
std::string control_frame(int opcode, std::string_view payload) {
  return frame(opcode, payload.substr(0, kMaxControlPayload));
}
std::string close_frame(int code, std::string_view reason) {
  std::string payload{static_cast<char>(code >> 8), static_cast<char>(code)};
  return control_frame(kOpClose, payload.append(reason));
}

}  // namespace reeltack::ws
