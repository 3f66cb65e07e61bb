// Encodes replies: one record per action, big-endian.
#include <algorithm>

#include "record_codes.h"
#include "wire.h"

namespace reeltack::wire {

namespace {

constexpr std::uint16_t kAllPeers = 0xffff;  // as the receiver of a message: every other instance
constexpr std::size_t kMaxPeerMessageBytes = 256;

template <typename Int>
void put(Bytes& out, Int value) {
  for (std::size_t i = sizeof(Int); i-- > 0;) {
    out.push_back(static_cast<std::uint8_t>(static_cast<std::uint64_t>(value) >> (8 * i)));
  }
}

std::uint64_t nanoseconds(Time time) { return static_cast<std::uint64_t>(time.time_since_epoch().count()); }

// Appends the length and the text, cut to `max_length` bytes.
void put_text(Bytes& out, std::span<const std::uint8_t> text, std::size_t max_length) {
  const std::size_t length = std::min(text.size(), max_length);
  put(out, static_cast<std::uint16_t>(length));
  out.insert(out.end(), text.begin(), text.begin() + static_cast<std::ptrdiff_t>(length));
}

std::span<const std::uint8_t> bytes_of(const std::string& text) {
  return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

// Appends the fields of an action to `out` and returns the code of its record.
struct ActionEncoder {
  Bytes& out;

  ActionCode operator()(const SendSetUp& send) const {
    put(out, static_cast<std::uint64_t>(send.call));
    put(out, static_cast<std::uint32_t>(send.server));
    put(out, nanoseconds(send.expires_at));
    return ActionCode::send_set_up;
  }
  ActionCode operator()(const Refuse& refuse) const {
    put(out, static_cast<std::uint64_t>(refuse.call));
    put(out, static_cast<std::uint64_t>(std::max<Duration::rep>(refuse.retry_after.count(), 0)));
    return ActionCode::refuse;
  }
  ActionCode operator()(const Fail& fail) const {
    put(out, static_cast<std::uint64_t>(fail.call));
    return ActionCode::fail;
  }
  ActionCode operator()(const CancelAttempt& cancel) const {
    put(out, static_cast<std::uint64_t>(cancel.call));
    put(out, static_cast<std::uint16_t>(cancel.attempt));
    return ActionCode::cancel_attempt;
  }
  ActionCode operator()(const SetTimer& timer) const {
    put(out, nanoseconds(timer.at));
    put(out, static_cast<std::uint64_t>(timer.token));
    return ActionCode::set_timer;
  }
  ActionCode operator()(const ProbeServer& probe) const {
    put(out, static_cast<std::uint32_t>(probe.server));
    return ActionCode::probe_server;
  }
  ActionCode operator()(const CloseIdleConnections& close) const {
    put(out, static_cast<std::uint32_t>(close.server));
    return ActionCode::close_idle_connections;
  }
  ActionCode operator()(const SendToPeers& message) const {
    put(out, kAllPeers);
    put_text(out, message.bytes, kMaxPeerMessageBytes);
    return ActionCode::tell_peers;
  }
  ActionCode operator()(const LogLine& line) const {
    put_text(out, bytes_of(line.text), UINT16_MAX);
    return ActionCode::log_line;
  }
  ActionCode operator()(const SubscribeToServerList& subscribe) const {
    put(out, static_cast<std::uint8_t>(subscribe.on ? 1 : 0));
    return ActionCode::subscribe_to_list;
  }
  ActionCode operator()(const FetchServerList& /*fetch*/) const { return ActionCode::fetch_list; }
};

void put_record(Bytes& body, ActionCode code, const Bytes& fields) {
  body.push_back(static_cast<std::uint8_t>(code));
  put(body, static_cast<std::uint32_t>(fields.size()));
  body.insert(body.end(), fields.begin(), fields.end());
}

}  // namespace

void ReplyWriter::about(std::uint32_t instance) {
  Bytes fields;
  put(fields, instance);
  put_record(body_, ActionCode::about, fields);
  ++records_;
}

void ReplyWriter::action(const Action& action) {
  Bytes fields;
  const ActionCode code = std::visit(ActionEncoder{fields}, action);
  put_record(body_, code, fields);
  ++records_;
}

void ReplyWriter::die(const std::string& line) {
  Bytes fields;
  put_text(fields, bytes_of(line), UINT16_MAX);
  put_record(body_, ActionCode::die, fields);
  ++records_;
}

Bytes ReplyWriter::finish() const {
  Bytes frame;
  put(frame, number_);
  put(frame, static_cast<std::uint32_t>(body_.size() + 4));
  put(frame, records_);
  frame.insert(frame.end(), body_.begin(), body_.end());
  return frame;
}

}  // namespace reeltack::wire
