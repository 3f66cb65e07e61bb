// Conversion between the fleet's own types and the types generated from fleet.proto. Private to this folder.
#pragma once

#include "fleet.pb.h"
#include "fleet/link/codec.h"

namespace reeltack::fleet::link {

inline bool is_supported(std::uint32_t version) {
  return version >= kOldestVersion && version <= kNewestVersion;
}
// The conversions check presence, unknown fields and ranges, and throw a CodecError that names the field.
wire::Message to_wire(const members::Message& message);
wire::News to_wire(const eager_push::Message& push);
wire::Exchange to_wire(const Exchange& exchange);
Envelope from_wire(const wire::Envelope& envelope);  // accepts any version
members::Message from_wire(const wire::Message& message);
eager_push::Message from_wire(const wire::News& push);
Exchange from_wire(const wire::Exchange& exchange);

}  // namespace reeltack::fleet::link
