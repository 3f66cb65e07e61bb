// The decision module: which calls this gateway sets up, when, at which server, and which it refuses.
// Its interface (settings, events, actions) is include/reeltack/controller.h.
//
// The mechanism is the overload control of Andersson and Kihl (NTS 17, 2004, section 4). A call's way:
//   arrived -> rough admission (EQ 1) -> token bucket (level) -> bind (first choice or rotation) -> waits at
//   its server's queue -> one unanswered set-up per server -> answer (measures the delay) -> next one.
// Everything that departs from it is marked EXCEPTION, with its condition.
#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>

#include "reeltack/controller.h"

namespace reeltack {
namespace {

// f, the margin in both tests: a tenth of the aim is left for what the measurement does not see.
constexpr double kMargin = 0.9;
// f of step 3: lower, since a line idle now while another queue is long is capacity lost for good.
constexpr double kSpill = 0.3;
// f of EQ 4: low, so that a long queue of little worth holds up no call of more; see the journal.
constexpr double kDrain = 0.2;
// d, as a part of the set-ups a second that this gateway gets answered. Small: the bucket is blind to worth.
constexpr double kGuaranteed = 0.02;
// Weight of the newest answer in the mean of measured delays.
constexpr double kNewest = 0.3;
// Half-life of a measurement, in own share intervals. Other values not measured.
constexpr double kMemory = 2.0;
// A server is known to be quick if it answered in this part of the shortest aim; 0.3 lost 0.01 to 0.03.
constexpr double kSoon = 0.2;
// Else it gets so many times this gateway's own share at the most; 1.5 left small quick servers half empty.
constexpr double kShares = 2.5;
// A server with less than this part of its lines free is being filled up; 0.35 was no better.
constexpr double kFewLines = 0.2;
constexpr double kSpare = 0.5;     // of that: no lines to spare for late callers; not measured
constexpr std::size_t kCrowd = 5;  // gateways a server: many; own tries misjudged small skewed fleets
// Levels: 0 top, 1 urgent, the rest by worth, each worth half the one above.
constexpr std::size_t kLevels = 10;
constexpr std::size_t kTop = 0;
constexpr std::size_t kUrgent = 1;
constexpr std::size_t kLowest = kLevels - 1;  // numbers found busy
constexpr std::size_t kLate = kLevels - 2;    // callers whose aim has passed
// A waiting call is looked at again after this part of the shortest aim.
constexpr double kLookAgain = 0.025;
constexpr int kIdleLooks = 4;  // while nothing waits, so many times less often
// Where a server's delays are known to be short, an attempt is lost after so many of them and so many of
// their mean deviations (as RFC 6298 has it), yet not before this part of the aim; each further one in a row
// is given twice as long. Elsewhere so many delays, and no less than the aim.
constexpr double kPatience = 4.0;
constexpr double kQuickPatience = 2.0;
constexpr double kDeviations = 4.0;
constexpr double kPatiencePart = 0.1;
// A server that failed in a row rests this part of the aim after the second failure, doubled each time, ...
constexpr double kFirstRest = 0.25;  // ... up to so many aims: then a single set-up is the trial.
constexpr double kLongestRest = 2.0;
constexpr std::uint32_t kTellFailures = 4;  // in a row, for a line in the log
constexpr double kColdPart = 0.7;           // of the cold server's told budget, for all gateways together
// A turn there lapses after this part of the told span: 0.7 * (1 + 0.25) of the budget at once at the most.
constexpr double kColdLapse = 0.25;
// A cold server's part goes by no more first tries than so many times those that stood. Not measured.
constexpr double kOverStood = 1.25;
constexpr double kLeast =
    4.0;  // set-ups of all gateways together, taken for before any is seen; not measured

constexpr int kLateAims = 2;  // callers whose aim is lost are asked to stay away for about so many

// A class of which a smaller part stood than this is badly served, once so many tries were seen.
constexpr double kPressed = 0.8;
constexpr double kSeen = 20.0;

double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }
Duration from_seconds(double s) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::clamp(s, 0.0, 1.0e9)));
}
Duration part_of(Duration d, double part) { return from_seconds(seconds(d) * part); }

enum class State { waiting, guarded, sent };

struct Call {
  CallArrived told;
  Time arrived{};
  Time first_tried{};  // when its caller first tried, as far as this gateway saw
  bool late = false;   // the aim had run out when it arrived
  Duration aim{};
  std::size_t level = kLowest;
  State state = State::waiting;
  std::optional<ServerId> bound;
  std::uint32_t attempts = 0;
  std::uint64_t order = 0;  // place in the order of arrival

  Time not_before{};         // release guard
  bool turned_back = false;  // answered full once
  bool may_have_run = false;
};

// Set-ups that wait for one server, by level, oldest first.
struct Queue {
  std::array<std::map<std::uint64_t, CallId>, kLevels> levels;
  std::set<std::pair<Time, std::uint64_t>> due;  // when the aim's margin is used up, for those below the top

  [[nodiscard]] std::size_t count_to(std::size_t level) const {
    std::size_t n = 0;
    for (std::size_t j = 0; j <= level; ++j) n += levels[j].size();
    return n;
  }
  [[nodiscard]] bool empty() const { return count_to(kLowest) == 0; }
};

struct Slot {
  CallId call{};
  std::uint32_t attempt = 0;
  Time sent{};
};

struct Server {
  ServerEntry told;
  Queue queue;
  std::optional<Slot> slot;
  Duration measured{};       // delta t measured; nought until the first answer
  Duration deviation{};      // mean, of the answers from it
  std::uint32_t missed = 0;  // attempts without an answer, in a row
  Time measured_at{};
  Time last_good{};   // when it last did what it was asked
  double turn = 0.0;  // credit in the weighted rotation

