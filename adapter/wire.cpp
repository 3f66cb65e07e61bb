#include "wire.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <optional>

namespace reeltack::wire {
namespace {

class Reader {
 public:
  Reader(std::span<const std::uint8_t> bytes, std::size_t offset, const char* what)
      : bytes_(bytes), offset_(offset), what_(what) {}

  template <typename Int>
  Int take() {
    need(sizeof(Int));
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(Int); ++i) value = value << 8U | bytes_[at_ + i];
    at_ += sizeof(Int);
    return static_cast<Int>(value);
  }
  float take_float() { return std::bit_cast<float>(take<std::uint32_t>()); }
  Duration take_duration() {
    const auto ns = take<std::uint64_t>();
    return Duration{static_cast<Duration::rep>(std::min<std::uint64_t>(ns, INT64_MAX))};
  }
  Time take_time() { return Time{take_duration()}; }
  std::span<const std::uint8_t> take_bytes(std::size_t count) {
    need(count);
    const auto part = bytes_.subspan(at_, count);
    at_ += count;
    return part;
  }
  std::vector<float> take_floats() {
    std::vector<float> values(take<std::uint8_t>());
    for (float& value : values) value = take_float();
    return values;
  }
  [[nodiscard]] std::size_t left() const { return bytes_.size() - at_; }
  [[nodiscard]] std::size_t offset() const { return offset_ + at_; }

