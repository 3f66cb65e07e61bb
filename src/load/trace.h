// Reading of traces (load/trace_format.h), a call at a time.
#pragma once

#include <fstream>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "load/plan/schedule.h"
#include "load/trace_format.h"

namespace reeltack::load {

// Reads a trace, a call at a time; throws TraceError. Classes are named as the scenario's.
class TraceReader {
 public:
  TraceReader(std::string path, const std::vector<LoadClass>& classes);
  std::optional<TraceCall> next();

 private:
  [[noreturn]] void fail(const std::string& what) const;
  const std::string path_;
  std::map<std::string, std::uint32_t, std::less<>> classes_;
  std::ifstream in_;
  std::uint64_t line_ = 0;
  Duration last_{};
};

}  // namespace reeltack::load
