// Signals that wait to be written to a trunk's connection, encoded as they leave.
//
// Owns: their order, and that a set-up says the patience that its caller has left when its first byte leaves,
//   however long it has waited behind others or for a far end that does not read.
// Must never: do I/O, or read a clock.
//
// Threads: none; whoever owns it calls it under a lock.
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "reeltack/settings.h"
#include "trunk/codec.h"

namespace reeltack::trunk {

class Outbox {
 public:
  /// `give_up`: of a set-up, when its caller waits no longer.
  void add(Signal signal, Time give_up = {});
  void add_ping() { begun_ += encode_ping(); }
  /// What is to be written next, as of now; empty: nothing waits. What is not written is given anew next
  /// time.
  std::string due(Time now);
  /// So many bytes of what due() gave last have been written.
  void written(std::size_t bytes);
  void clear();
  [[nodiscard]] std::size_t bytes() const { return begun_.size() + waiting_bytes_; }  // about

 private:
  struct Waiting {
    Signal signal;
    Time give_up{};
  };
  static std::size_t size_of(const Signal& signal);
  void pop();

  std::string begun_;  // the rest of what was written in part
  std::deque<Waiting> waiting_;
  std::size_t waiting_bytes_ = 0;
  // Of due()'s last answer: its bytes, and where each signal in it ends, the first of waiting_ first.
  std::string encoded_;
  std::vector<std::size_t> ends_;
};

}  // namespace reeltack::trunk