  Time no_lines_until{};       // shows no free line for this gateway
  double lines = 0.0;          // as last told; 0: never told
  double free_part = 1.0;      // of these
  double good = 1.0;           // part of the attempts that were answered at all, of late
  std::uint32_t failures = 0;  // in a row
  Time rests_until{};
  Time turn_at{};  // this gateway's next turn there
  Time turn_of{};  // the start of the server that it is kept for
};

}  // namespace

class Controller::Policy {
 public:
  Policy(const Settings& settings, std::uint64_t seed) : set_(settings), random_(seed) {
    shortest_aim_ = Duration::max();
    for (const ClassSettings& c : set_.classes) {
      best_worth_ = std::max(best_worth_, c.worth);
      shortest_aim_ = std::min(shortest_aim_, c.aim);
    }
    if (set_.classes.empty()) shortest_aim_ = Duration{};
  }

  // One turn: all that came is taken before anything is decided, for a later event may undo an earlier one.
  void on(Time now, std::span<const Event> events, ActionSink& actions) {
    now_ = now;
    out_ = &actions;
    if (began_ == Time{}) began_ = heard_ = now;
    note_pause();
    if (set_.must_ask_for_list && !asked_) ask_for_list();
    for (const Event& event : events) std::visit([this](const auto& e) { take(e); }, event);
    note_shares();
    for (const CallArrived& told : arrived_) {
      if (!left_.contains(told.call)) arrive(told);
    }
    arrived_.clear();
    left_.clear();
    run();
    heard_ = now;
    out_ = nullptr;
  }

  [[nodiscard]] std::size_t open_calls() const { return calls_.size(); }

 private:
  // ------------------------------------------------------------ arrival

  void take(const CallArrived& told) { arrived_.push_back(told); }

  void arrive(const CallArrived& told) {
    if (calls_.contains(told.call)) return;
    Call call;
    call.told = told;
    call.arrived = now_;
    const bool known = told.call_class < set_.classes.size();
    call.aim = known ? set_.classes[told.call_class].aim : shortest_aim_;
    if (known) call.aim += part_of(told.work_hint, set_.classes[told.call_class].aim_stretch);
    call.order = ++arrivals_;
    recall_first_try(call);
    if (!told.redial && call.first_tried >= heard_) {
      count(first_tries_);
      if (known) count(class_tries_[told.call_class]);
    }
    call.level = level_by_worth(call);
    note_shares();
    if (!known || found_busy_just_now(told.number)) return refuse_unqueued(call);
    if (!rough_admission(call)) {
      remember_turned_away(call);
      return refuse_unqueued(call);
    }
    constraint_control(call);
    Call& kept = calls_.emplace(told.call, call).first->second;
    if (!bind(kept)) wait_unbound(kept);
  }

  // Stage 1, EQ 1: at most A = tau * r open set-ups, r being the most that this sender's slots carry a
  // second. EXCEPTION: a full house gives way to a more urgent arrival, which takes the place of the least
  // urgent.
  bool rough_admission(const Call& call) {
    double rate = 0.0;
    for (const auto& [id, s] : servers_) {
      if (!listed_ready(s)) continue;
      if (s.measured == Duration{}) return true;  // nothing measured: nothing to limit by
      rate += 1.0 / std::max(seconds(s.measured), 1.0e-6);
    }
    if (rate <= 0.0 || static_cast<double>(calls_.size()) < std::max(1.0, seconds(call.aim) * rate))
      return true;
    Call* least = nullptr;
    for (auto& [id, s] : servers_) {
      for (std::size_t level = kLowest; level > call.level; --level) {
        if (s.queue.levels[level].empty()) continue;
        Call& candidate = calls_.at(s.queue.levels[level].rbegin()->second);
        if (least == nullptr || candidate.level > least->level) least = &candidate;
        break;
      }
    }
    note("overload: full house, the least urgent are refused");
    if (least == nullptr) return false;
    refuse(*least);
    return true;
  }

  // Stage 2: a token lifts a new set-up to the top level, up to d a second.
  void constraint_control(Call& call) {
    const double d = fade(stood_) > 0.0 ? kGuaranteed * a_second(stood_) : 0.0;
    tokens_ = std::min(std::max(d, d > 0.0 ? 1.0 : 0.0), tokens_ + d * seconds(now_ - tokens_counted_));
    tokens_counted_ = now_;
    if (tokens_ < 1.0 || call.level == kLowest || call.late) return;
    tokens_ -= 1.0;
    call.level = kTop;
  }

  // Levels below the top: urgent, then by the worth that the call can still earn.
  std::size_t level_by_worth(const Call& call) {
    if (call.told.call_class >= set_.classes.size()) return kLowest;
    if (call.told.cut_before) return kUrgent;
    if (busy_numbers_.contains(call.told.number)) return kLowest;
    double worth = set_.classes[call.told.call_class].worth;
    if (call.late) return kLate;
    const double halvings = std::log2(best_worth_ / std::max(worth, 1.0e-9));
    double level = static_cast<double>(kUrgent) + 1.0 + std::floor(std::max(halvings, 0.0) + 0.5);
    if (call.told.call_class == worst_served()) level -= 1.0;
    return static_cast<std::size_t>(
        std::clamp(level, static_cast<double>(kUrgent), static_cast<double>(kLate - 1)));
  }

