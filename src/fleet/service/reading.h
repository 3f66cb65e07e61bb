// What this process decides by, read back from the parts that use it, and the version that its operator
// offers.
//
// Owns: when it is read, and the version read from the file and not yet told.
// Must never: take the configuration's word for what the core, the module or the turn holds.
//
// Threads: collect() and next() by the link's; offer() and read() by any. Errors: read() puts them in words.
#pragma once

#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "config/config.h"
#include "fleet/turn/turn.h"

namespace reeltack::fleet {

class Reading {
 public:
  Reading(const core::Core& core, const Coordinator& turn, const config::Node& node, std::string file);

  // The file's version; none: there is no file, or it is refused, and `why` says so.
  [[nodiscard]] std::optional<drift::Version> read(std::string& why) const;
  void offer(std::optional<drift::Version> version);
  [[nodiscard]] std::vector<drift::Event> collect(Time now);
  [[nodiscard]] Time next() const { return next_; }
  [[nodiscard]] rules::Tree read_back() const;

 private:
  const core::Core& core_;
  const Coordinator& turn_;
  const config::Node node_;  // to read a file by: classes' names
  const std::string file_;
  Time next_ = Time::min();
  std::mutex lock_;
  std::optional<drift::Version> offered_;
};

}  // namespace reeltack::fleet
