// The offices that are listed, what is told of each, and which of them get nothing new now.
//
// Owns: the entries of the list in force, whether each office can be reached, and what follows for the calls
//   that stand there when an office goes, is left out of a whole list, or starts anew.
// Must never: do I/O, read a clock, choose an office for a call, or keep an office that has gone.
//
// Threads: none; whoever owns it calls it from one. No clock is read; a restart shows by the `start` told.
// Equal inputs give equal outputs, in the order of the offices' ids. A change takes O(log n) an entry, a
// whole list O(n log n) of the offices held and told.
#pragma once

#include <map>
#include <span>
#include <vector>

#include "reeltack/controller.h"

namespace reeltack::membership {

class Roster {
 public:
  // Takes a list or changes to it. Returns the offices whose standing calls are over with this: gone, left
  // out of a whole list, or started anew at a later time than told before; each once, by id.
  std::vector<ServerId> told(bool complete, std::span<const ServerEntry> entries);
  // What dialling found. An office that is not listed is left alone. A link that fails without having been up
  // before counts as well: calls for it would come back unsent. True: this has changed.
  bool reached(ServerId office, bool up);

  [[nodiscard]] bool holds(ServerId office) const { return members_.contains(office); }
  [[nodiscard]] bool ready(ServerId office) const;  // listed, and told as ready
  [[nodiscard]] std::size_t size() const { return members_.size(); }
  // Of the listed, those that get nothing new: told as draining, or out of reach.
  [[nodiscard]] std::size_t avoided() const;
  // Throws std::logic_error if a rule of this class does not hold; tests call it after each step.
  void check() const;

 private:
  struct Member {
    ServerEntry entry;
    bool unreachable = false;
  };
  std::map<ServerId, Member> members_;
};

}  // namespace reeltack::membership