  // EXCEPTION (classes of like worth): the class of which the least part stood of late goes one level up, for
  // the aims differ, and in a long queue those with the shortest would never be in time.
  [[nodiscard]] std::uint32_t worst_served() const {
    std::uint32_t worst = ~0U;
    double least = kPressed;
    std::size_t seen = 0;
    for (const auto& [id, tries] : class_tries_) {
      const double tried = fade(tries);
      if (tried < kSeen) continue;
      ++seen;
      const auto stood = class_stood_.find(id);
      const double part = (stood == class_stood_.end() ? 0.0 : fade(stood->second)) / tried;
      if (part >= least) continue;
      least = part;
      worst = id;
    }
    return seen > 1 ? worst : ~0U;
  }

  // EXCEPTION (redials): the aim runs from the caller's first try. A number that was turned away here and is
  // called again (where redials are marked: by a marked one) is taken for the same caller.
  void recall_first_try(Call& call) {
    call.first_tried = told_late(call);
    const auto found = turned_away_.find(call.told.number);
    if (found != turned_away_.end() && (!set_.redials_marked || call.told.redial)) {
      call.first_tried = found->second;
      turned_away_.erase(found);
    }
    call.late = call.first_tried + part_of(call.aim, kMargin) <= now_;
  }

  // EXCEPTION (this gateway stood still): its timer is overdue, so what comes now came at some time since it
  // last had a turn. Answers may have waited here so long, and callers too: those leave earlier than usual.
  void note_pause() {
    paused_ = wake_at_ != Time{} && now_ > wake_at_ + look_again() ? now_ - heard_ : Duration{};
  }
  [[nodiscard]] Time told_late(const Call& call) {
    Duration& stay = usual_stay_[call.told.call_class];
    const Duration left = call.told.caller_leaves - now_;
    if (paused_ == Duration{}) stay = std::max(stay, left);
    return paused_ == Duration{} ? now_ : std::clamp(call.told.caller_leaves - stay, heard_, now_);
  }

  void remember_turned_away(const Call& call) {
    if (call.told.number == NumberCalled{}) return;
    if (!turned_away_.emplace(call.told.number, call.first_tried).second) return;
    forget_at_.emplace_back(now_ + set_.classes[call.told.call_class].deadline, call.told.number);
    while (!forget_at_.empty() && forget_at_.front().first <= now_) {
      turned_away_.erase(forget_at_.front().second);
      forget_at_.pop_front();
    }
  }

  // ------------------------------------------------------------ stage 3: binding

  [[nodiscard]] static bool listed_ready(const Server& s) { return s.told.state == ServerState::ready; }

  [[nodiscard]] bool open_to(const Call& call, const Server& s) const {
    if (!listed_ready(s)) return false;
    const std::uint32_t place = s.told.place;
    if (set_.own_place >= 0 && place == static_cast<std::uint64_t>(set_.own_place)) return false;
    if (call.told.in_transit) return place == call.told.destination;
    const auto& places = set_.classes[call.told.call_class].places;
    return set_.shape == Shape::mesh || places.empty() ||
           std::find(places.begin(), places.end(), place) != places.end();
  }

  // The measured delay, or the age of the unanswered set-up if that is more.
  // EXCEPTION (silent or stuck server): a set-up without answer is itself a measurement.
  [[nodiscard]] Duration delay(const Server& s) const {
    return s.slot ? std::max(aged(s), now_ - s.slot->sent) : aged(s);
  }
  // EXCEPTION (few and old measurements): half of it is forgotten with each own share interval (an aim at the
  // least), so that a server once found slow is tried again, gently.
  [[nodiscard]] Duration aged(const Server& s) const {
    const double life = kMemory * seconds(std::max(shortest_aim_, own_share_interval(s)));
    return part_of(s.measured, std::exp2(-seconds(now_ - s.measured_at) / std::max(life, 1.0e-9)));
  }

  // Would this call, queued at the server, be answered within part f of its aim, and before its caller
  // leaves?
  [[nodiscard]] bool has_room(const Call& call, Server& s, double f) {
    if (held(s)) return false;
    const auto ahead = static_cast<double>(s.queue.count_to(call.level) + 1);
    return ahead * seconds(delay(s)) < seconds(std::min(call.aim, call.told.caller_leaves - now_)) * f;
  }

  // First choice if it has lines and passes the test; else the rotation over those that do; else any open.
  bool bind(Call& call) {
    Server* first = nullptr;
    Server* any = nullptr;
    for (auto& [id, s] : servers_) {
      if (!open_to(call, s)) continue;
      if (s.told.place == call.told.destination) first = &s;
      if (any == nullptr || delay(s) < delay(*any)) any = &s;
      // A turn at a cold server lapses soon: the next call takes it.
      if (cold(s) && !s.slot && s.queue.empty() && has_room(call, s, kSpill)) return enqueue(call, s);
    }
    if (first != nullptr && worth_trying(*first) > uniform() && has_room(call, *first, kSpill))
      return enqueue(call, *first);
    for (const double f : {kSpill, kMargin}) {
      if (Server* other = rotation(call, f, nullptr)) return enqueue(call, *other);
    }
    if (first == nullptr || held(*first)) first = any;
    return first != nullptr && enqueue(call, *first);
  }

  // Smooth weighted round robin over the servers with room.
  // EXCEPTION (slowed server): a server's share falls with its measured delay against the quickest.
  Server* rotation(const Call& call, double f, const Server* except) {
    Server* best = nullptr;
    double total = 0.0;
    double quickest = 0.0;
    std::vector<Server*> able;
    for (auto& [id, s] : servers_) {
      if (&s == except || !open_to(call, s) || !has_room(call, s, f)) continue;
      able.push_back(&s);
      const double took = std::max(seconds(s.measured), 1.0e-6);
      quickest = quickest == 0.0 ? took : std::min(quickest, took);
    }
    for (Server* s : able) {
      const double weight = size(*s) * worth_trying(*s) * quickest / std::max(seconds(s->measured), 1.0e-6);
      s->turn += s->turn == 0.0 ? weight * uniform() : weight;  // no two gateways start alike
      total += weight;
      if (best == nullptr || s->turn > best->turn) best = s;
    }
    if (best != nullptr) best->turn -= total;
    return best;
  }

