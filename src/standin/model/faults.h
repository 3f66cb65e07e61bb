// What a faulty link does to what passes: one directed link between two controllers.
//
// Owns: the decisions on each datagram and each piece of a stream, their draws, and counts of both.
// Must never: read a clock, do I/O, know what a message means, or judge.
//
// Told the time and sizes, returns what passes and when. The n-th datagram of a link has the same draws for
// the same seed and names, whatever faults stood before it. A stream keeps its order. Times that are told
// never go back. Threads: one at a time. Errors: check_fault says what is out of bounds; check() throws
// std::logic_error.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "load/plan/draws.h"
#include "reeltack/controller.h"

namespace reeltack::standin {

// All of it may stand at once. Probabilities are of 1, of each datagram alone.
struct Fault {
  double drop = 0.0;
  Duration delay{};          // of datagrams and of streams' bytes
  Duration jitter{};         // up to so much more, evenly
  double duplicate = 0.0;    // the copy has a delay of its own
  double reorder = 0.0;      // held for `hold`, so that those behind it overtake it
  Duration hold{};           // goes with reorder
  double corrupt = 0.0;      // one byte of it is changed
  bool cut = false;          // datagrams vanish; streams stand still and stay open; new connections hang
  bool reset = false;        // open connections are reset when it begins, new ones at once
  bool refuse = false;       // new connections are refused
  std::uint64_t throttle{};  // bytes a second; 0: none
  std::optional<std::uint64_t> cut_after{};  // bytes of each stream, then it is reset both ways
  bool operator==(const Fault&) const = default;
};
// Both at once: probabilities join, delays sum, the least throttle and cut_after hold.
Fault together(const Fault& a, const Fault& b);
std::string check_fault(const Fault& fault);  // what is out of bounds, its key first; empty: nothing

struct LinkCounts {
  std::uint64_t datagrams = 0;  // that came to the link
  std::uint64_t bytes = 0;      // of them
  std::uint64_t passed = 0;     // let through, each once; passed + dropped + cut + overflowed == datagrams
  std::uint64_t dropped = 0, cut = 0, overflowed = 0;  // overflowed: a throttled link's queue was full
  std::uint64_t delayed = 0, duplicated = 0, reordered = 0, corrupted = 0;  // of those that passed
  std::uint64_t stream_bytes = 0;
  std::uint64_t connections = 0, resets = 0;  // dialled along this link; connections reset by a fault
};

class LinkFaults {
 public:
  // A throttled link holds what it needs this long to send; a datagram beyond that is lost.
  static constexpr Duration kMostQueued = std::chrono::seconds(1);

  LinkFaults(std::uint64_t seed, std::string_view from, std::string_view to);

  void set(Time now, const Fault& fault);
  [[nodiscard]] const Fault& fault() const { return fault_; }
  [[nodiscard]] bool passes() const { return !fault_.cut; }

  struct Copy {
    Time due{};
    std::optional<std::size_t> changed;  // the byte to change, by `mask`
    std::uint8_t mask = 0;
  };
  struct Passage {
    std::array<Copy, 2> copies{};
    std::size_t count = 0;  // 0: lost
  };
  Passage datagram(Time now, std::size_t bytes);
  void lost_on_the_way();  // it was let through, and the link was cut before it was due

  // One direction of one connection, kept by whoever carries it.
  struct Stream {
    Time last{};
    std::uint64_t passed = 0;  // since `era`
    std::uint64_t era = 0;     // of the fault
  };
  struct Piece {
    Time due{};
    std::size_t bytes = 0;  // so many of the told ones pass
    bool reset = false;     // the connection is reset behind them
  };
  Piece piece(Time now, std::size_t bytes, Stream& stream);
  [[nodiscard]] std::size_t piece_size() const;  // at most so many bytes a piece: a throttled link trickles

  [[nodiscard]] std::uint64_t digest() const { return digest_; }  // of all decisions on datagrams so far
  [[nodiscard]] const LinkCounts& counts() const { return counts_; }
  void connected() { ++counts_.connections; }
  void was_reset() { ++counts_.resets; }
  void check() const;

 private:
  Time through(Time now, std::size_t bytes);  // when its last byte has left a throttled link
  void note(std::uint64_t decision);

  Fault fault_;
  load::Random datagrams_;
  load::Random pieces_;  // of their own: how a stream falls into pieces is not repeated
  Time told_{};
  Time free_at_{};
  std::uint64_t era_ = 1;
  std::uint64_t digest_ = 0;
  LinkCounts counts_;
};

}  // namespace reeltack::standin
