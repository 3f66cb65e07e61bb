// A centrale's processor, as the operators describe theirs: one line of work, and what flooding does to it.
//
// Owns: what waits, in which order it is worked on, how long each piece takes now, and when set-ups are
// turned away. Must never: read a clock, do I/O, or know a wire.
//
// Told the time, returns what is done. One server, first in first out; answers and releases wait behind new
// set-ups unless finish_first. A new process starts at `cold_from` of its capacity and is warm after `ramp`,
// linearly. Work given while cold beyond `fall_multiple` times the present capacity over `fall_span` makes it
// fall over: it is dead from then on. Threads: one at a time.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "reeltack/controller.h"

namespace reeltack::standin {

struct ProcessorSettings {
  Duration set_up{};  // work, at full capacity; 0: none
  Duration answer{};
  Duration release{};
  Duration refuse{};  // of turning a set-up away
  bool finish_first = false;
  Duration turn_away = std::chrono::milliseconds(2500);  // a wait at which set-ups are turned away; 0: never
  Duration resend = std::chrono::milliseconds(500);      // a set-up that waits comes again, at doubling gaps
  Duration repeat{};                                     // work of each repeat
  double cold_from = 1.0;
  Duration ramp{};
  double fall_multiple = 0.0;  // 0: it never falls
  Duration fall_span = std::chrono::seconds(1);
};

enum class Work { set_up, answer, release };

class Processor {
 public:
  Processor(const ProcessorSettings& settings, Time started) : settings_(settings), started_(started) {}

  // False: turned away (which is work too), or it has fallen over.
  bool offer(Time now, Work work, std::uint64_t call);
  void withdraw(std::uint64_t call);  // its set-up, if it still waits; what has begun goes on
  struct Done {
    Time at{};
    Work work{};
    std::uint64_t call = 0;
  };
  // All that is done by now, in order. Events must be handed in with times that never go back.
  void advance(Time now, std::vector<Done>& done);
  [[nodiscard]] std::optional<Time> next() const;  // when the piece in work is done; nothing: idle or paused

  void slow(Time now, double factor);  // 3.0: three times slower, from now on
  void pause(Time now, bool on);
  [[nodiscard]] double capacity(Time now) const;  // of the full one
  [[nodiscard]] Duration wait(Time now) const;    // of a set-up that came now
  [[nodiscard]] std::size_t queue() const { return set_ups_.size(); }
  [[nodiscard]] bool fallen() const { return fallen_; }
  [[nodiscard]] Duration busy(Time now) const;  // how long it has worked since its start
  [[nodiscard]] std::uint64_t repeats() const { return repeats_; }
  void check() const;  // throws std::logic_error where its books do not add up

 private:
  struct Piece {
    Work work{};
    std::uint64_t call = 0;
    Duration left{};  // at full capacity
    bool repeat = false;
    Time again{};  // when it is sent again, while it waits
    Duration gap{};
  };
  [[nodiscard]] Duration cost(Work work) const;
  void repeat_waiting(Time now);
  void begin(Time now);
  void stop(Time now);  // takes the work done so far off the piece in work
  [[nodiscard]] Duration at_speed(Duration work, Time now) const;

  const ProcessorSettings settings_;
  const Time started_;
  double slow_ = 1.0;
  bool paused_ = false;
  bool fallen_ = false;
  std::deque<Piece> set_ups_;
  std::deque<Piece> ends_;
  Duration waiting_{};  // work in set_ups_
  std::optional<Piece> now_;
  Time began_{};
  Time ends_at_{};
  Duration busy_{};
  Duration extra_{};                             // turning away: done before the next piece
  std::deque<std::pair<Time, Duration>> given_;  // while cold
  Duration given_sum_{};
  std::uint64_t repeats_ = 0;
};

}  // namespace reeltack::standin