  // EXCEPTION (few lines left): what is told of free lines is old, and all gateways go by it. Below a part of
  // its lines a server gets fewer calls the fewer are free, so that it is not filled to the last one.
  // EXCEPTION (answers lost, resets, quick errors): likewise the fewer of its attempts are answered, for a
  // server that fails at once looks idle and would draw the calls of all.
  [[nodiscard]] static double worth_trying(const Server& s) {
    return std::max(std::min(s.free_part / kFewLines, 1.0) * s.good * s.good, 0.01);
  }

  bool enqueue(Call& call, Server& s) {
    call.bound = s.told.server;
    put(call, s.queue);
    return true;
  }

  // EXCEPTION (no server listed): calls wait unbound for the list, under the same tests of time.
  void wait_unbound(Call& call) {
    note("no server open to a call: it waits for the list");
    call.bound.reset();
    put(call, unbound_);
  }

  [[nodiscard]] static Time due(const Call& call) {
    return (call.late ? call.arrived : call.first_tried) + part_of(call.aim, kMargin);
  }

  // When a waiting call is refused at the latest: tau f, or (top level) its caller's time, always early
  // enough for the next look to answer it in time.
  [[nodiscard]] Time last_start(const Call& call) const {
    const Time latest = call.told.caller_leaves - 2 * look_again();
    return call.level == kTop ? latest : std::min(latest, due(call));
  }
  [[nodiscard]] Duration look_again() const {
    return std::max({set_.tick, part_of(shortest_aim_, kLookAgain), Duration{1000}});
  }

  void put(Call& call, Queue& queue) {
    call.state = State::waiting;
    queue.levels[call.level].emplace(call.order, call.told.call);
    queue.due.emplace(last_start(call), call.order);
    by_order_.emplace(call.order, call.told.call);
  }

  void take_out(const Call& call) {
    Queue* queue = &unbound_;
    if (call.bound) queue = &servers_.at(*call.bound).queue;
    queue->levels[call.level].erase(call.order);
    queue->due.erase({last_start(call), call.order});
    by_order_.erase(call.order);
  }

  // ------------------------------------------------------------ stage 4: admission control

  void run() {
    release_guarded();
    for (auto& [id, s] : servers_) shed(s.queue, delay(s));
    shed(unbound_, Duration{});
    for (auto& [id, s] : servers_) {
      relieve(s);
      while (dispatch(s)) {
      }
    }
    for (auto& [id, s] : servers_) {
      while (dispatch(s)) {
      }
    }
    forget_gone();
    wake_later();
  }

  // EQ 3: refuse below the top whoever cannot be answered in time any more: delta t measured + queued >= tau
  // f. A top-level set-up is refused at its caller's deadline.
  void shed(Queue& queue, Duration took) {
    while (!queue.due.empty() && queue.due.begin()->first <= now_ + took) {
      refuse(calls_.at(by_order_.at(queue.due.begin()->second)));
    }
  }

  // EXCEPTION (long or stuck queue beside an idle server): step 3 again for the oldest past the spill test.
  void relieve(Server& s) {
    while (!s.queue.empty()) {
      const std::optional<CallId> id = next(s.queue, Duration{});
      if (!id) return;
      Call& call = calls_.at(*id);
      const auto drain = static_cast<double>(s.queue.count_to(kLowest)) * seconds(delay(s));
      if (!held(s) && drain < seconds(call.aim) * kSpill) return;
      Server* other = nullptr;
      for (auto& [oid, o] : servers_) {
        if (&o == &s || !open_to(call, o) || !o.queue.empty() || !may_take(o)) continue;
        if (other == nullptr || o.measured < other->measured) other = &o;
      }
      if (other == nullptr || !has_room(call, *other, kSpill)) return;
      take_out(call);
      enqueue(call, *other);
      if (!dispatch(*other)) return;
    }
  }

  // EQ 4: the oldest set-up at or above the least urgent level whose queue, summed from the top, still drains
  // within tau f.
  std::optional<CallId> next(const Queue& queue, Duration took) {
    std::size_t sum = 0;
    std::optional<std::pair<std::uint64_t, CallId>> oldest;
    for (const auto& level : queue.levels) {
      if (level.empty()) continue;
      sum += level.size();
      const Call& head = calls_.at(level.begin()->second);
      if (oldest && static_cast<double>(sum) * seconds(took) >= seconds(head.aim) * kDrain) break;
      if (!oldest || level.begin()->first < oldest->first) oldest = *level.begin();
    }
    if (!oldest) return std::nullopt;
    return oldest->second;
  }

  // One unanswered set-up per server; not while it rests, nor past a cold server's budget.
  [[nodiscard]] bool may_take(Server& s) { return listed_ready(s) && !s.slot && !held(s); }
  [[nodiscard]] bool held(Server& s) {
    return now_ < s.rests_until || now_ < s.no_lines_until || !has_turn(s);
  }

