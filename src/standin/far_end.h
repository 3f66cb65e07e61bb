// A stand-in for the far end of a trunk group: keeps to the rules, or breaks them as it is told.
//
// Owns: its connection, its end of the group, its calls, and the script.
// Must never: decide on a route: it answers what comes in, and places the calls that it is told to.
//
// One thread of its own; loopback only. Other threads may ask for its counts and give orders at any time.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/base.h"
#include "circuits/group.h"

namespace reeltack::standin {

struct FarEndSettings {
  std::string group;
  circuits::GroupSettings circuits;  // as this end sees them
  std::optional<base::Address> dial;
  std::optional<base::Address> listen;
  Duration answer_after{};  // of a call that comes in
  Duration hold{};          // it releases what came in after this; 0: it does not
  int refuse_every = 0;     // every n-th call that comes in is refused: cause 42
  // Breaches, each for a test.
  std::optional<std::uint32_t> hello_size;  // says another number of circuits
  bool hello_same_control = false;          // claims the control that the other end has
  std::string hostile;                      // these bytes once the connection is up
};

class FarEnd {
 public:
  explicit FarEnd(FarEndSettings settings);  // throws std::runtime_error
  ~FarEnd();
  FarEnd(const FarEnd&) = delete;
  FarEnd& operator=(const FarEnd&) = delete;

  // Seizes a circuit for a call of its own, to the class and place; it hangs up after `hold` once it stands.
  void place(std::uint64_t call, const std::string& call_class, std::uint32_t first_choice, Duration hold);
  // So long before it takes a message off the wire: a slow wire, on which seizures meet.
  void delay(Duration each);
  void restart();            // comes back with nothing, on a new connection
  void cut();                // breaks the connection
  void hang(Duration span);  // neither reads nor writes nor answers a connection for so long
  void lose(circuits::Cic first, std::uint32_t count, bool lost);
  struct Counts {
    std::uint64_t offered = 0, answered_in = 0, refused_in = 0;               // calls that came in
    std::uint64_t placed = 0, answered_out = 0, not_sent = 0, ended_out = 0;  // calls that went out
    std::uint64_t over_stood = 0;
    circuits::Group::Counts group{};
    std::uint32_t busy = 0, selectable = 0;
    std::uint64_t connections = 0, faults = 0;  // connections ended for a message that breaks the rules
    bool up = false;
  };
  [[nodiscard]] Counts counts() const;

 private:
  class World;
  std::unique_ptr<World> world_;
};

}  // namespace reeltack::standin
