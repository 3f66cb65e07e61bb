#include "circuits/group.h"

#include <algorithm>
#include <stdexcept>

namespace reeltack::circuits {
namespace {

constexpr int kCircuitNotAvailable = 44;

std::uint32_t ranges_of(const GroupSettings& s) { return (s.size + s.audit_range - 1) / s.audit_range; }

}  // namespace

Duration settle_bound(const GroupSettings& s) {
  // It is asked about within a period, once more after the confirmation, and waits for its turn to be
  // settled.
  const std::uint32_t batches = (s.size + s.settle_batch - 1) / s.settle_batch;
  return s.audit_period + s.confirm_after + s.settle_gap * batches;
}

const char* name_of(Kind kind) {
  static constexpr const char* kNames[] = {"iam", "anm", "rel", "rlc", "rsc", "blo",
                                           "bla", "ubl", "uba", "cqm", "cqr"};
  return kNames[static_cast<std::size_t>(kind)];
}

Group::Group(const GroupSettings& settings)
    : settings_(settings),
      circuits_(settings.size),
      idle_(settings.size),
      own_(settings.size),
      other_(settings.size) {
  if (settings.size == 0 || settings.audit_range == 0 || settings.settle_batch == 0)
    throw std::invalid_argument("a group needs circuits, a range and a batch above 0");
  if (settings.own == settings.far) throw std::invalid_argument("both ends have the same point code");
  calls_.reserve(std::size_t{settings.size} * 2);
}

// ---------------------------------------------------------------- one circuit

void Group::reselect(Cic cic) {
  const Circuit& c = circuits_[cic];
  const bool free = up_ && c.state == State::idle && !c.blocked_local && !c.blocked_remote && !c.lost &&
                    !c.unaudited && c.disagreed == 0;
  for (IdleSet* set : {&idle_, controls(cic) ? &own_ : &other_}) free ? set->insert(cic) : set->erase(cic);
}

void Group::enter(Cic cic, State state, std::uint64_t call) {
  Circuit& c = circuits_[cic];
  if (holds_call(c.state)) {
    calls_.erase(key(c.call, is_out(c.state)));
    --busy_;
  }
  c.state = state;
  c.call = state == State::idle || state == State::resetting ? 0 : call;
  c.disagreed = 0;
  if (holds_call(state)) {
    calls_[key(call, is_out(state))] = cic;
    ++busy_;
  }
  reselect(cic);
}

void Group::say(Cic cic, Kind kind, std::uint64_t call, int cause, GroupActions& actions) {
  Circuit& c = circuits_[cic];
  c.disagreed = 0;
  Message m;
  m.kind = kind;
  m.cic = cic;
  m.call = call;
  m.cause = cause;
  m.sequence = ++c.sent;
  m.heard = c.heard;
  actions.emplace_back(Send{std::move(m)});
}

std::optional<Cic> Group::pick() const {
  switch (settings_.hunting) {
    case Hunting::same:
      return idle_.lowest();
    case Hunting::opposite:
      return settings_.own > settings_.far ? idle_.highest() : idle_.lowest();
    case Hunting::priority:
      break;
  }
  if (const auto own = own_.longest_idle()) return own;
  return other_.last_released();
}

void Group::drop(Cic cic, int cause, bool told, GroupActions& actions) {
  const Circuit& c = circuits_[cic];
  if (holds_call(c.state)) actions.emplace_back(Over{c.call, is_out(c.state), stands(c.state), cause, told});
  enter(cic, State::idle, 0);
}

void Group::begin_release(Time now, Cic cic, int cause, GroupActions& actions) {
  const std::uint64_t call = circuits_[cic].call;
  if (!up_) {  // the far end hears of it by the audit that follows the reconnection
    circuits_[cic].unaudited = true;
    return enter(cic, State::idle, 0);
  }
  enter(cic, State::releasing, call);
  circuits_[cic].tries = 1;
  say(cic, Kind::rel, call, cause, actions);
  again_.push_back({now + settings_.release_again, cic, circuits_[cic].sent, epoch_});
}

void Group::begin_reset(Time now, Cic cic, GroupActions& actions) {
  enter(cic, State::resetting, 0);
  ++counts_.resets;
  say(cic, Kind::rsc, 0, 0, actions);
  again_.push_back({now + settings_.release_again, cic, circuits_[cic].sent, epoch_});
}

// ---------------------------------------------------------------- told by the program

Refusal Group::seize(Time /*now*/, std::uint64_t call, GroupActions& actions) {
  if (!up_) return Refusal::not_connected;
  if (calls_.contains(key(call, true)) || calls_.contains(key(call, false))) return Refusal::call_known;
  const auto cic = pick();
  if (!cic) return Refusal::no_circuit;
  ++counts_.seized;
  enter(*cic, State::seized_out, call);
  say(*cic, Kind::iam, call, 0, actions);
  circuits_[*cic].seized = circuits_[*cic].sent;
  return Refusal::none;
}

void Group::answer(Time /*now*/, std::uint64_t call, GroupActions& actions) {
  const auto found = calls_.find(key(call, false));
  if (found == calls_.end() || circuits_[found->second].state != State::seized_in) return;
  const Cic cic = found->second;
  enter(cic, State::standing_in, call);
  say(cic, Kind::anm, call, 0, actions);
}

void Group::release(Time now, std::uint64_t call, bool outgoing, int cause, GroupActions& actions) {
  const auto found = calls_.find(key(call, outgoing));
  if (found != calls_.end()) begin_release(now, found->second, cause, actions);
}

void Group::say_blocks(bool blocked, Cic first, std::uint32_t count, GroupActions& actions) {
  if (!up_ || count == 0) return;
  Message m;
  m.kind = blocked ? Kind::blo : Kind::ubl;
  m.cic = first;
  m.count = count;
  actions.emplace_back(Send{std::move(m)});
}

void Group::block(Time now, Cic first, std::uint32_t count, bool at_once, GroupActions& actions) {
  for (Cic cic = first; cic < first + count && cic < settings_.size; ++cic) {
    circuits_[cic].blocked_local = true;
    reselect(cic);
    if (!at_once || !holds_call(circuits_[cic].state)) continue;
    const Circuit& c = circuits_[cic];
    actions.emplace_back(Over{c.call, is_out(c.state), stands(c.state), kTemporaryFailure, false});
    begin_release(now, cic, kTemporaryFailure, actions);
  }
  say_blocks(true, first, std::min(count, settings_.size - first), actions);
}

void Group::unblock(Time /*now*/, Cic first, std::uint32_t count, GroupActions& actions) {
  count = std::min(count, settings_.size - first);
  for (Cic cic = first; cic < first + count; ++cic) {
    circuits_[cic].blocked_local = circuits_[cic].block_heard = false;
    reselect(cic);
  }
  // What is lost stays blocked for the far end.
  for (Cic cic = first; cic < first + count;) {
    if (circuits_[cic].lost) {
      ++cic;
      continue;
    }
    const Cic begin = cic;
    while (cic < first + count && !circuits_[cic].lost) ++cic;
    say_blocks(false, begin, cic - begin, actions);
  }
}

void Group::lose(Time now, Cic first, std::uint32_t count, GroupActions& actions) {
  count = std::min(count, settings_.size - first);
  say_blocks(true, first, count, actions);
  for (Cic cic = first; cic < first + count; ++cic) {
    Circuit& c = circuits_[cic];
    c.lost = true;
    reselect(cic);
    if (!holds_call(c.state)) continue;
    actions.emplace_back(Over{c.call, is_out(c.state), stands(c.state), kTemporaryFailure, false});
    begin_release(now, cic, kTemporaryFailure, actions);
  }
}

void Group::restore(Time /*now*/, Cic first, std::uint32_t count, GroupActions& actions) {
  count = std::min(count, settings_.size - first);
  for (Cic cic = first; cic < first + count; ++cic) {
    Circuit& c = circuits_[cic];
    c.lost = false;
    c.unaudited = true;  // not before both ends agree that it is idle
    reselect(cic);
    if (!c.blocked_local) {
      c.block_heard = false;
      say_blocks(false, cic, 1, actions);
    }
  }
  if (!up_) return;
  for (Cic at = first; at < first + count; at += settings_.audit_range)
    query(at, std::min(settings_.audit_range, first + count - at), actions);
}

// ---------------------------------------------------------------- connection

void Group::connected(Time now, GroupActions& actions) {
  if (up_) broken(now, actions);
  up_ = true;
  ++epoch_;
  again_.clear();
  confirm_.clear();
  to_settle_.clear();
  settle_at_ = silence_at_ = Time::max();
  for (Cic cic = 0; cic < settings_.size; ++cic) {
    Circuit& c = circuits_[cic];
    c.sent = c.heard = c.seized = 0;
    c.disagreed = 0;
    c.blocked_remote = c.block_heard = false;
    c.unaudited = true;
    reselect(cic);
  }
  for (Cic cic = 0; cic < settings_.size;) {
    const auto shut = [this](Cic at) { return circuits_[at].blocked_local || circuits_[at].lost; };
    const Cic begin = cic;
    while (cic < settings_.size && shut(cic)) ++cic;
    say_blocks(true, begin, cic - begin, actions);
    if (cic == begin) ++cic;
  }
  audit_now(now, actions);
}

void Group::audit_now(Time now, GroupActions& actions) {
  if (!up_) return;
  audit_urgent_ = true;
  audit_next_ = 0;
  audit_due_ = now + settings_.audit_period;
  step_audit(now, actions);
}

void Group::broken(Time now, GroupActions& actions) {
  if (!up_) return;
  up_ = false;
  audit_due_ = settle_at_ = Time::max();
  audit_urgent_ = false;
  silence_at_ = now + settings_.silence_most;
  for (Cic cic = 0; cic < settings_.size; ++cic) {
    Circuit& c = circuits_[cic];
    c.unaudited = true;
    c.disagreed = 0;
    // No connection owns what stands. What had no answer is over at both ends, whatever was on its way.
    if (stands(c.state)) {
      reselect(cic);
    } else {
      drop(cic, kTemporaryFailure, false, actions);
    }
  }
}

Time Group::next_due() const {
  Time out = std::min({settle_at_, audit_due_, silence_at_});
  if (!again_.empty()) out = std::min(out, again_.front().at);
  if (!confirm_.empty()) out = std::min(out, confirm_.front().at);
  return out;
}

void Group::fire(Time now, GroupActions& actions) {
  while (!again_.empty() && again_.front().at <= now) {
    const Due due = again_.front();
    again_.pop_front();
    Circuit& c = circuits_[due.cic];
    if (!up_ || due.epoch != epoch_ || c.sent != due.sent) continue;  // something was said since
    if (c.state == State::releasing && c.tries < settings_.release_most) {
      ++c.tries;
      ++counts_.releases_again;
      say(due.cic, Kind::rel, c.call, kNormalClearing, actions);
      again_.push_back({now + settings_.release_again, due.cic, c.sent, epoch_});
    } else if (c.state == State::releasing || c.state == State::resetting) {
      begin_reset(now, due.cic, actions);
    }
  }
  while (!confirm_.empty() && confirm_.front().at <= now) {
    const Due due = confirm_.front();
    confirm_.pop_front();
    const Circuit& c = circuits_[due.cic];
    if (up_ && due.epoch == epoch_ && c.sent == due.sent && c.disagreed == 1) query(due.cic, 1, actions);
  }
  if (settle_at_ <= now) settle(now, actions);
  if (audit_due_ <= now) step_audit(now, actions);
  if (silence_at_ <= now) {
    silence_at_ = Time::max();
    for (Cic cic = 0; cic < settings_.size; ++cic) {
      if (stands(circuits_[cic].state)) drop(cic, kTemporaryFailure, false, actions);
    }
  }
}

// ---------------------------------------------------------------- told by the wire

bool Group::take(Time now, const Message& m, GroupActions& actions) {
  if (!up_ || m.cic >= settings_.size || m.count == 0 || m.count > settings_.size - m.cic) return false;
  if (m.kind >= Kind::blo) return take_group(now, m, actions);
  Circuit& c = circuits_[m.cic];
  // In order, each once, and nothing heard that was not said: else these are not two ends of one connection.
  if (m.count != 1 || m.sequence != c.heard + 1 || m.heard > c.sent) return false;
  c.heard = m.sequence;
  c.disagreed = 0;
  reselect(m.cic);
  const bool older = is_older(m.heard, c.sent);  // it was said before this end's last word was heard
  switch (m.kind) {
    case Kind::iam:
      return take_iam(now, m, older, actions);
    case Kind::anm:
      if (c.state == State::seized_out && c.call == m.call) {
        enter(m.cic, State::standing_out, m.call);
        actions.emplace_back(Answered{m.call});
      } else {
        ++counts_.stale;  // it crossed our release; or an audit settles it
      }
      return true;
    case Kind::rel:
      return take_rel(m, actions), true;
    case Kind::rlc:
      if (c.state == State::releasing ? c.call == m.call : c.state == State::resetting && m.call == 0)
        enter(m.cic, State::idle, 0);
      return true;
    case Kind::rsc:
      return take_rsc(m, older, actions), true;
    default:
      return false;
  }
}

bool Group::take_iam(Time now, const Message& m, bool older, GroupActions& actions) {
  const Circuit& c = circuits_[m.cic];
  const bool known = calls_.contains(key(m.call, false)) || calls_.contains(key(m.call, true));
  if (is_older(m.heard, c.seized)) {
    // Both have seized it, and neither had heard the other; ours may be over again by now. The far end finds
    // the same when ours gets there, whatever else has happened on the way.
    ++counts_.collisions;
    if (wins(m.cic)) return true;
    if (c.state == State::seized_out) {
      ++counts_.glare_lost;
      actions.emplace_back(NotSent{c.call});
    }
    enter(m.cic, State::idle, 0);
  } else if (c.state == State::resetting || c.state == State::releasing) {
    if (!older) return false;
    ++counts_.stale;  // the reset or release is the older word: the far end will find so too
    enter(m.cic, State::idle, 0);
  } else if (c.state != State::idle) {
    return false;  // both know of a call here
  }
  // A block that the far end had not heard of does not turn away what crosses it; a lost circuit does.
  if (c.lost || (c.blocked_local && c.block_heard) || known) {
    enter(m.cic, State::releasing, m.call);
    circuits_[m.cic].tries = 1;
    say(m.cic, Kind::rel, m.call, known ? kTemporaryFailure : kCircuitNotAvailable, actions);
    again_.push_back({now + settings_.release_again, m.cic, c.sent, epoch_});
    return true;
  }
  ++counts_.offered;
  enter(m.cic, State::seized_in, m.call);
  actions.emplace_back(Offered{m.call, m.cic});
  return true;
}

void Group::take_rel(const Message& m, GroupActions& actions) {
  const Circuit& c = circuits_[m.cic];
  if (holds_call(c.state) && c.call != m.call) {
    // Of a call that lost against ours: the far end learns of ours and needs no completion.
    ++counts_.stale;
    return;
  }
  if (holds_call(c.state)) drop(m.cic, m.cause, true, actions);
  if (c.state == State::resetting) enter(m.cic, State::idle, 0);
  // In releasing the two releases have crossed: theirs is completed, and ours still awaits its completion.
  say(m.cic, Kind::rlc, m.call, 0, actions);
}

void Group::take_rsc(const Message& m, bool older, GroupActions& actions) {
  const Circuit& c = circuits_[m.cic];
  if (older && holds_call(c.state)) {
    ++counts_.stale;  // decided before our last word was heard: the newer word wins
    return;
  }
  drop(m.cic, kTemporaryFailure, false, actions);
  say(m.cic, Kind::rlc, 0, 0, actions);
}

// ---------------------------------------------------------------- blocking and audits

bool Group::take_group(Time now, const Message& m, GroupActions& actions) {
  if (m.sequence != 0) return false;
  switch (m.kind) {
    case Kind::blo:
    case Kind::ubl: {
      const bool blocked = m.kind == Kind::blo;
      for (Cic cic = m.cic; cic < m.cic + m.count; ++cic) {
        circuits_[cic].blocked_remote = blocked;
        reselect(cic);
      }
      Message answer;
      answer.kind = blocked ? Kind::bla : Kind::uba;
      answer.cic = m.cic;
      answer.count = m.count;
      actions.emplace_back(Send{std::move(answer)});
      return true;
    }
    case Kind::bla:
      for (Cic cic = m.cic; cic < m.cic + m.count; ++cic)
        circuits_[cic].block_heard = circuits_[cic].blocked_local || circuits_[cic].lost;
      return true;
    case Kind::uba:
      return true;
    case Kind::cqm:
      if (m.count > settings_.audit_range) return false;
      respond(m, actions);
      return true;
    case Kind::cqr:
      if (m.words.size() != m.count) return false;
      compare(now, m, actions);
      return true;
    default:
      return false;
  }
}

std::uint32_t Group::query(Cic first, std::uint32_t count, GroupActions& actions) {
  Message m;
  m.kind = Kind::cqm;
  m.cic = first;
  m.count = count;
  m.token = ++tokens_;
  actions.emplace_back(Send{std::move(m)});
  return tokens_;
}

void Group::step_audit(Time now, GroupActions& actions) {
  if (audit_next_ == 0) ++counts_.audits;
  const std::uint32_t count = std::min(settings_.audit_range, settings_.size - audit_next_);
  const std::uint32_t token = query(audit_next_, count, actions);
  audit_next_ += count;
  if (audit_urgent_) urgent_token_ = token;
  if (audit_next_ < settings_.size) {
    // Spread over the period, or one after the other where it is urgent.
    if (!audit_urgent_) audit_due_ = now + settings_.audit_period / static_cast<int>(ranges_of(settings_));
    return;
  }
  audit_next_ = 0;
  audit_urgent_ = false;
  audit_due_ = now + settings_.audit_period / static_cast<int>(ranges_of(settings_));
}

void Group::respond(const Message& query, GroupActions& actions) const {
  Message m;
  m.kind = Kind::cqr;
  m.cic = query.cic;
  m.count = query.count;
  m.token = query.token;
  m.words.reserve(query.count);
  for (Cic cic = query.cic; cic < query.cic + query.count; ++cic) {
    const Circuit& c = circuits_[cic];
    CircuitWord w;
    w.heard = c.heard;
    w.standing = stands(c.state);
    if (holds_call(c.state)) {
      w.state = is_out(c.state) ? CircuitWord::State::out : CircuitWord::State::in;
      w.call = c.call;
    } else if (c.state != State::idle) {
      w.state = CircuitWord::State::changing;
    }
    m.words.push_back(w);
  }
  actions.emplace_back(Send{std::move(m)});
}

void Group::compare(Time now, const Message& response, GroupActions& actions) {
  for (std::uint32_t i = 0; i < response.count; ++i) compare_one(now, response.cic + i, response.words[i]);
  if (audit_urgent_ && response.token == urgent_token_) step_audit(now, actions);
}

void Group::agreed(Cic cic) {
  Circuit& c = circuits_[cic];
  c.disagreed = 0;
  c.unaudited = false;
  reselect(cic);
}

void Group::compare_one(Time now, Cic cic, const CircuitWord& word) {
  Circuit& c = circuits_[cic];
  using W = CircuitWord::State;
  // Something of ours had not been heard when this was said: it speaks of a past state. The other way round
  // nothing can be on its way, since what was sent before it has come before it.
  if (word.heard != c.sent) return;
  if (word.state == W::changing || c.state == State::releasing || c.state == State::resetting) return;
  if (c.state == State::idle && word.state == W::idle) return agreed(cic);
  const bool same =
      holds_call(c.state) && word.call == c.call && word.state == (is_out(c.state) ? W::in : W::out);
  if (same) return agreed(cic);
  if (c.disagreed == 2) return;  // it waits to be settled
  if (c.disagreed == 1 && c.far_call == word.call) {
    c.disagreed = 2;
    to_settle_.push_back(cic);
    if (settle_at_ == Time::max()) settle_at_ = now;
    return;
  }
  ++counts_.suspects;
  c.disagreed = 1;
  c.far_call = word.call;
  reselect(cic);
  confirm_.push_back({now + settings_.confirm_after, cic, c.sent, epoch_});
}

// What disagreed twice with nothing in between: our call is known here alone and over, theirs is reset.
void Group::settle(Time now, GroupActions& actions) {
  settle_at_ = Time::max();
  for (std::uint32_t n = 0; n < settings_.settle_batch && !to_settle_.empty();) {
    const Cic cic = to_settle_.front();
    to_settle_.pop_front();
    Circuit& c = circuits_[cic];
    if (c.disagreed != 2) continue;  // a newer word has come
    ++n;
    const std::uint64_t far_call = c.far_call;
    if (holds_call(c.state)) {
      ++counts_.freed;
      c.unaudited = true;
      drop(cic, kTemporaryFailure, false, actions);
    }
    c.disagreed = 0;
    if (far_call != 0) {
      begin_reset(now, cic, actions);
    } else {
      query(cic, 1, actions);
    }
  }
  if (!to_settle_.empty()) settle_at_ = now + settings_.settle_gap;
}

// ---------------------------------------------------------------- what it holds

std::string Group::describe(Cic cic) const {
  static constexpr const char* kNames[] = {"idle",        "seized-out", "seized-in", "standing-out",
                                           "standing-in", "releasing",  "resetting"};
  const Circuit& c = circuits_[cic];
  std::string out = kNames[static_cast<std::size_t>(c.state)];
  if (c.blocked_local) out += " blocked-local";
  if (c.blocked_remote) out += " blocked-remote";
  if (c.lost) out += " lost";
  if (c.unaudited) out += " unaudited";
  if (c.disagreed > 0) out += " suspect";
  return out;
}

Group::Summary Group::summary() const {
  Summary out;
  for (const Circuit& c : circuits_) {
    out.idle += c.state == State::idle ? 1 : 0;
    out.seized += c.state == State::seized_out || c.state == State::seized_in ? 1 : 0;
    out.standing += stands(c.state) ? 1 : 0;
    out.releasing += c.state == State::releasing || c.state == State::resetting ? 1 : 0;
    out.blocked_local += c.blocked_local ? 1 : 0;
    out.blocked_remote += c.blocked_remote ? 1 : 0;
    out.lost += c.lost ? 1 : 0;
    out.suspect += c.disagreed > 0 ? 1 : 0;
    out.unaudited += c.unaudited ? 1 : 0;
  }
  return out;
}

void Group::fingerprint(std::string& out) const {
  const auto put = [&out](std::uint64_t v, int bytes) {
    for (int i = 0; i < bytes; ++i) out += static_cast<char>(v >> static_cast<unsigned>(8 * i));
  };
  out += up_ ? 'u' : 'd';
  put(audit_next_, 2);
  out += audit_urgent_ ? '!' : '.';
  for (Cic cic = 0; cic < settings_.size; ++cic) {
    const Circuit& c = circuits_[cic];
    put(static_cast<std::uint64_t>(c.state), 1);
    put(static_cast<std::uint64_t>(c.blocked_local) | static_cast<std::uint64_t>(c.block_heard) << 1U |
            static_cast<std::uint64_t>(c.blocked_remote) << 2U | static_cast<std::uint64_t>(c.lost) << 3U |
            static_cast<std::uint64_t>(c.unaudited) << 4U | static_cast<std::uint64_t>(c.disagreed) << 5U,
        1);
    put(c.call, 1);
    put(c.far_call, 1);
    put(c.sent, 1);
    put(c.heard, 1);
    put(c.seized, 1);
    put(c.tries, 1);
  }
  put(again_.size(), 1);
  put(confirm_.size(), 1);
  for (const Cic cic : to_settle_) put(cic + 1, 1);
}

void Group::check() const {
  std::uint32_t busy = 0;
  std::uint32_t free = 0;
  const auto wrong = [](const char* what) { throw std::logic_error(std::string("trunk group: ") + what); };
  for (Cic cic = 0; cic < settings_.size; ++cic) {
    const Circuit& c = circuits_[cic];
    if (holds_call(c.state)) {
      ++busy;
      const auto found = calls_.find(key(c.call, is_out(c.state)));
      if (found == calls_.end() || found->second != cic)
        wrong("a busy circuit whose call is not in the table");
    }
    const bool selectable = up_ && c.state == State::idle && !c.blocked_local && !c.blocked_remote &&
                            !c.lost && !c.unaudited && c.disagreed == 0;
    if (selectable != idle_.contains(cic)) wrong("the idle set is not what can be selected");
    if (selectable != (controls(cic) ? own_ : other_).contains(cic))
      wrong("the halves are not what can be selected");
    free += selectable ? 1 : 0;
    if (!up_ && !stands(c.state) && c.state != State::idle)
      wrong("a call without an answer outlived its connection");
  }
  if (busy != busy_ || calls_.size() != busy) wrong("the count of busy circuits is off");
  if (free != idle_.size() || own_.size() + other_.size() != free) wrong("the count of idle circuits is off");
}

}  // namespace reeltack::circuits