 private:
  void need(std::size_t count) const {
    if (left() >= count) return;
    throw WireError(std::string(what_) + " cut short at byte " + std::to_string(offset()) + ": " +
                    std::to_string(count) + " bytes wanted, " + std::to_string(left()) + " left");
  }
  std::span<const std::uint8_t> bytes_;
  std::size_t offset_;
  const char* what_;
  std::size_t at_ = 0;
};

std::uint32_t whole(float value) {
  if (!(value >= 0.0F)) return 0;
  return value >= 4294967040.0F ? UINT32_MAX : static_cast<std::uint32_t>(value);
}

Ending ending_of(std::uint16_t code, std::size_t offset) {
  switch (code) {
    case 0:
      return Ending::ok;
    case 1:
      return Ending::cancelled;
    case 4:
      return Ending::timeout;
    case 8:
      return Ending::full;
    case 9:
      return Ending::not_sent;
    case 10:
      return Ending::reset;
    case 13:
      return Ending::busy_or_error;
    case 14:
      return Ending::connect_failed;
    default:
      throw WireError("unknown ending " + std::to_string(code) + " before byte " + std::to_string(offset));
  }
}

List read_list(Reader& in) {
  List list;
  list.number = in.take<std::uint8_t>();
  const auto count = in.take<std::uint32_t>();
  constexpr std::size_t kEntryBytes = 22;
  list.entries.reserve(std::min<std::size_t>(count, in.left() / kEntryBytes));
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

CallArrived read_incoming(Reader& in) {
  CallArrived call;
  call.call = CallId{in.take<std::uint64_t>()};
  in.take_float();  // lines wanted: told by the class as well
  call.number = NumberCalled{in.take<std::uint64_t>()};
  call.tenant = in.take<std::uint16_t>();
  call.work_hint = in.take_duration();
  call.caller_leaves = in.take_time();
  call.call_class = in.take<std::uint16_t>();
  in.take_float();  // advised route or origin: not used
  const auto bits = in.take<std::uint8_t>();
  call.redial = (bits & 2U) != 0;
  call.in_transit = (bits & 8U) != 0;
  call.cut_before = (bits & 16U) != 0;
  call.destination = whole(in.take_float());
  return call;
}

Finished read_finished(Reader& in) {
  Finished finished;
  AttemptEnded& ended = finished.ended;
  ended.call = CallId{in.take<std::uint64_t>()};
  const auto why = in.take<std::uint32_t>();
  ended.attempt = in.take<std::uint16_t>();
  ended.server = ServerId{in.take<std::uint32_t>()};
  ended.call_over = in.take<std::uint8_t>() != 0;
  ended.ending = ending_of(in.take<std::uint16_t>(), in.offset());
  ended.elapsed = in.take_duration();
  finished.values = in.take_floats();
  switch (why % 16) {
    case 1:
      ended.reason = FullReason::no_lines;
      break;
    case 2:
      ended.reason = FullReason::turned_back;
      break;
    case 3:
      ended.reason = FullReason::processor;
      break;
    case 4:
      ended.number_busy = ended.ending == Ending::busy_or_error;
      break;
    default:
      break;
  }
  if (ended.reason == FullReason::processor) ended.told_wait = std::chrono::milliseconds{why / 16};
  return finished;
}

std::optional<Record> read_record(std::uint8_t code, Reader& in) {
  switch (code) {
    case 0:
      return read_list(in);
    case 1:
      return read_incoming(in);
    case 2:
      return CallerLeft{CallId{in.take<std::uint64_t>()}};
    case 3: {
      PeerSaid said;
      said.gateway = in.take<std::uint32_t>();
      const auto bytes = in.take_bytes(in.take<std::uint16_t>());
      said.bytes.assign(bytes.begin(), bytes.end());
      return said;
    }
    case 4: {
      CallStands stands;
      stands.call = CallId{in.take<std::uint64_t>()};
      stands.attempt = in.take<std::uint16_t>();
      stands.server = ServerId{in.take<std::uint32_t>()};
      stands.elapsed = in.take_duration();
      return stands;
    }
    case 5: {
      Announce announce;
      announce.version = in.take<std::uint64_t>();
      const auto form = in.take<std::uint8_t>();
      if (form > 3) throw WireError("unknown form of list before byte " + std::to_string(in.offset()));
      announce.form = static_cast<AnnounceForm>(form);
      announce.list = in.take<std::uint8_t>();
      return announce;
    }
    case 6: {
      Launch launch;
      launch.seed = in.take<std::uint64_t>();
      const auto text = in.take_bytes(in.take<std::uint32_t>());
      launch.params.assign(text.begin(), text.end());
      return launch;
    }
    case 7: {
      PingResult result;
      result.reported.ok = in.take<std::uint16_t>() == 0;
      result.reported.elapsed = in.take_duration();
      result.reported.server = ServerId{in.take<std::uint32_t>()};
      result.values = in.take_floats();
      return result;
    }
    case 8:
      return read_finished(in);
    case 9:
      return About{in.take<std::uint32_t>()};
    case 10:
      return Teardown{};
    case 11:
      return TimerFired{TimerToken{in.take<std::uint64_t>()}};
    default:
      return std::nullopt;
  }
}

template <typename Int>
void put(Bytes& out, Int value) {
  for (std::size_t i = sizeof(Int); i-- > 0;) {
    out.push_back(static_cast<std::uint8_t>(static_cast<std::uint64_t>(value) >> (8 * i)));
  }
}

std::uint64_t raw(Time time) { return static_cast<std::uint64_t>(time.time_since_epoch().count()); }

void put_text(Bytes& out, std::span<const std::uint8_t> text, std::size_t most) {
  const std::size_t length = std::min(text.size(), most);
  put(out, static_cast<std::uint16_t>(length));
  out.insert(out.end(), text.begin(), text.begin() + static_cast<std::ptrdiff_t>(length));
}

std::span<const std::uint8_t> bytes_of(const std::string& text) {
  return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

struct ActionEncoder {
  Bytes& out;

  std::uint8_t operator()(const SendSetUp& send) const {
    put(out, static_cast<std::uint64_t>(send.call));
    put(out, static_cast<std::uint32_t>(send.server));
    put(out, raw(send.give_up));
    return 0;
  }
  std::uint8_t operator()(const Refuse& refuse) const {
    put(out, static_cast<std::uint64_t>(refuse.call));
    put(out, static_cast<std::uint64_t>(std::max<Duration::rep>(refuse.retry_after.count(), 0)));
    return 1;
  }
  std::uint8_t operator()(const Fail& fail) const {
    put(out, static_cast<std::uint64_t>(fail.call));
    return 2;
  }
  std::uint8_t operator()(const CancelAttempt& cancel) const {
    put(out, static_cast<std::uint64_t>(cancel.call));
    put(out, static_cast<std::uint16_t>(cancel.attempt));
    return 3;
  }
  std::uint8_t operator()(const SetTimer& timer) const {
    put(out, raw(timer.at));
    put(out, static_cast<std::uint64_t>(timer.token));
    return 4;
  }
  std::uint8_t operator()(const ProbeServer& probe) const {
    put(out, static_cast<std::uint32_t>(probe.server));
    return 5;
  }
  std::uint8_t operator()(const CloseIdleConnections& close) const {
    put(out, static_cast<std::uint32_t>(close.server));
    return 6;
  }
  std::uint8_t operator()(const TellPeers& tell) const {
    put(out, std::uint16_t{0xffff});
    put_text(out, tell.bytes, 256);
    return 7;
  }
  std::uint8_t operator()(const LogLine& line) const {
    put_text(out, bytes_of(line.text), UINT16_MAX);
    return 8;
  }
  std::uint8_t operator()(const SubscribeToList& subscribe) const {
    put(out, static_cast<std::uint8_t>(subscribe.on ? 1 : 0));
    return 10;
  }
  std::uint8_t operator()(const FetchList& /*fetch*/) const { return 11; }
};

void put_record(Bytes& body, std::uint8_t code, const Bytes& fields) {
  body.push_back(code);
  put(body, static_cast<std::uint32_t>(fields.size()));
  body.insert(body.end(), fields.begin(), fields.end());
}

}  // namespace

std::uint32_t body_length(std::span<const std::uint8_t> header) {
  Reader in(header, 0, "header");
  in.take_bytes(12);
  const auto after_length = in.take<std::uint32_t>();
  if (after_length < 4) throw WireError("length at byte 12 is under 4: no room for the number of records");
  return after_length - 4;
}

Batch decode_batch(std::span<const std::uint8_t> frame) {
  Reader in(frame, 0, "batch");
  Batch batch;
  batch.number = in.take<std::uint32_t>();
  batch.now = in.take_time();
  in.take<std::uint32_t>();  // length: the frame holds just so much
  const auto count = in.take<std::uint32_t>();
  batch.records.reserve(std::min<std::size_t>(count, in.left() / 5));
  for (std::uint32_t i = 0; i < count; ++i) {
    const auto code = in.take<std::uint8_t>();
    const auto length = in.take<std::uint32_t>();
    const std::size_t start = in.offset();
    Reader fields(in.take_bytes(length), start, "record");
    if (auto record = read_record(code, fields)) batch.records.push_back(std::move(*record));
  }
  if (in.left() != 0) throw WireError("bytes after the last record, at byte " + std::to_string(in.offset()));
  return batch;
}

void ReplyWriter::about(std::uint32_t instance) {
  Bytes fields;
  put(fields, instance);
  put_record(body_, 12, fields);
  ++records_;
}

void ReplyWriter::action(const Action& action) {
  Bytes fields;
  const std::uint8_t code = std::visit(ActionEncoder{fields}, action);
  put_record(body_, code, fields);
  ++records_;
}

void ReplyWriter::die(const std::string& line) {
  Bytes fields;
  put_text(fields, bytes_of(line), UINT16_MAX);
  put_record(body_, 9, fields);
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
