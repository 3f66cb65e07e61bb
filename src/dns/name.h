// Domain names as text in zones and as labels in messages (RFC 1035, 3.1 and 4.1.4).
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace reeltack::dns {

// Parses a name of a master file, relative to `origin` unless it ends in a dot; "@" is the origin. The result
// is absolute, in lower case, with the last dot: "a.example.". Nothing: malformed.
std::optional<std::string> read_name(std::string_view text, std::string_view origin);
// Uncompressed labels of a name returned by read_name().
std::string name_to_wire(const std::string& name);
// Reads a name from a message, compressed or not, and moves `at` behind it. Nothing: malformed, or its
// compression pointers loop.
std::optional<std::string> name_from_wire(std::string_view message, std::size_t& at);
// Whether the name is the zone's apex or below it.
bool within(const std::string& name, const std::string& zone);

}  // namespace reeltack::dns
