// Domain names: as text in zones, and as the labels of messages (RFC 1035, 3.1 and 4.1.4).
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace reeltack::dns {

// Reads a name as a master file writes it, relative to `origin` unless it ends in a dot; "@" is the origin.
// Names are kept in lower case, whole, with the last dot: "a.example.". Nothing: malformed.
std::optional<std::string> read_name(std::string_view text, std::string_view origin);
// The labels of a name that read_name() gave, not compressed.
std::string name_to_wire(const std::string& name);
// Reads a name off a message, compressed or not; moves `at` behind it. Nothing: malformed, or its pointers
// loop.
std::optional<std::string> name_from_wire(std::string_view message, std::size_t& at);
// Whether the name is the zone's own or below it.
bool within(const std::string& name, const std::string& zone);

}  // namespace reeltack::dns
