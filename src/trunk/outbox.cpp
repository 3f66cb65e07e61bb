#include "trunk/outbox.h"

#include <algorithm>

namespace reeltack::trunk {
namespace {

constexpr std::size_t kWrittenAtOnce = std::size_t{16} * 1024;
constexpr std::size_t kSignalBytes = 64;  // about, without its description
constexpr std::chrono::milliseconds kMostPatience = std::chrono::hours(1);

std::uint32_t patience_ms(Time give_up, Time now) {
  const auto left = std::chrono::floor<std::chrono::milliseconds>(give_up - now);
  return static_cast<std::uint32_t>(std::clamp(left, std::chrono::milliseconds{}, kMostPatience).count());
}

}  // namespace

std::size_t Outbox::size_of(const Signal& signal) { return kSignalBytes + signal.description.size(); }

void Outbox::add(Signal signal, Time give_up) {
  waiting_bytes_ += size_of(signal);
  waiting_.push_back({std::move(signal), give_up});
}

std::string Outbox::due(Time now) {
  encoded_ = begun_;
  ends_.clear();
  for (Waiting& waiting : waiting_) {
    if (encoded_.size() >= kWrittenAtOnce) break;
    if (waiting.signal.message.kind == circuits::Kind::iam)
      waiting.signal.set_up.patience_ms = patience_ms(waiting.give_up, now);
    encoded_ += encode(waiting.signal);
    ends_.push_back(encoded_.size());
  }
  return encoded_;
}

void Outbox::written(std::size_t bytes) {
  std::size_t whole = begun_.size();  // the bytes that are written or begun, to the end of a signal
  for (const std::size_t end : ends_) {
    if (whole >= bytes) break;
    whole = end;
    pop();
  }
  begun_ = encoded_.substr(bytes, whole - bytes);
  ends_.clear();
}

void Outbox::pop() {
  waiting_bytes_ -= size_of(waiting_.front().signal);
  waiting_.pop_front();
}

void Outbox::clear() {
  begun_.clear();
  waiting_.clear();
  waiting_bytes_ = 0;
  encoded_.clear();
  ends_.clear();
}

}  // namespace reeltack::trunk
