// Pace: when the next exchange of facts is begun here, and with whom.
//
// state        between two that are begun here                the budget of bytes
// telling      `urgent`, for ceil(ln members) of them         a pause of `longest_telling` at most
// catching up  `urgent`, while the last one left something    a pause of `longest` at most
// returning    `urgent`; doubled after each that brought      does not hold, nor in the two above while
//              little, up to `every`                          returning
// quiet        `every`; doubled so, up to `idlest`            a pause of `longest` at most
//
// All in the mean, a quarter more or less by lot. Little: less than an eighth of the bytes. Returning: told
// so (service is not back), or begun less than `young` ago. Telling: something of weight was written or
// learnt here and nobody was told of it (changed()); as a rumour it goes to a few, and the quiet exchanges
// bring it to the rest. Catching up: a delta could not carry all.
//
// The budget is a bucket: it fills by `bytes` a second up to `burst`, what an exchange cost both ways is
// taken from it, and none is begun while it is empty. A debt is held to what `longest` pays: what is beyond
// is forgiven; `longest` is 5 s at 12 members and 11 s at 300. So in the mean no more than max(`bytes`, one
// exchange a `longest`) a second is spent here while quiet, however much there is to tell, and nobody is
// silent for longer than `longest`.
//
// Whom: of the live members first those who started anew (each newcomer is preferred by about kFan of all who
// notice it, by lot), then those with whom something was left, then whoever was talked to least lately, no
// matter who began; between equals by lot.
//
// Owns: the bucket, what presses, and when each partner was talked to last. Must never: do I/O, read a clock,
// draw what is not seeded, or know what an exchange carries.
//
// Units: bytes as encoded_size() of the exchange has them; times of the own steady clock, told. Threads:
// none. Equal settings, seed and events give equal answers.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <span>

#include "fleet/members/draws.h"
#include "fleet/members/ids.h"

namespace reeltack::fleet::pace {

struct GossipScheduleSettings {
  Duration every = std::chrono::seconds(1);
  Duration idlest = std::chrono::seconds(2);
  Duration urgent = std::chrono::milliseconds(200);
  std::size_t bytes = 600;                             // a second, of exchanges begun here, both ways
  std::size_t burst = std::size_t{8} * 1024;           // bytes
  Duration longest = std::chrono::seconds(2);          // pause that a debt can mean, times ln(members)
  Duration longest_telling = std::chrono::seconds(1);  // the same, while there is something to tell
  Duration young = std::chrono::seconds(5);            // a start may yet turn out to be a return
};
inline constexpr std::size_t kFan = 3;

struct Partner {  // a live member, oneself left out
  MemberId id{};
  Incarnation incarnation = 0;
};
struct Ended {  // one exchange, whoever began it
  MemberId with{};
  bool ours = false;
  bool well = false;       // came to its end
  bool left = false;       // and could not carry all
  std::size_t bytes = 0;   // both ways
  std::size_t useful = 0;  // of these, facts that one side lacked
};

class Pace {
 public:
  Pace(const GossipScheduleSettings& settings, std::uint64_t seed);
  void begin(Time now);                          // of a life: the first exchange is due
  void partners(std::span<const Partner> live);  // whole and by id, after each change
  void changed(Time now);                        // something of weight is to be told on
  void ended(Time now, const Ended& what);
  // Where one is due: with whom. To be asked from next() on; `room`: another one may be under way.
  [[nodiscard]] std::optional<MemberId> due(Time now, bool returning, bool room);
  [[nodiscard]] Time next(bool returning) const;
  void check() const;  // throws std::logic_error where a bound does not hold

 private:
  struct Known {
    Incarnation incarnation = 0;
    Time talked = Time::min();
    std::uint64_t lot = 0;
    bool anew = false, left = false;
  };
  [[nodiscard]] bool young(Time at) const { return begun_ != Time::max() && at < begun_ + settings_.young; }
  [[nodiscard]] bool few(std::size_t of);  // by lot, kFan of so many
  [[nodiscard]] Known fresh(const Partner& partner, std::size_t live);
  [[nodiscard]] double log() const;                                // of the members, 1 at least
  [[nodiscard]] Duration longest() const;                          // of this fleet
  [[nodiscard]] double owed_most() const;                          // bytes
  [[nodiscard]] Duration grown(Duration from, Duration to) const;  // by what the last ones brought
  [[nodiscard]] Time paid(Duration longest) const;  // when the bucket holds something, or so long after last_
  [[nodiscard]] double full(Time now) const;        // bytes in the bucket, negative: owed
  [[nodiscard]] std::optional<MemberId> whom() const;

  GossipScheduleSettings settings_;
  members::Random draws_;
  std::map<MemberId, Known> partners_;
  Time begun_ = Time::max();
  Time last_ = Time::max();  // when one was begun here last
  double part_ = 1.0;        // of the mean, drawn for the next
  double bytes_ = 0.0;       // in the bucket at `filled_`
  Time filled_{};
  std::size_t telling_ = 0;  // exchanges that are still to tell of it
  std::size_t barren_ = 0;   // of those begun here, in a row, that brought little
  bool left_ = false;        // the last one left something
};

}  // namespace reeltack::fleet::pace
