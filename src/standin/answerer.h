// A stand-in for a whole controller, to test what loads one: it answers every set-up at once, or misbehaves
// as it is told.
//
// Owns: its listener, its connections, and the script of misbehaviour.
// Must never: be right by chance: every fault is asked for.
//
// One thread of its own. Loopback only.
#pragma once

#include <atomic>
#include <memory>

#include "base/base.h"

namespace reeltack::standin {

struct AnswererSettings {
  base::Address at{};
  bool websocket = false;  // call control in place of SIP
  Duration pause_at{};     // from its start: neither reads nor answers ...
  Duration pause_for{};    // ... for so long; 0: never
  Duration silent_from{};  // from then on it reads and never answers; 0: never
  Duration deaf_from{};    // from then on it reads nothing; 0: never
  Duration reset_at{};     // it resets every connection once; 0: never
  int refuse_first = 0;    // of each call's number called (not of its id): so many refusals before it stands
  int refuse_later_ms = 0;
  int twice_every = 0;    // every n-th call is answered twice; 0: none
  int foreign_every = 0;  // ... with a description that no centrale made
  int stray_every = 0;    // ... and another answer goes to a call nobody made
  int garbage_after = 0;  // after so many calls what comes is no message, once; 0: never
};

class Answerer {
 public:
  explicit Answerer(const AnswererSettings& settings);  // throws std::runtime_error
  ~Answerer();
  Answerer(const Answerer&) = delete;
  Answerer& operator=(const Answerer&) = delete;
  // Until now its script does not run: so that it can be made before what speaks to it.
  void start_script();
  [[nodiscard]] std::uint64_t set_ups() const;
  [[nodiscard]] std::uint64_t given_up() const;
  [[nodiscard]] std::uint64_t released() const;

 private:
  class World;
  std::unique_ptr<World> world_;
};

}  // namespace reeltack::standin