  bool dispatch(Server& s) {
    if (!may_take(s)) return false;
    const std::optional<CallId> id = next(s.queue, delay(s));
    if (!id) return false;
    Call& call = calls_.at(*id);
    // EXCEPTION (late callers, with many gateways a server): a call that earns little must not take the turn
    // or line of one that still can be in time, here or elsewhere.
    const bool spare = quick_of_late(s) || set_.gateways < kCrowd * servers_.size();
    if (call.level >= kLate && (!spare || s.free_part < kFewLines * kSpare)) return false;
    take_out(call);
    if (send(call, s)) return true;
    refuse(call);
    return true;
  }

  // ------------------------------------------------------------ the gate: every send passes here

  // The five rules, each on this gateway's own knowledge.
  bool send(Call& call, Server& s) {
    if (call.told.caller_leaves <= now_) return false;        // 1: answer in time
    if (call.state == State::sent || s.slot) return false;    // 2: one attempt out at a time
    if (!listed_ready(s) || !open_to(call, s)) return false;  // 3: drains kept
    if (!has_turn(s)) return false;                           // 4: cold servers spared
    if (now_ < call.not_before) return false;                 // 5: release awaited
    if (call.attempts >= set_.attempts_cap || call.may_have_run) return false;
    s.turn_at = (cold(s) ? s.turn_at : now_) + spread(turn_interval(s));

    s.slot = Slot{call.told.call, call.attempts, now_};
    call.bound = s.told.server;
    call.state = State::sent;
    ++call.attempts;
    out_->emplace_back(SendSetUp{call.told.call, s.told.server, give_up(call, s)});
    return true;
  }

  // EXCEPTION (lost or stuck set-up): where answers come soon, an attempt far beyond the measured delay is
  // given up, so that it holds the slot no longer and its call may be sent again. Elsewhere it most likely
  // waits in a queue that is not seen from here, and would be worked on in vain.
  [[nodiscard]] Time give_up(const Call& call, const Server& s) const {
    const Duration usual = part_of(s.measured, kQuickPatience) + part_of(s.deviation, kDeviations);
    const Duration quick = std::max(usual, part_of(call.aim, kPatiencePart));
    const Duration slow = std::max(part_of(s.measured, kPatience), call.aim);
    const Duration patience = std::min(part_of(quick, std::exp2(std::min(s.missed, 16U))), slow);
    return std::min(now_ + (quick_of_late(s) ? patience : slow), call.told.caller_leaves);
  }

  [[nodiscard]] bool cold(const Server& s) const {
    return set_.fall_span > Duration{} && s.told.started_at > Time{} && now_ < s.told.started_at + set_.ramp;
  }

  // EXCEPTION (cold server): sends are paced so that all gateways together stay under the told budget. This
  // gateway's part is its own long-run first tries, spread over the servers: all gateways' parts together are
  // what a server must carry anyway, however many they are and however skewed. It grows with the ramp, at
  // half of what a straight one would give. A turn not taken lapses after a part of the told span: turns that
  // were saved up by hundreds of gateways would be spent in one blow. EXCEPTION (server not known to be
  // quick): other gateways' set-ups wait there too. Without an answer of late that came soon, this gateway
  // sends some times its own share at the most, less the longer the delay.
  [[nodiscard]] Duration turn_interval(const Server& s) const {
    const double over = seconds(delay(s)) / std::max(kSoon * seconds(shortest_aim_), 1.0e-9);
    double shares = kShares / std::max(over * over, 1.0);
    if (cold(s)) {
      const double age = seconds(now_ - s.told.started_at) / std::max(seconds(set_.ramp), 1.0e-9);
      const double warm = set_.cold_from + (1.0 - set_.cold_from) * std::clamp(age, 0.0, 1.0) * 0.5;
      shares = std::min(shares, kColdPart * set_.fall_multiple * warm);
    }
    // Of the first tries no more count than get answered: a fleet that cannot take them all is no measure.
    const double share =
        tries_a_second_ / (cold(s) ? std::min(tries_a_second_, stood_a_second_) : tries_a_second_);
    return from_seconds(seconds(own_share_interval(s)) * share / std::max(shares, 1.0e-9));
  }
  [[nodiscard]] bool quick_of_late(const Server& s) const {
    return now_ < s.measured_at + shortest_aim_ && s.measured < part_of(shortest_aim_, kSoon);
  }
  bool has_turn(Server& s) {
    if (!cold(s) && quick_of_late(s)) return true;
    const Duration interval = turn_interval(s);
    const Duration lapse = cold(s) ? part_of(set_.fall_span, kColdLapse) : interval;
    const bool fresh = s.turn_of != s.told.started_at;
    if (fresh || now_ > s.turn_at + lapse) {
      s.turn_of = s.told.started_at;
      s.turn_at = now_ + part_of(interval, uniform()) - (fresh && cold(s) ? Duration{} : lapse);
    }
    // What was drawn when less was known of arrivals, or the delay was worse, is cut down.
    if (s.turn_at > now_ + 2 * interval) s.turn_at = now_ + spread(interval);
    return now_ >= s.turn_at;
  }
  // The mean time between this gateway's first tries to a server, were they spread by size: it gets longer
  // the more gateways there are, so what is done once in it comes to the same load from all of them.
  [[nodiscard]] Duration own_share_interval(const Server& s) const {
    return from_seconds(std::max(total_size_ / size(s), 1.0) / tries_a_second_);
  }
  // What a server can take, compared with others: its told capacity and, where they are told, its lines.
  [[nodiscard]] double size(const Server& s) const {
    return std::max(s.told.capacity, 1.0e-6) * (s.lines > 0.0 ? s.lines : usual_lines_);
  }
  // So many a second over the last ramp, fading; a gateway that has run for less takes what it has seen.
  struct Rate {
    double count = 0.0;
    Time counted{};
  };
  [[nodiscard]] double fade(const Rate& r) const {
    return r.count * std::exp(-seconds(now_ - r.counted) / std::max(seconds(set_.ramp), 1.0e-9));
  }
  void count(Rate& r) const { r = {fade(r) + 1.0, now_}; }
  [[nodiscard]] double a_second(const Rate& r) const {
    const double over = std::max(seconds(set_.ramp), 1.0e-9);
    // Never nought: in the first turn, without a rule on cold servers, the rate would not be a number.
    const double ran = std::max({seconds(now_ - began_), seconds(set_.fall_span), 0.001});
    return std::max(fade(r), kLeast / set_.gateways) / (over * (1.0 - std::exp(-ran / over)));
  }
  void note_shares() {
    total_size_ = 0.0;
    for (const auto& [id, s] : servers_) total_size_ += listed_ready(s) ? size(s) : 0.0;
    tries_a_second_ = a_second(first_tries_);
    stood_a_second_ = kOverStood * a_second(stood_);
  }
  // Around so long, not in step.
  [[nodiscard]] Duration spread(Duration d) { return part_of(d, 0.5 + uniform()); }

