// Reads back the rules that this process actually runs by, from the components that apply them, and holds the
// version that the operator offers.
//
// The values come from the core, the decision module and the coordinator, never from the configuration.
// Threads: collect() and next() by the link's only; offer() and read() by any. Errors: read() returns them as
// text.
#pragma once

#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "config/config.h"
#include "fleet/coordinator/coordinator.h"

namespace reeltack::fleet {

class RulesReader {
 public:
  RulesReader(const core::Core& core, const Coordinator& coordinator, const config::Node& node,
              std::string file);

  // Returns the version in the file, or nothing if there is no file or it is refused; in the latter case sets
  // `error_text`.
  [[nodiscard]] std::optional<drift::Version> read(std::string& error_text) const;
  // Stores a version for the next collect(), replacing one not collected yet. Does nothing without a version.
  void offer(std::optional<drift::Version> version);
  [[nodiscard]] std::vector<drift::Event> collect(Time now);
  [[nodiscard]] Time next() const { return next_; }
  [[nodiscard]] rules::Tree read_back() const;

 private:
  const core::Core& core_;
  const Coordinator& coordinator_;
  const config::Node node_;  // supplies the class names for reading a file
  const std::string file_;
  Time next_ = Time::min();
  std::mutex mutex_;
  std::optional<drift::Version> offered_;
};

}  // namespace reeltack::fleet
