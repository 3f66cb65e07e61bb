// Decodes batches: the frame header, then each record by its code.
#include <algorithm>
#include <optional>
#include <utility>

#include "field_reader.h"
#include "record_codes.h"
#include "wire.h"

namespace reeltack::wire {

namespace {

constexpr std::size_t kRecordHeaderBytes = 5;  // code and length

// Truncates to an integer; values out of range and NaN become the nearest bound or 0.
std::uint32_t to_uint32(float value) {
  if (!(value >= 0.0F)) return 0;
  return value >= 4294967040.0F ? UINT32_MAX : static_cast<std::uint32_t>(value);
}

AttemptOutcome outcome_of(std::uint16_t code, std::size_t offset) {
  switch (code) {
    case 0:
      return AttemptOutcome::ok;
    case 1:
      return AttemptOutcome::cancelled;
    case 4:
      return AttemptOutcome::timeout;
    case 8:
      return AttemptOutcome::full;
    case 9:
      return AttemptOutcome::not_sent;
    case 10:
      return AttemptOutcome::reset;
    case 13:
      return AttemptOutcome::busy_or_error;
    case 14:
      return AttemptOutcome::connect_failed;
    default:
      throw WireError("unknown attempt outcome " + std::to_string(code) + " before byte " +
                      std::to_string(offset));
  }
}

List read_list(FieldReader& in) {
  List list;
  list.number = in.take<std::uint8_t>();
  const auto count = in.take<std::uint32_t>();
  constexpr std::size_t kEntryBytes = 22;
  list.entries.reserve(std::min<std::size_t>(count, in.remaining() / kEntryBytes));
  for (std::uint32_t i = 0; i < count; ++i) {
    ServerEntry entry;
    in.take<std::uint16_t>();  // zone
    in.take<std::uint8_t>();   // kind
    entry.capacity = in.take_float();
    const auto state = in.take<std::uint8_t>();
    if (state > 2) throw WireError("unknown server state before byte " + std::to_string(in.offset()));
    entry.state = state == 1 ? ServerState::ready : state == 2 ? ServerState::draining : ServerState::gone;
    entry.place = in.take<std::uint16_t>();
    entry.started_at = in.take_time();
    entry.server = ServerId{in.take<std::uint32_t>()};
    list.entries.push_back(entry);
  }
  return list;
}

CallArrived read_call_arrived(FieldReader& in) {
  CallArrived call;
  call.call = CallId{in.take<std::uint64_t>()};
  in.take_float();  // lines wanted: the class determines them as well
  call.number = CalledNumber{in.take<std::uint64_t>()};
  call.tenant = in.take<std::uint16_t>();
  call.work_hint = in.take_duration();
  call.caller_leaves_at = in.take_time();
  call.call_class = in.take<std::uint16_t>();
  in.take_float();  // advised route or origin: not used
  const auto flags = in.take<std::uint8_t>();
  call.redial = (flags & 2U) != 0;
  call.in_transit = (flags & 8U) != 0;
  call.dropped_before = (flags & 16U) != 0;
  call.destination = to_uint32(in.take_float());
  return call;
}

Finished read_finished(FieldReader& in) {
  Finished finished;
  AttemptEnded& ended = finished.ended;
  ended.call = CallId{in.take<std::uint64_t>()};
  const auto reason_code = in.take<std::uint32_t>();
  ended.attempt = in.take<std::uint16_t>();
  ended.server = ServerId{in.take<std::uint32_t>()};
  ended.call_ended = in.take<std::uint8_t>() != 0;
  ended.outcome = outcome_of(in.take<std::uint16_t>(), in.offset());
  ended.elapsed = in.take_duration();
  finished.values = in.take_floats();
  switch (reason_code % 16) {
    case 1:
      ended.reason = FullReason::no_lines;
      break;
    case 2:
      ended.reason = FullReason::rejected;
      break;
    case 3:
      ended.reason = FullReason::processor;
      break;
    case 4:
      ended.number_busy = ended.outcome == AttemptOutcome::busy_or_error;
      break;
    default:
      break;
  }
  if (ended.reason == FullReason::processor)
    ended.requested_wait = std::chrono::milliseconds{reason_code / 16};
  return finished;
}

PeerMessageReceived read_peer_message(FieldReader& in) {
  PeerMessageReceived message;
  message.gateway = in.take<std::uint32_t>();
  const auto bytes = in.take_bytes(in.take<std::uint16_t>());
  message.bytes.assign(bytes.begin(), bytes.end());
  return message;
}

CallEstablished read_call_established(FieldReader& in) {
  CallEstablished established;
  established.call = CallId{in.take<std::uint64_t>()};
  established.attempt = in.take<std::uint16_t>();
  established.server = ServerId{in.take<std::uint32_t>()};
  established.elapsed = in.take_duration();
  return established;
}

Announce read_announce(FieldReader& in) {
  Announce announce;
  announce.version = in.take<std::uint64_t>();
  const auto form = in.take<std::uint8_t>();
  if (form > 3) throw WireError("unknown form of list before byte " + std::to_string(in.offset()));
  announce.form = static_cast<AnnounceForm>(form);
  announce.list = in.take<std::uint8_t>();
  return announce;
}

Launch read_launch(FieldReader& in) {
  Launch launch;
  launch.seed = in.take<std::uint64_t>();
  const auto text = in.take_bytes(in.take<std::uint32_t>());
  launch.params.assign(text.begin(), text.end());
  return launch;
}

PingResult read_ping_result(FieldReader& in) {
  PingResult result;
  result.reported.ok = in.take<std::uint16_t>() == 0;
  result.reported.elapsed = in.take_duration();
  result.reported.server = ServerId{in.take<std::uint32_t>()};
  result.values = in.take_floats();
  return result;
}

// Returns nothing for an unknown code; the caller skips such a record.
std::optional<Record> read_record(std::uint8_t code, FieldReader& in) {
  switch (static_cast<EventCode>(code)) {
    case EventCode::list:
      return read_list(in);
    case EventCode::call_arrived:
      return read_call_arrived(in);
    case EventCode::caller_left:
      return CallerLeft{CallId{in.take<std::uint64_t>()}};
    case EventCode::peer_said:
      return read_peer_message(in);
    case EventCode::call_stands:
      return read_call_established(in);
    case EventCode::announce:
      return read_announce(in);
    case EventCode::launch:
      return read_launch(in);
    case EventCode::ping_result:
      return read_ping_result(in);
    case EventCode::finished:
      return read_finished(in);
    case EventCode::about:
      return About{in.take<std::uint32_t>()};
    case EventCode::teardown:
      return Teardown{};
    case EventCode::timer_fired:
      return TimerFired{TimerToken{in.take<std::uint64_t>()}};
  }
  return std::nullopt;
}

}  // namespace

std::uint32_t body_length(std::span<const std::uint8_t> header) {
  FieldReader in(header, 0, "header");
  in.take_bytes(12);
  const auto after_length = in.take<std::uint32_t>();
  if (after_length < 4) throw WireError("length at byte 12 is under 4: no room for the number of records");
  return after_length - 4;
}

Batch decode_batch(std::span<const std::uint8_t> frame) {
  FieldReader in(frame, 0, "batch");
  Batch batch;
  batch.number = in.take<std::uint32_t>();
  batch.now = in.take_time();
  in.take<std::uint32_t>();  // length: the frame has exactly that size
  const auto count = in.take<std::uint32_t>();
  batch.records.reserve(std::min<std::size_t>(count, in.remaining() / kRecordHeaderBytes));
  for (std::uint32_t i = 0; i < count; ++i) {
    const auto code = in.take<std::uint8_t>();
    const auto length = in.take<std::uint32_t>();
    const std::size_t start = in.offset();
    FieldReader fields(in.take_bytes(length), start, "record");
    if (auto record = read_record(code, fields)) batch.records.push_back(std::move(*record));
  }
  if (in.remaining() != 0)
    throw WireError("bytes after the last record, at byte " + std::to_string(in.offset()));
  return batch;
}

}  // namespace reeltack::wire