  // ------------------------------------------------------------ answers

  void take(const CallStands& stands) {
    Server* s = find_server(stands.server);
    if (s != nullptr && frees_slot(*s, stands.call, stands.attempt)) {
      answered(*s, ours_off(*s, stands.elapsed));
    }
    count(stood_);
    const auto call = calls_.find(stands.call);
    if (call != calls_.end()) count(class_stood_[call->second.told.call_class]);
    calls_.erase(stands.call);
  }

  void take(const AttemptEnded& ended) {
    Server* s = find_server(ended.server);
    const bool own = s != nullptr && frees_slot(*s, ended.call, ended.attempt);
    if (s != nullptr) lines_told(*s, ended.report);
    if (own) judge(*s, ended);
    const auto found = calls_.find(ended.call);
    if (found == calls_.end()) return;
    Call& call = found->second;
    if (call.state != State::sent || ended.attempt + 1 != call.attempts) return;
    if (ended.number_busy) note_busy(call.told.number);
    if (ended.call_over) {
      remember_turned_away(call);
      calls_.erase(found);
      return;
    }
    after_failure(call, ended);
  }

  // What an ending says of the server.
  void judge(Server& s, const AttemptEnded& ended) {
    switch (ended.ending) {
      case Ending::ok:
        answered(s, ours_off(s, ended.elapsed));
        break;
      case Ending::full:
        s.good *= 1.0 - kNewest;
        if (ended.reason == FullReason::no_lines) {
          s.no_lines_until = now_ + shortest_aim_;
          return;
        }
        measure(s, std::max({ended.elapsed, ended.told_wait, shortest_aim_}));
        return rest(s, ended.told_wait, s.failures + 1);
      case Ending::busy_or_error:  // a quick error is no sign of a quick server, but a busy number is an
                                   // answer
        if (ended.number_busy) return answered(s, ours_off(s, ended.elapsed));
        [[fallthrough]];
      case Ending::timeout:  // no answer; once an aim has passed it is a delay all the same
        s.missed += ended.ending == Ending::timeout ? 1 : 0;
        if (ended.elapsed >= shortest_aim_) measure(s, ended.elapsed);
        [[fallthrough]];
      case Ending::connect_failed:
      case Ending::reset:
        s.good *= 1.0 - kNewest;
        rest(s, Duration{}, failing(s));
        break;
      case Ending::cancelled:
      case Ending::not_sent:
        break;
    }
  }

  // Step 5: a set-up answered full goes once to another server with room; all else that failed is final.
  void after_failure(Call& call, const AttemptEnded& ended) {
    const bool effect_matters = set_.classes[call.told.call_class].effect != Effect::repeatable;
    const bool never_ran = ended.ending == Ending::full || ended.ending == Ending::connect_failed ||
                           ended.ending == Ending::not_sent;
    if (effect_matters && !never_ran) call.may_have_run = true;
    if (now_ >= call.told.caller_leaves || call.may_have_run || ended.number_busy) return fail(call);
    Server* from = find_server(ended.server);
    if (never_ran) {
      Server* other = call.turned_back ? nullptr : rotation(call, kMargin, from);
      if (ended.ending != Ending::connect_failed) call.turned_back = true;
      if (other == nullptr || now_ + other->measured >= due(call)) return refuse(call);
      enqueue(call, *other);
      return;
    }
    // EXCEPTION (attempt lost): sent again after the release guard, if the aim leaves room for it.
    const Duration guard = set_.release_guard;
    const Time again = now_ + guard + std::max(set_.tick, Duration{1});
    if (again >= std::min(due(call), last_start(call))) return fail(call);
    call.not_before = now_ + guard;
    call.state = State::guarded;
    guarded_.emplace(again, call.told.call);
  }

  void release_guarded() {
    while (!guarded_.empty() && guarded_.begin()->first <= now_) {
      const CallId id = guarded_.begin()->second;
      guarded_.erase(guarded_.begin());
      const auto found = calls_.find(id);
      if (found == calls_.end() || found->second.state != State::guarded) continue;
      if (!bind(found->second)) wait_unbound(found->second);
    }
  }

  static bool frees_slot(Server& s, CallId call, std::uint32_t attempt) {
    if (!s.slot || s.slot->call != call || s.slot->attempt != attempt) return false;
    s.slot.reset();
    return true;
  }

