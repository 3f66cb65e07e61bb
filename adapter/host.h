// Hosts the gateways' Controllers of one process and turns batches into replies. Decides nothing.
#pragma once

#include <functional>
#include <map>
#include <optional>

#include "config/settings.h"
#include "wire.h"

namespace reeltack::wire {

class Host {
 public:
  // `complain` takes a plain line about an event that cannot be handed on.
  explicit Host(std::function<void(const std::string&)> complain) : complain_(std::move(complain)) {}

  // A whole batch frame in, the reply frame out. Throws WireError on malformed input.
  Bytes answer(std::span<const std::uint8_t> frame);

 private:
  struct Instance {
    std::vector<std::string> columns;
    Controller controller;
  };
  struct Turn;
  void handle(Turn& turn, Record& record);
  void decide(Turn& turn, std::uint32_t id);
  std::function<void(const std::string&)> complain_;
  std::map<std::uint32_t, Instance> instances_;
  std::map<std::uint8_t, std::vector<ServerEntry>> lists_;
};

}  // namespace reeltack::wire
