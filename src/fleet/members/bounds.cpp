#include "fleet/members/bounds.h"

#include <algorithm>
#include <numeric>

namespace reeltack::fleet::members {
namespace {

// envelope 44, kind, sequence, target and its address, length prefixes
constexpr std::size_t kHeaderBytes = 80;
// ids 16, incarnation 10, health, address 6, tags and length prefixes
constexpr std::size_t kUpdateBytes = 56;

bool valid_incarnation(Incarnation incarnation) { return incarnation >= 1 && incarnation < kMaxIncarnation; }
bool valid_endpoint(const Endpoint& at) { return at.port != 0 && at.address != 0; }

bool well_formed(const Update& update) {
  return update.member != MemberId{} && valid_incarnation(update.incarnation) &&
         update.health <= Health::left && valid_endpoint(update.at) && update.name.size() <= kMaxNameBytes &&
         update.zone.size() <= kMaxZoneBytes;
}

}  // namespace

std::size_t encoded_size(const Update& update) {
  return kUpdateBytes + update.name.size() + update.zone.size();
}

std::size_t encoded_size(const Message& message) {
  return std::accumulate(message.updates.begin(), message.updates.end(), kHeaderBytes,
                         [](std::size_t sum, const Update& u) { return sum + encoded_size(u); });
}

bool well_formed(const Message& message) {
  if (message.envelope.from == MemberId{} || !valid_incarnation(message.envelope.incarnation)) return false;
  if (message.kind > Kind::table) return false;
  if (message.updates.size() > (message.kind == Kind::table ? kMaxTableUpdates : kMaxUpdates)) return false;
  const bool targeted = message.kind != Kind::join && message.kind != Kind::table;
  if (targeted && message.target == MemberId{}) return false;
  if (message.kind == Kind::ping_request && !valid_endpoint(message.target_at)) return false;
  return std::all_of(message.updates.begin(), message.updates.end(),
                     [](const Update& u) { return well_formed(u); });
}

}  // namespace reeltack::fleet::members