  void measure(Server& s, Duration took) {
    took = std::max(took, Duration{});
    // The older the rest of the mean, the more the newest counts.
    const double age = seconds(now_ - s.measured_at) / std::max(seconds(shortest_aim_), 1.0e-9);
    const double kept = s.measured == Duration{} ? 0.0 : std::pow(1.0 - kNewest, 1.0 + 2.0 * age);
    const Duration off = s.measured == Duration{} ? part_of(took, 0.5) : std::chrono::abs(took - s.measured);
    s.deviation = part_of(s.deviation, kept) + part_of(off, 1.0 - kept);
    s.measured = part_of(aged(s), kept) + part_of(took, 1.0 - kept);
    s.measured_at = now_;
  }

  // Without a free line it is passed over, for an aim at most if no news comes.
  void lines_told(Server& s, const LoadReport& told) {
    if (!(told.free_lines >= 0.0)) return;
    s.no_lines_until = told.free_lines > 0.0 ? Time{} : now_ + shortest_aim_;
    if (!(told.lines >= 1.0) || !std::isfinite(told.lines)) return;
    s.lines = told.lines;
    s.free_part = std::min(told.free_lines / told.lines, 1.0);
    double sum = 0.0;
    double n = 0.0;
    for (const auto& [id, o] : servers_) {
      sum += o.lines;
      n += o.lines > 0.0 ? 1.0 : 0.0;
    }
    usual_lines_ = sum / n;
  }

  // After a pause of our own an answer may have waited here: of what is possible, the delay known is
  // likeliest.
  [[nodiscard]] Duration ours_off(const Server& s, Duration took) const {
    return std::clamp(s.measured, std::max(took - paused_, Duration{}), std::max(took, Duration{}));
  }

  // EXCEPTION (jammed server): an answer too late for the shortest aim is no recovery: the server has more
  // before it than it can do in time, and rests like a full one.
  void answered(Server& s, Duration took) {
    s.missed = 0;
    measure(s, took);
    if (took < part_of(shortest_aim_, kMargin)) return recovered(s);
    rest(s, Duration{}, s.failures + 1);
  }

  void recovered(Server& s) {
    s.good += kNewest * (1.0 - s.good);
    if (s.failures >= kTellFailures) note("answers again", s);
    s.failures = 0;
    s.last_good = now_;
    s.rests_until = Time{};
  }

  // Failures in a row, once nothing has gone well for an aim: a server that serves others between is not
  // down.
  [[nodiscard]] std::uint32_t failing(const Server& s) const {
    return now_ < s.last_good + shortest_aim_ ? 0 : s.failures;
  }

  // EXCEPTION (failing server): it rests, longer each time in a row, and then gets one set-up as a trial.
  void rest(Server& s, Duration told, std::uint32_t in_a_row) {
    double part = 0.0;
    if (in_a_row > 0) part = kFirstRest * std::pow(2.0, std::min(in_a_row - 1, 16U));
    part = std::min(part, kLongestRest);
    const Duration unit = std::max(shortest_aim_, 2 * own_share_interval(s));
    const Duration pause = std::max(s.measured, part_of(unit, part));
    s.rests_until = now_ + std::max(told, part_of(pause, 0.75 + 0.5 * uniform()));
    if (++s.failures == kTellFailures) note("fails in a row, rests between trials", s);
  }

  // ------------------------------------------------------------ final answers

  void refuse_unqueued(const Call& call) { out_->emplace_back(Refuse{call.told.call, come_back(call)}); }

  // When to dial again, where the settings allow such advice: once the first server open to the call is due
  // to have room. If that is too late for its aim there is no hurry: such callers are spread over some aims,
  // for what they cost now would be lost by others.
  [[nodiscard]] Duration come_back(const Call& call) {
    if (!set_.may_advise_retry || call.told.call_class >= set_.classes.size()) return Duration{};
    Duration room = set_.retry_advice_cap;
    for (const auto& [id, s] : servers_) {
      if (!open_to(call, s)) continue;
      const Duration queue =
          from_seconds(static_cast<double>(s.queue.count_to(call.level)) * seconds(delay(s)));
      room = std::min(room, std::max({queue, s.rests_until - now_, s.no_lines_until - now_}));
    }
    room = std::max(room, look_again());
    const bool in_time = !call.late && now_ + room + look_again() < due(call);
    return std::min(set_.retry_advice_cap, in_time ? room : std::max(room, spread(kLateAims * call.aim)));
  }

  void refuse(Call& call) {
    if (call.may_have_run) return fail(call);
    end(call);
    refuse_unqueued(call);
    calls_.erase(call.told.call);
  }

  void fail(Call& call) {
    end(call);
    out_->emplace_back(Fail{call.told.call});
    calls_.erase(call.told.call);
  }

  void end(const Call& call) {
    remember_turned_away(call);
    if (call.state == State::waiting && by_order_.contains(call.order)) take_out(call);
  }

  void take(const CallerLeft& left) {
    const auto found = calls_.find(left.call);
    left_.insert(left.call);  // perhaps it came in this very turn
    if (found == calls_.end()) return;
    end(found->second);
    calls_.erase(found);
  }

  // EXCEPTION (number found busy): another call to it within an aim is refused; later ones take the lowest
  // level.
  void note_busy(NumberCalled number) {
    if (number == NumberCalled{}) return;
    std::erase_if(busy_numbers_, [this](const auto& entry) { return now_ - entry.second > set_.ramp; });
    busy_numbers_[number] = now_;
  }
  [[nodiscard]] bool found_busy_just_now(NumberCalled number) const {
    const auto found = busy_numbers_.find(number);
    return found != busy_numbers_.end() && now_ < found->second + shortest_aim_;
  }

  // ------------------------------------------------------------ the list and reports

