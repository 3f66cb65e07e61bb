// The fleet's messages as bytes. Must never hold state.
#include "fleet/link/codec.h"

#include "fleet/link/checks.h"
#include "fleet/link/wire.h"

namespace reeltack::fleet::link {
namespace {

// A message of this version whole, of another its envelope. `what` names it in errors.
template <class Wire, class Out>
Out parse(std::string_view bytes, const char* what) {
  const int size = static_cast<int>(bytes.size());
  Wire whole;
  const bool parsed = whole.ParseFromArray(bytes.data(), size);
  wire::Head head;
  if (!head.ParseFromArray(bytes.data(), size)) wrong(what, "no message of the protocol");
  if (!head.has_envelope()) wrong("envelope", "missing");
  try {
    const Envelope envelope = from_wire(head.envelope());
    if (!known(envelope.version)) {
      Out out;
      out.envelope = envelope;
      return out;
    }
    if (!parsed) wrong(what, "no message of the protocol");
    return from_wire(whole);
  } catch (CodecError& error) {
    if (head.envelope().has_from()) error.from = MemberId{head.envelope().from()};
    throw;
  }
}

}  // namespace

std::string encode(const members::Message& message) {
  std::string out = to_wire(message).SerializeAsString();
  if (out.size() > kMostDatagram) wrong("message", std::to_string(out.size()) + " bytes");
  return out;
}

std::string encode(const news::Message& news) {
  std::string out = to_wire(news).SerializeAsString();
  if (out.size() > kMostDatagram) wrong("news", std::to_string(out.size()) + " bytes");
  return out;
}

std::string encode(const Exchange& exchange) {
  const std::string body = to_wire(exchange).SerializeAsString();
  if (body.size() > kMostFrame) wrong("exchange", std::to_string(body.size()) + " bytes");
  std::string out;
  for (unsigned shift = 32; shift > 0; shift -= 8)
    out += static_cast<char>(static_cast<unsigned char>(body.size() >> (shift - 8) & 0xffU));
  return out + body;
}

std::size_t wire_size(const members::Message& message) { return to_wire(message).ByteSizeLong(); }
std::size_t wire_size(const news::Message& news) { return to_wire(news).ByteSizeLong(); }
std::size_t wire_size(const Exchange& exchange) {
  return kFrameLengthBytes + to_wire(exchange).ByteSizeLong();
}

members::Message decode_message(std::string_view datagram) {
  if (datagram.empty() || datagram.size() > kMaxReceivedDatagramBytes)
    wrong("message", std::to_string(datagram.size()) + " bytes");
  return parse<wire::Message, members::Message>(datagram, "message");
}

news::Message decode_push(std::string_view datagram) {
  if (datagram.empty() || datagram.size() > kMaxReceivedDatagramBytes)
    wrong("news", std::to_string(datagram.size()) + " bytes");
  return parse<wire::News, news::Message>(datagram, "news");
}

bool is_push(std::string_view datagram) {
  if (datagram.size() > kMaxReceivedDatagramBytes) return false;
  wire::News whole;
  static_cast<void>(whole.ParseFromArray(datagram.data(), static_cast<int>(datagram.size())));
  return whole.facts_size() > 0;
}

std::size_t frame_length(std::string_view first) {
  if (first.size() < kFrameLengthBytes) wrong("length", "cut");
  std::size_t length = 0;
  for (std::size_t i = 0; i < kFrameLengthBytes; ++i)
    length = length << 8U | static_cast<unsigned char>(first[i]);
  if (length == 0 || length > kMostFrame) wrong("length", std::to_string(length));
  return length;
}

Exchange decode_exchange(std::string_view body) {
  if (body.empty() || body.size() > kMostFrame) wrong("exchange", std::to_string(body.size()) + " bytes");
  return parse<wire::Exchange, Exchange>(body, "exchange");
}

}  // namespace reeltack::fleet::link
