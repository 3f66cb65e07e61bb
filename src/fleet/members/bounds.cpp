// The bounds of a message and the estimate of its size. Must never hold state.
#include "fleet/members/bounds.h"

#include <algorithm>
#include <numeric>

namespace reeltack::fleet::members {
namespace {

constexpr std::size_t kHead = 80;    // envelope 44, kind, sequence, target, its address; room for lengths
constexpr std::size_t kUpdate = 56;  // ids 16, incarnation 10, health, address 6; room for tags and lengths

bool within(Incarnation incarnation) { return incarnation >= 1 && incarnation < kMaxIncarnation; }
bool reachable(const Endpoint& at) { return at.port != 0 && at.address != 0; }

bool well_formed(const Update& update) {
  return update.member != MemberId{} && within(update.incarnation) && update.health <= Health::left &&
         reachable(update.at) && update.name.size() <= kMostName && update.zone.size() <= kMaxZoneBytes;
}

}  // namespace

std::size_t encoded_size(const Update& update) { return kUpdate + update.name.size() + update.zone.size(); }

std::size_t encoded_size(const Message& message) {
  return std::accumulate(message.updates.begin(), message.updates.end(), kHead,
                         [](std::size_t sum, const Update& u) { return sum + encoded_size(u); });
}

bool well_formed(const Message& message) {
  if (message.envelope.from == MemberId{} || !within(message.envelope.incarnation)) return false;
  if (message.kind > Kind::table) return false;
  if (message.updates.size() > (message.kind == Kind::table ? kMostTable : kMaxUpdates)) return false;
  const bool targeted = message.kind != Kind::join && message.kind != Kind::table;
  if (targeted && message.target == MemberId{}) return false;
  if (message.kind == Kind::ping_request && !reachable(message.target_at)) return false;
  return std::all_of(message.updates.begin(), message.updates.end(),
                     [](const Update& u) { return well_formed(u); });
}

}  // namespace reeltack::fleet::members
