#include "standin/model/processor.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <utility>

namespace reeltack::standin {
namespace {

Duration scaled(Duration d, double factor) {
  return Duration{std::llround(static_cast<double>(d.count()) * factor)};
}

}  // namespace

Duration Processor::cost(Work work) const {
  switch (work) {
    case Work::set_up:
      return settings_.set_up;
    case Work::answer:
      return settings_.answer;
    case Work::release:
      return settings_.release;
  }
  return {};
}

double Processor::capacity(Time now) const {
  if (fallen_) return 0.0;
  double warm = 1.0;
  if (settings_.ramp > Duration{} && now < started_ + settings_.ramp) {
    const double part = static_cast<double>(std::max(now - started_, Duration{}).count()) /
                        static_cast<double>(settings_.ramp.count());
    warm = settings_.cold_from + (1.0 - settings_.cold_from) * part;
  }
  return warm / slow_;
}
// By the capacity of its beginning: a piece is short against the ramp.
Duration Processor::at_speed(Duration work, Time now) const {
  return scaled(work, 1.0 / std::max(capacity(now), 1e-6));
}
Duration Processor::wait(Time now) const {
  Duration work = waiting_ + extra_;
  if (settings_.finish_first) {
    for (const Piece& p : ends_) work += p.left;
  }
  Duration left{};
  if (now_) left = paused_ ? at_speed(now_->left, now) : std::max(ends_at_ - now, Duration{});
  return left + at_speed(work, now);
}
Duration Processor::busy(Time now) const {
  return busy_ + (now_ && !paused_ ? std::min(now, ends_at_) - began_ : Duration{});
}

bool Processor::offer(Time now, Work work, std::uint64_t call) {
  if (fallen_) return false;
  const Duration cost_now = cost(work);
  if (work == Work::set_up) {
    if (settings_.fall_multiple > 0.0 && now < started_ + settings_.ramp) {
      given_.emplace_back(now, cost_now);
      given_sum_ += cost_now;
      while (given_.front().first <= now - settings_.fall_span) {
        given_sum_ -= given_.front().second;
        given_.pop_front();
      }
      if (given_sum_ > scaled(settings_.fall_span, settings_.fall_multiple * capacity(now))) {
        fallen_ = true;
        set_ups_.clear();
        ends_.clear();
        now_.reset();
        waiting_ = {};
        return false;
      }
    }
    if (settings_.turn_away > Duration{} && wait(now) > settings_.turn_away) {
      extra_ += settings_.refuse;
      return false;
    }
    set_ups_.push_back({work, call, cost_now, false, now + settings_.resend, settings_.resend});
    waiting_ += cost_now;
  } else {
    ends_.push_back({work, call, cost_now, false, Time::max(), {}});
  }
  if (!now_ && !paused_) begin(now);
  return true;
}

void Processor::withdraw(std::uint64_t call) {
  for (auto p = set_ups_.begin(); p != set_ups_.end(); ++p) {
    if (p->call != call || p->repeat) continue;
    waiting_ -= p->left;
    set_ups_.erase(p);
    return;
  }
}

// A set-up that still waits at its time is sent again: one more piece of work at the end of the line.
void Processor::repeat_waiting(Time now) {
  if (settings_.resend <= Duration{} || settings_.repeat <= Duration{}) return;
  const std::size_t waits = set_ups_.size();
  for (std::size_t i = 0; i < waits; ++i) {
    if (set_ups_[i].repeat) continue;
    while (set_ups_[i].again <= now) {
      Piece& p = set_ups_[i];
      p.gap *= 2;
      p.again += p.gap;
      const std::uint64_t call = p.call;
      set_ups_.push_back({Work::set_up, call, settings_.repeat, true, Time::max(), {}});
      waiting_ += settings_.repeat;
      ++repeats_;
    }
  }
}

void Processor::begin(Time now) {
  if (fallen_ || paused_ || now_) return;
  std::deque<Piece>* from = nullptr;
  const bool ends_next = !ends_.empty() && (settings_.finish_first || set_ups_.empty());
  if (ends_next) {
    from = &ends_;
  } else if (!set_ups_.empty()) {
    from = &set_ups_;
  } else {
    return;
  }
  now_ = from->front();
  from->pop_front();
  if (from == &set_ups_) waiting_ -= now_->left;
  now_->left += std::exchange(extra_, Duration{});
  began_ = now;
  ends_at_ = now + at_speed(now_->left, now);
}

std::optional<Time> Processor::next() const {
  if (!now_ || paused_ || fallen_) return std::nullopt;
  return ends_at_;
}

void Processor::advance(Time now, std::vector<Done>& done) {
  while (now_ && !paused_ && ends_at_ <= now) {
    const Time at = ends_at_;
    repeat_waiting(at);
    if (!now_->repeat) done.push_back({at, now_->work, now_->call});
    busy_ += at - began_;
    now_.reset();
    begin(at);
  }
  if (!paused_) repeat_waiting(now);
}

void Processor::stop(Time now) {
  if (!now_) return;
  const Duration length = std::max(ends_at_ - began_, Duration{1});
  const double part = std::clamp(
      static_cast<double>((ends_at_ - now).count()) / static_cast<double>(length.count()), 0.0, 1.0);
  now_->left = scaled(now_->left, part);
  busy_ += std::min(now, ends_at_) - began_;
  began_ = now;
}
void Processor::slow(Time now, double factor) {
  if (!paused_) stop(now);
  slow_ = std::max(factor, 1e-3);
  if (now_) ends_at_ = now + at_speed(now_->left, now);
}
void Processor::pause(Time now, bool on) {
  if (on == paused_) return;
  if (on) stop(now);
  paused_ = on;
  if (on) return;
  began_ = now;
  if (now_) {
    ends_at_ = now + at_speed(now_->left, now);
  } else {
    begin(now);
  }
}

void Processor::check() const {
  Duration sum{};
  for (const Piece& p : set_ups_) sum += p.left;
  if (sum != waiting_) throw std::logic_error("the work that waits is not the sum of what waits");
  if (!now_ && !paused_ && !fallen_ && (!set_ups_.empty() || !ends_.empty()))
    throw std::logic_error("it idles while work waits");
  if (fallen_ && (now_ || !set_ups_.empty())) throw std::logic_error("it works although it has fallen over");
}

}  // namespace reeltack::standin
