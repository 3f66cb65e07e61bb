// Gossip schedule: when this member begins its next anti-entropy exchange, and with whom.
//
// state        mean interval between exchanges begun here      limit from the byte budget
// spreading    `urgent_interval`, for ceil(ln members)         a pause of at most `max_pause_spreading`
//              exchanges
// catching up  `urgent_interval`, while the last exchange      a pause of at most `max_pause`
//              was incomplete
// returning    `urgent_interval`; doubled after each           none; nor in the two states above while
//              unproductive exchange, up to `interval`         returning
// quiet        `interval`; doubled in the same way, up to      a pause of at most `max_pause`
//              `max_idle_interval`
//
// Intervals are means; each is jittered by up to a quarter either way. An exchange is unproductive if less
// than an eighth of its bytes were facts that one side lacked. Returning: the caller reports that service is
// not restored yet, or begin() was less than `startup_window` ago. Spreading: spread_change() reported an
// important local change that no peer has received; like a rumour it goes to a few members, and the quiet
// exchanges bring it to the rest. Catching up: a delta could not carry everything.
//
// The byte budget is a token bucket: it fills at `bytes_per_second` up to `burst`, the cost of an exchange in
// both directions is taken from it, and no exchange begins while it is negative. The debt is limited to what
// fills in a pause of `max_pause` times ln(members), which is 5 s at 12 members and 11 s at 300; the rest is
// forgiven. So while quiet this member spends on average at most max(`bytes_per_second`, one exchange per
// such pause), however much there is to send, and never pauses longer than that.
//
// Partner selection among live members: first those that restarted (each newcomer is preferred by about
// kPreferredBy of all members that notice it, chosen at random), then those whose last exchange was
// incomplete, then the one with the least recent exchange, whichever side began it; ties are broken at
// random.
//
// No I/O, no clock and no unseeded randomness; what an exchange carries is unknown here. Units: bytes as
// encoded_size() of the exchange counts them; times of the local steady clock. Not thread-safe.
// Deterministic: equal settings, seed and calls give equal answers.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <span>

#include "fleet/members/draws.h"
#include "fleet/members/ids.h"

namespace reeltack::fleet::gossip_schedule {

struct GossipScheduleSettings {
  Duration interval = std::chrono::seconds(1);
  Duration max_idle_interval = std::chrono::seconds(2);
  Duration urgent_interval = std::chrono::milliseconds(200);
  std::size_t bytes_per_second = 600;                      // for exchanges begun here, both directions
  std::size_t burst = std::size_t{8} * 1024;               // bytes
  Duration max_pause = std::chrono::seconds(2);            // that a debt can cause, times ln(members)
  Duration max_pause_spreading = std::chrono::seconds(1);  // the same while spreading a change
  Duration startup_window = std::chrono::seconds(5);       // a start may yet turn out to be a return
};
inline constexpr std::size_t kPreferredBy = 3;

struct Peer {  // a live member other than this one
  MemberId id{};
  Incarnation incarnation = 0;
};
struct ExchangeResult {  // of one exchange, whichever side began it
  MemberId with{};
  bool initiated_here = false;
  bool completed = false;
  bool truncated = false;  // completed, but could not carry everything
  std::size_t bytes = 0;   // both directions
  std::size_t useful = 0;  // of these, bytes of facts that one side lacked
};

class GossipSchedule {
 public:
  GossipSchedule(const GossipScheduleSettings& settings, std::uint64_t seed);
  void begin(Time now);                        // at start of the process: the first exchange is due
  void set_peers(std::span<const Peer> live);  // all of them, ordered by id, after each change
  void spread_change(Time now);                // an important change is to be spread at once
  void exchange_ended(Time now, const ExchangeResult& result);
  // The partner of the exchange that is to begin now, if one is due; called from next() on. `has_capacity`:
  // another exchange may begin; otherwise this one is skipped.
  [[nodiscard]] std::optional<MemberId> due(Time now, bool returning, bool has_capacity);
  [[nodiscard]] Time next(bool returning) const;
  void check() const;  // throws std::logic_error where an invariant does not hold

 private:
  struct PeerState {
    Incarnation incarnation = 0;
    Time last_exchange = Time::min();
    std::uint64_t tie_break = 0;
    bool restarted = false, truncated = false;
  };
  [[nodiscard]] bool in_startup(Time at) const {
    return begun_ != Time::max() && at < begun_ + settings_.startup_window;
  }
  [[nodiscard]] bool prefers(std::size_t members);  // true with probability kPreferredBy / members
  [[nodiscard]] PeerState new_peer(const Peer& peer, std::size_t live);
  [[nodiscard]] double log_members() const;                             // natural logarithm, at least 1
  [[nodiscard]] Duration max_pause() const;                             // for the present number of members
  [[nodiscard]] double max_debt() const;                                // bytes
  [[nodiscard]] Duration backed_off(Duration from, Duration to) const;  // after unproductive exchanges
  // When the debt is paid, but no later than `limit` after the last exchange begun here.
  [[nodiscard]] Time paid_at(Duration limit) const;
  [[nodiscard]] double balance(Time now) const;  // bytes in the bucket; negative: debt
  [[nodiscard]] std::optional<MemberId> select() const;

  GossipScheduleSettings settings_;
  members::Random draws_;
  std::map<MemberId, PeerState> peers_;
  Time begun_ = Time::max();
  Time last_begun_ = Time::max();  // when the last exchange was begun here
  double jitter_ = 1.0;            // factor on the next mean interval
  double balance_ = 0.0;           // bytes in the bucket at `balance_at_`
  Time balance_at_{};
  std::size_t spread_left_ = 0;   // exchanges still to begin to spread a change
  std::size_t unproductive_ = 0;  // consecutive unproductive exchanges begun here
  bool truncated_ = false;        // the last exchange could not carry everything
};

}  // namespace reeltack::fleet::gossip_schedule
