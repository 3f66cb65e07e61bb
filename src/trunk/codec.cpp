#include "trunk/codec.h"

#include <algorithm>

#include "base/json.h"
#include "trunk.pb.h"

namespace reeltack::trunk {
namespace {

constexpr std::size_t kMostName = 64;
constexpr std::uint32_t kLongestWait = 3'600'000;  // ms

std::string delimited(const wire::Frame& frame) {
  const std::string body = frame.SerializeAsString();
  if (body.size() > kMostFrame) throw CodecError("a frame of " + std::to_string(body.size()) + " bytes");
  std::string out;
  for (std::size_t n = body.size();; n >>= 7U) {
    const auto low = static_cast<unsigned char>(n & 0x7fU);
    out += static_cast<char>(n > 0x7fU ? low | 0x80U : low);
    if (n <= 0x7fU) break;
  }
  return out + body;
}

circuits::Message read_message(const wire::Signal& s) {
  circuits::Message m;
  if (s.kind() < wire::Signal::IAM || s.kind() > wire::Signal::CQR)
    throw CodecError("a signal of the unknown kind " + std::to_string(static_cast<int>(s.kind())));
  m.kind = static_cast<circuits::Kind>(s.kind());
  m.cic = s.circuit();
  m.count = s.count();
  m.call = s.call();
  if (s.cause() > 127) throw CodecError("a cause beyond Q.850: " + std::to_string(s.cause()));
  m.cause = static_cast<int>(s.cause());
  m.sequence = s.sequence();
  m.received = s.heard();
  m.token = s.token();
  m.status.reserve(static_cast<std::size_t>(s.words_size()));
  for (const wire::Word& w : s.words()) {
    if (w.state() > 3) throw CodecError("a circuit in the unknown state " + std::to_string(w.state()));
    m.status.push_back(
        {static_cast<circuits::CircuitStatus::State>(w.state()), w.standing(), w.heard(), w.call()});
  }
  return m;
}

}  // namespace

std::string encode(const Hello& h) {
  wire::Frame frame;
  wire::Hello& out = *frame.mutable_hello();
  out.set_version(h.version);
  out.set_group(h.group);
  out.set_circuits(h.circuits);
  out.set_point_code(h.point_code);
  out.set_far_point_code(h.far_point_code);
  out.set_controls_even(h.controls_even);
  out.set_incarnation(h.incarnation);
  return delimited(frame);
}

std::string encode(const Signal& s) {
  wire::Frame frame;
  wire::Signal& out = *frame.mutable_signal();
  const circuits::Message& m = s.message;
  out.set_kind(static_cast<wire::Signal::Kind>(m.kind));
  out.set_circuit(m.cic);
  out.set_count(m.count);
  out.set_call(m.call);
  out.set_cause(static_cast<std::uint32_t>(m.cause));
  out.set_sequence(m.sequence);
  out.set_heard(m.received);
  out.set_token(m.token);
  for (const circuits::CircuitStatus& w : m.status) {
    wire::Word& word = *out.add_words();
    word.set_state(static_cast<std::uint32_t>(w.state));
    word.set_standing(w.established);
    word.set_heard(w.received);
    word.set_call(w.call);
  }
  if (m.kind == circuits::Kind::iam) {
    wire::SetUp& set_up = *out.mutable_set_up();
    set_up.set_call_class(s.set_up.call_class);
    set_up.set_number(s.set_up.number);
    set_up.set_patience_ms(s.set_up.patience_ms);
    set_up.set_first_choice(s.set_up.first_choice);
    set_up.set_again(s.set_up.again);
  }
  out.set_description(s.description);
  out.set_later_ms(s.later_ms);
  return delimited(frame);
}

std::string encode_ping() {
  wire::Frame frame;
  frame.set_ping(true);
  return delimited(frame);
}

std::optional<Frame> decode(std::string_view bytes, std::size_t& used) {
  used = 0;
  std::size_t length = 0;
  std::size_t at = 0;
  for (;; ++at) {
    if (at == 3) throw CodecError("a length of more than three bytes");
    if (at >= bytes.size()) return std::nullopt;
    const auto byte = static_cast<unsigned char>(bytes[at]);
    length |= static_cast<std::size_t>(byte & 0x7fU) << (7U * at);
    if ((byte & 0x80U) == 0) break;
  }
  ++at;
  if (length == 0 || length > kMostFrame) throw CodecError("a frame of " + std::to_string(length) + " bytes");
  if (bytes.size() < at + length) return std::nullopt;
  wire::Frame frame;
  if (!frame.ParseFromArray(bytes.data() + at, static_cast<int>(length)))
    throw CodecError("no frame of the protocol");
  Frame out;
  switch (frame.content_case()) {
    case wire::Frame::kHello: {
      const wire::Hello& h = frame.hello();
      if (h.group().size() > kMostName)
        throw CodecError("a group's name of " + std::to_string(h.group().size()) + " bytes");
      out.hello = {h.version(),        h.group(),         h.circuits(),   h.point_code(),
                   h.far_point_code(), h.controls_even(), h.incarnation()};
      break;
    }
    case wire::Frame::kSignal: {
      const wire::Signal& s = frame.signal();
      Signal signal;
      signal.message = read_message(s);
      signal.description = s.description();
      signal.later_ms = std::min(s.later_ms(), kLongestWait);
      if (s.kind() == wire::Signal::IAM) {
        if (!s.has_set_up() || s.set_up().call_class().size() > kMostName ||
            s.set_up().patience_ms() > kLongestWait || s.set_up().first_choice() > 65535)
          throw CodecError("a seizure whose set-up is missing or out of range");
        const wire::SetUp& u = s.set_up();
        signal.set_up = {u.call_class(), u.number(), u.patience_ms(), u.first_choice(), u.again()};
      }
      // What is passed on must be text: an office's wire is JSON.
      if (!base::is_utf8(signal.description)) throw CodecError("a description that is no UTF-8");
      out.signal = std::move(signal);
      break;
    }
    case wire::Frame::kPing:
      break;
    case wire::Frame::CONTENT_NOT_SET:
      throw CodecError("an empty frame");
  }
  used = at + length;
  return out;
}

}  // namespace reeltack::trunk
