// Epochs of the bulletin's lists. Must never: let a number go back within one epoch.
#include "fleet/recovery/epochs.h"

#include <algorithm>
#include <stdexcept>

namespace reeltack::fleet::recovery {

void ListEpochs::step() {
  kept_.reset();  // of a life that is over
  if (epoch_ != ~std::uint64_t{0}) ++epoch_;
}

void ListEpochs::restore(std::uint64_t epoch, std::uint64_t number) {
  if (number_ != 0 || restarts_ != 0) return;
  epoch_ = epoch;
  kept_ = number;
}

std::uint64_t ListEpochs::told(std::uint64_t number, std::uint64_t restarts) {
  if (restarts > restarts_) {
    step();  // one, however often it restarted unseen: who saw more has the higher epoch, which is taken
    number_ = 0;
  }
  restarts_ = std::max(restarts_, restarts);
  number_ = std::max(number_, number);
  return epoch_;
}

std::uint64_t ListEpochs::caught_up() {
  if (kept_ && number_ < *kept_) step();
  kept_.reset();
  return epoch_;
}

bool ListEpochs::take(const ListId& own, const ListId& peer) {
  if (own.epoch != epoch_ || own.number != number_ || number_ == 0) return false;  // not followed here
  if (peer.number != own.number || peer.digest != own.digest) return false;
  if (peer.epoch <= epoch_ || peer.epoch - epoch_ > kMaxEpochLead) return false;
  epoch_ = peer.epoch;
  kept_.reset();
  return true;
}

std::uint64_t ListEpochs::number() const { return std::max(number_, kept_.value_or(0)); }

void ListEpochs::check() const {
  if (kept_ && restarts_ != 0) throw std::logic_error("epochs: kept of a life that is over");
}

}  // namespace reeltack::fleet::recovery
