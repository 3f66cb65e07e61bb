// Stand-in centrales with their bulletin: what a controller speaks to where no real one may be used.
//
// Owns: the centrales, the bulletin, the script of failures, and a log of every set-up and end with its time.
// Must never: judge what a controller does (load/plan/rules does), or speak to anything off this machine.
//
// They live on one thread of their own, from the construction to the end. Other threads may ask for the log
// and the known list at any time. Errors: std::runtime_error from the constructor where an address is taken.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "load/plan/rules.h"
#include "standin/centrales_file.h"

namespace reeltack::standin {

class Centrales {
 public:
  explicit Centrales(CentralesSettings settings);
  ~Centrales();
  Centrales(const Centrales&) = delete;
  Centrales& operator=(const Centrales&) = delete;

  // Every set-up and end so far, in order of time. The log is handed over: what was taken is not kept.
  [[nodiscard]] std::vector<load::OfficeEvent> take_log();
  // "known" of a controller's configuration: the bulletin's list now, with its number.
  [[nodiscard]] std::string known_json() const;
  // By hand, beside the script: begins at once, whatever its `at`. Any thread.
  void befall(const Trouble& trouble);
  struct Counts {
    std::uint64_t set_ups = 0, stood = 0, turned_away = 0, no_line = 0, cut = 0;
    std::size_t standing = 0, queued = 0;
    std::uint64_t fallen = 0, repeats = 0;
  };
  [[nodiscard]] Counts counts() const;

 private:
  class World;
  std::unique_ptr<World> world_;
};

}  // namespace reeltack::standin
