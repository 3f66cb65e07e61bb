// The offices that this process may use at all: those that its own sources name.
//
// Its own sources are the list that it was started with and its bulletin. Until the first list of this run
// the list that its store holds counts. No other member adds to it, and the store adds nothing to a list of
// this run, since that was written later. Not synchronised. Equal inputs give equal outputs; copyable.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "fleet/recovery/evidence.h"

namespace reeltack::fleet::recovery {

class OwnList {
 public:
  struct Entry {
    Office office;
    OfficeState state{};  // ready or draining
    bool operator==(const Entry&) const = default;
  };
  explicit OwnList(std::size_t max_offices) : max_offices_(max_offices) {}
  // The list of an earlier run. No effect once a list of this run was received.
  void restore(const std::vector<Evidence>& stored);
  // From the configuration or the bulletin: the whole list (`complete`), or the offices that have changed.
  void receive(bool complete, const std::vector<Evidence>& offices);
  [[nodiscard]] const Entry* find(ServerId office) const;  // nullptr: not named
  // Whether the office is named as ready at this address.
  [[nodiscard]] bool allows(const Office& office) const;
  [[nodiscard]] const std::map<ServerId, Entry>& entries() const { return entries_; }
  bool operator==(const OwnList&) const = default;

 private:
  void apply(const Evidence& office);
  std::size_t max_offices_;
  bool received_ = false;
  std::map<ServerId, Entry> entries_;
};

}  // namespace reeltack::fleet::recovery
