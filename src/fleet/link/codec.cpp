// Serialisation of the fleet's messages with protobuf.
#include "fleet/link/codec.h"

#include "fleet/link/checks.h"
#include "fleet/link/wire.h"

namespace reeltack::fleet::link {
namespace {

// Reads a complete message of a supported version; of any other version only the envelope. `name` is the
// message's name in error texts.
template <class Wire, class Out>
Out parse(std::string_view bytes, const char* name) {
  const int size = static_cast<int>(bytes.size());
  Wire wire_message;
  const bool parsed = wire_message.ParseFromArray(bytes.data(), size);
  wire::Head head;
  if (!head.ParseFromArray(bytes.data(), size)) throw_field_error(name, "not a message of the protocol");
  if (!head.has_envelope()) throw_field_error("envelope", "missing");
  try {
    const Envelope envelope = from_wire(head.envelope());
    if (!is_supported(envelope.version)) {
      Out out;
      out.envelope = envelope;
      return out;
    }
    if (!parsed) throw_field_error(name, "not a message of the protocol");
    return from_wire(wire_message);
  } catch (CodecError& error) {
    if (head.envelope().has_from()) error.from = MemberId{head.envelope().from()};
    throw;
  }
}

}  // namespace

std::string encode(const members::Message& message) {
  std::string out = to_wire(message).SerializeAsString();
  if (out.size() > kMaxDatagramBytes) throw_field_error("message", std::to_string(out.size()) + " bytes");
  return out;
}

std::string encode(const eager_push::Message& push) {
  std::string out = to_wire(push).SerializeAsString();
  if (out.size() > kMaxDatagramBytes) throw_field_error("news", std::to_string(out.size()) + " bytes");
  return out;
}

std::string encode(const Exchange& exchange) {
  const std::string body = to_wire(exchange).SerializeAsString();
  if (body.size() > kMaxFrameBytes) throw_field_error("exchange", std::to_string(body.size()) + " bytes");
  std::string out;
  for (unsigned shift = 32; shift > 0; shift -= 8)
    out += static_cast<char>(static_cast<unsigned char>(body.size() >> (shift - 8) & 0xffU));
  return out + body;
}

std::size_t wire_size(const members::Message& message) { return to_wire(message).ByteSizeLong(); }
std::size_t wire_size(const eager_push::Message& push) { return to_wire(push).ByteSizeLong(); }
std::size_t wire_size(const Exchange& exchange) {
  return kFrameLengthBytes + to_wire(exchange).ByteSizeLong();
}

members::Message decode_message(std::string_view datagram) {
  if (datagram.empty() || datagram.size() > kMaxReceivedDatagramBytes)
    throw_field_error("message", std::to_string(datagram.size()) + " bytes");
  return parse<wire::Message, members::Message>(datagram, "message");
}

eager_push::Message decode_push(std::string_view datagram) {
  if (datagram.empty() || datagram.size() > kMaxReceivedDatagramBytes)
    throw_field_error("news", std::to_string(datagram.size()) + " bytes");
  return parse<wire::News, eager_push::Message>(datagram, "news");
}

bool is_push(std::string_view datagram) {
  if (datagram.size() > kMaxReceivedDatagramBytes) return false;
  wire::News wire_message;
  static_cast<void>(wire_message.ParseFromArray(datagram.data(), static_cast<int>(datagram.size())));
  return wire_message.facts_size() > 0;
}

std::size_t frame_length(std::string_view first) {
  if (first.size() < kFrameLengthBytes) throw_field_error("length", "truncated");
  std::size_t length = 0;
  for (std::size_t i = 0; i < kFrameLengthBytes; ++i)
    length = length << 8U | static_cast<unsigned char>(first[i]);
  if (length == 0 || length > kMaxFrameBytes) throw_field_error("length", std::to_string(length));
  return length;
}

Exchange decode_exchange(std::string_view body) {
  if (body.empty() || body.size() > kMaxFrameBytes)
    throw_field_error("exchange", std::to_string(body.size()) + " bytes");
  return parse<wire::Exchange, Exchange>(body, "exchange");
}

}  // namespace reeltack::fleet::link
