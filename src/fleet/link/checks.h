// Bounds on the fleet's messages. The same bounds hold for messages that are sent and for those received, so
// that a member never sends what a peer of its version would reject. They do not depend on the encoding.
// Stateless and thread-safe.
#pragma once

#include <string>

#include "fleet/link/codec.h"

namespace reeltack::fleet::link {

// Throws a CodecError with the text "FIELD: PROBLEM". `field` is a path such as "updates[3].name".
[[noreturn]] void throw_field_error(const std::string& field, const std::string& problem);
// The checks throw a CodecError that names the first field out of bounds.
void check_bounds(const members::Message& message);
void check_bounds(const eager_push::Message& push);
void check_bounds(const Exchange& exchange);
void check_text(const std::string& text, std::size_t max_bytes, const std::string& field);

}  // namespace reeltack::fleet::link
