// What a faulty link does: see the header.
#include "standin/model/faults.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace reeltack::standin {
namespace {

constexpr std::size_t kPiece = std::size_t{16} * 1024;
constexpr std::uint64_t kPiecesASecond = 20;

double join(double a, double b) { return std::min(a + b - a * b, 1.0); }  // exact where one is 0
Duration part(Duration whole, double of) {
  return Duration(std::llround(static_cast<double>(whole.count()) * of));
}

}  // namespace

Fault together(const Fault& a, const Fault& b) {
  Fault out;
  out.drop = join(a.drop, b.drop);
  out.delay = a.delay + b.delay;
  out.jitter = a.jitter + b.jitter;
  out.duplicate = join(a.duplicate, b.duplicate);
  out.reorder = join(a.reorder, b.reorder);
  out.hold = std::max(a.hold, b.hold);
  out.corrupt = join(a.corrupt, b.corrupt);
  out.cut = a.cut || b.cut;
  out.reset = a.reset || b.reset;
  out.refuse = a.refuse || b.refuse;
  out.throttle =
      a.throttle == 0 || b.throttle == 0 ? a.throttle + b.throttle : std::min(a.throttle, b.throttle);
  out.cut_after = a.cut_after;
  if (b.cut_after) out.cut_after = std::min(out.cut_after.value_or(*b.cut_after), *b.cut_after);
  return out;
}

std::string check_fault(const Fault& f) {
  const std::pair<const char*, double> parts[] = {
      {"drop", f.drop}, {"duplicate", f.duplicate}, {"reorder", f.reorder}, {"corrupt", f.corrupt}};
  for (const auto& [name, value] : parts) {
    if (!(value >= 0.0 && value <= 1.0)) return std::string(name) + " must be from 0 to 1";
  }
  if (f.delay < Duration{} || f.jitter < Duration{} || f.hold < Duration{})
    return "delay, jitter and hold must not be negative";
  if ((f.reorder > 0.0) != (f.hold > Duration{})) return "hold goes with reorder: how long one is held";
  return {};
}

LinkFaults::LinkFaults(std::uint64_t seed, std::string_view from, std::string_view to)
    : datagrams_(load::stream(seed, "datagrams " + std::string(from) + ">" + std::string(to))),
      pieces_(load::stream(seed, "pieces " + std::string(from) + ">" + std::string(to))) {}

void LinkFaults::set(Time now, const Fault& fault) {
  if (const std::string wrong = check_fault(fault); !wrong.empty()) throw std::invalid_argument(wrong);
  if (fault.throttle != fault_.throttle) free_at_ = now;
  if (fault.cut_after != fault_.cut_after) ++era_;
  fault_ = fault;
}

Time LinkFaults::through(Time now, std::size_t bytes) {
  if (fault_.throttle == 0) return now;
  const double seconds = static_cast<double>(bytes) / static_cast<double>(fault_.throttle);
  free_at_ = std::max(now, free_at_) + part(std::chrono::seconds(1), seconds);
  return free_at_;
}

void LinkFaults::note(std::uint64_t decision) { digest_ = load::mix(digest_ ^ load::mix(decision)); }

LinkFaults::Passage LinkFaults::datagram(Time now, std::size_t bytes) {
  told_ = std::max(told_, now);
  ++counts_.datagrams;
  counts_.bytes += bytes;
  // Always as many, so that one kind of fault never shifts the draws of another.
  std::array<double, 8> draw{};
  for (double& d : draw) d = load::uniform(datagrams_);
  const auto lost = [this](std::uint64_t& count, std::uint64_t why) {
    ++count;
    note(why);
    return Passage{};
  };
  if (fault_.cut) return lost(counts_.cut, 1);
  if (draw[0] < fault_.drop) return lost(counts_.dropped, 2);
  if (fault_.throttle != 0 && free_at_ > now + kMostQueued) return lost(counts_.overflowed, 3);

  const Time sent = through(now, bytes);
  Passage out;
  out.count = draw[1] < fault_.duplicate ? 2 : 1;
  const bool held = draw[2] < fault_.reorder;
  for (std::size_t i = 0; i < out.count; ++i) {
    Copy& copy = out.copies.at(i);
    copy.due = sent + fault_.delay + part(fault_.jitter, draw.at(3 + i));
    if (held && i == 0) copy.due += fault_.hold;
    if (draw[5] < fault_.corrupt && bytes > 0) {
      copy.changed = std::min(static_cast<std::size_t>(draw[6] * static_cast<double>(bytes)), bytes - 1);
      copy.mask = static_cast<std::uint8_t>(1U + static_cast<unsigned>(draw[7] * 255.0));
    }
    note(static_cast<std::uint64_t>((copy.due - now).count()) << 16U ^ copy.changed.value_or(0xffff) << 8U ^
         copy.mask);
  }
  ++counts_.passed;
  counts_.duplicated += out.count - 1;
  counts_.reordered += held ? 1 : 0;
  counts_.corrupted += out.copies[0].changed ? 1 : 0;
  counts_.delayed += out.copies[0].due > now ? 1 : 0;
  return out;
}

void LinkFaults::lost_on_the_way() {
  --counts_.passed;
  ++counts_.cut;
}

LinkFaults::Piece LinkFaults::piece(Time now, std::size_t bytes, Stream& stream) {
  told_ = std::max(told_, now);
  if (stream.era != era_) stream = {stream.last, 0, era_};
  Piece out;
  out.bytes = bytes;
  if (fault_.cut_after && stream.passed + bytes >= *fault_.cut_after) {
    out.bytes = static_cast<std::size_t>(*fault_.cut_after - stream.passed);
    out.reset = true;
  }
  const Duration jitter = part(fault_.jitter, load::uniform(pieces_));
  // Whatever the jitter, a stream keeps its order.
  out.due = stream.last = std::max(stream.last, through(now, out.bytes) + fault_.delay + jitter);
  stream.passed += out.bytes;
  counts_.stream_bytes += out.bytes;
  return out;
}

std::size_t LinkFaults::piece_size() const {
  if (fault_.throttle == 0) return kPiece;
  return static_cast<std::size_t>(std::clamp<std::uint64_t>(fault_.throttle / kPiecesASecond, 1, kPiece));
}

void LinkFaults::check() const {
  const LinkCounts& c = counts_;
  const auto fail = [](const char* what) { throw std::logic_error(what); };
  if (c.passed + c.dropped + c.cut + c.overflowed != c.datagrams) fail("datagrams do not add up");
  if (!check_fault(fault_).empty()) fail("a fault is out of bounds");
  if (fault_.throttle == 0) return;
  const double longest =
      (65'536.0 + static_cast<double>(kPiece)) / static_cast<double>(fault_.throttle) + 2.0;
  if (c.stream_bytes == 0 && free_at_ > told_ + kMostQueued + part(std::chrono::seconds(1), longest))
    fail("a throttled link holds more than its queue");
}

}  // namespace reeltack::standin
