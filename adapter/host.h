// Hosts the Controllers of several gateways (instances) in one process and converts each batch of records
// into a reply. Takes no decision itself. For use by one thread at a time.
#pragma once

#include <functional>
#include <map>
#include <optional>

#include "config/settings.h"
#include "wire.h"

namespace reeltack::wire {

class Host {
 public:
  // `log` receives a line about each event that cannot be passed to an instance.
  explicit Host(std::function<void(const std::string&)> log) : log_(std::move(log)) {}

  // Takes a complete batch frame and returns the reply frame. Throws WireError on malformed input.
  Bytes answer(std::span<const std::uint8_t> frame);

 private:
  struct Instance {
    std::vector<std::string> columns;  // names of the values in load reports
    Controller controller;
  };
  struct Step;
  void handle(Step& step, Record& record);
  void decide(Step& step, std::uint32_t id);
  std::function<void(const std::string&)> log_;
  std::map<std::uint32_t, Instance> instances_;
  std::map<std::uint8_t, std::vector<ServerEntry>> lists_;  // by number
};

}  // namespace reeltack::wire