  void take(const ListTold& list) {
    asked_ = true;
    if (list.complete) {
      for (auto& [id, s] : servers_) {
        const bool kept = std::any_of(list.entries.begin(), list.entries.end(),
                                      [&](const ServerEntry& e) { return e.server == id; });
        if (!kept) s.told.state = ServerState::gone;
      }
    }
    for (const ServerEntry& entry : list.entries) servers_[entry.server].told = entry;
    for (auto& [id, s] : servers_) {
      if (!listed_ready(s)) move_away(s);
    }
    rebind_unbound();
    std::erase_if(noted_,
                  [&](const auto& n) { return now_ > n.second + 2 * std::max(set_.ramp, shortest_aim_); });
  }

  void move_away(Server& s) {
    while (!s.queue.due.empty()) {
      Call& call = calls_.at(by_order_.at(s.queue.due.begin()->second));
      take_out(call);
      if (!bind(call)) wait_unbound(call);
    }
  }

  void rebind_unbound() {
    std::vector<CallId> all;
    for (const auto& level : unbound_.levels) {
      for (const auto& [order, id] : level) all.push_back(id);
    }
    for (const CallId id : all) {
      Call& call = calls_.at(id);
      take_out(call);
      if (!bind(call)) wait_unbound(call);
    }
  }

  void forget_gone() {
    std::erase_if(servers_, [](const auto& entry) {
      const Server& s = entry.second;
      return s.told.state == ServerState::gone && !s.slot && s.queue.empty();
    });
  }

  void take(const ListFailed& /*failed*/) { asked_ = false; }
  void ask_for_list() {
    if (now_ < ask_again_) return;
    asked_ = true;
    ask_again_ = now_ + part_of(set_.must_ask_in, 0.1 + 0.1 * uniform());
    out_->emplace_back(SubscribeToList{true});
  }

  void take(const ServerReported& reported) {
    Server* s = find_server(reported.server);
    if (s != nullptr) lines_told(*s, reported.report);
  }
  void take(const PeerSaid& /*said*/) {}
  void take(const TimerFired& fired) {
    if (fired.token == TimerToken{timers_}) wake_at_ = now_;
  }

  // While calls wait, look again soon; else now and then, so that a pause of this gateway's own shows.
  void wake_later() {
    const bool waiting = !by_order_.empty() || !guarded_.empty() || (set_.must_ask_for_list && !asked_);
    const Time at = now_ + (waiting ? 1 : kIdleLooks) * look_again();
    if (wake_at_ > now_ && wake_at_ <= at) return;
    wake_at_ = at;
    out_->emplace_back(SetTimer{wake_at_, TimerToken{++timers_}});
  }

  Server* find_server(ServerId id) {
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : &found->second;
  }

  // A line for on-call staff, at most one for a symptom (and server) in a ramp's time.
  void note(const std::string& symptom) {
    const auto [told, first] = noted_.try_emplace(symptom, now_);
    if (!first && now_ < told->second + std::max(set_.ramp, shortest_aim_)) return;
    told->second = now_;
    out_->emplace_back(LogLine{symptom});
  }
  void note(const char* symptom, const Server& s) {
    note("server " + std::to_string(static_cast<std::uint32_t>(s.told.server)) + " " + symptom);
  }

  // SplitMix64: a small generator whose numbers are the same on every machine.
  double uniform() {
    random_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t z = random_;
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
    return static_cast<double>((z ^ (z >> 31U)) >> 11U) * 0x1.0p-53;
  }

  Settings set_;
  std::uint64_t random_;
  Time now_{};
  ActionSink* out_ = nullptr;
  double best_worth_ = 0.0;
  double usual_lines_ = 1.0;
  double total_size_ = 0.0;  // of the ready servers
  double tries_a_second_ = 0.0;
  double stood_a_second_ = 0.0;
  Duration shortest_aim_{};
  std::map<ServerId, Server> servers_;  // ordered: equal events must give equal actions
  std::unordered_map<CallId, Call> calls_;
  std::map<std::uint64_t, CallId> by_order_;  // those that wait
  std::set<std::pair<Time, CallId>> guarded_;
  std::map<NumberCalled, Time> busy_numbers_;
  std::unordered_map<NumberCalled, Time> turned_away_;  // when they first tried
  std::deque<std::pair<Time, NumberCalled>> forget_at_;
  Queue unbound_;
  std::map<std::string, Time> noted_;
  std::vector<CallArrived> arrived_;  // in this turn
  std::set<CallId> left_;             // in this turn
  Time heard_{};                      // when it last had a turn
  Duration paused_{};                 // how long it may have stood still before this turn
  std::map<std::uint32_t, Duration> usual_stay_;
  std::uint64_t arrivals_ = 0;
  Time began_{};
  Rate first_tries_;
  Rate stood_;
  std::map<std::uint32_t, Rate> class_tries_;
  std::map<std::uint32_t, Rate> class_stood_;
  double tokens_ = 0.0;
  Time tokens_counted_{};
  bool asked_ = false;
  Time ask_again_{};
  Time wake_at_{};
  std::uint64_t timers_ = 0;
};

Controller::Controller(const Settings& settings, std::uint64_t seed)
    : policy_(std::make_unique<Policy>(settings, seed)) {}
Controller::~Controller() = default;
Controller::Controller(Controller&&) noexcept = default;
Controller& Controller::operator=(Controller&&) noexcept = default;

void Controller::on(Time now, std::span<const Event> events, ActionSink& actions) {
  policy_->on(now, events, actions);
}
void Controller::on(Time now, const Event& event, ActionSink& actions) { on(now, {&event, 1}, actions); }
std::size_t Controller::open_calls() const { return policy_->open_calls(); }

}  // namespace reeltack
