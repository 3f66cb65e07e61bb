#include "fleet/recovery/epochs.h"

#include <algorithm>
#include <stdexcept>

namespace reeltack::fleet::recovery {

void ListEpochs::begin_epoch() {
  stored_number_.reset();  // from a run of the bulletin that has ended
  if (epoch_ != ~std::uint64_t{0}) ++epoch_;
}

void ListEpochs::restore(std::uint64_t epoch, std::uint64_t number) {
  if (number_ != 0 || restarts_ != 0) return;
  epoch_ = epoch;
  stored_number_ = number;
}

std::uint64_t ListEpochs::update(std::uint64_t number, std::uint64_t restarts) {
  if (restarts > restarts_) {
    // One epoch however many restarts were missed: a member that saw more has the higher epoch, which is
    // adopted.
    begin_epoch();
    number_ = 0;
  }
  restarts_ = std::max(restarts_, restarts);
  number_ = std::max(number_, number);
  return epoch_;
}

std::uint64_t ListEpochs::caught_up() {
  if (stored_number_ && number_ < *stored_number_) begin_epoch();
  stored_number_.reset();
  return epoch_;
}

bool ListEpochs::adopt(const ListId& own, const ListId& peer) {
  if (own.epoch != epoch_ || own.number != number_ || number_ == 0) return false;  // not followed here
  if (peer.number != own.number || peer.digest != own.digest) return false;
  if (peer.epoch <= epoch_ || peer.epoch - epoch_ > kMaxEpochLead) return false;
  epoch_ = peer.epoch;
  stored_number_.reset();
  return true;
}

std::uint64_t ListEpochs::number() const { return std::max(number_, stored_number_.value_or(0)); }

void ListEpochs::check() const {
  if (stored_number_ && restarts_ != 0)
    throw std::logic_error("epochs: stored number kept after a restart of the bulletin");
}

}  // namespace reeltack::fleet::recovery
