// Resource records: types, and record data in text and wire form (RFC 1035, 3.3; RFC 2782).
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace reeltack::dns {

enum Type : std::uint16_t { kA = 1, kNs = 2, kCname = 5, kSoa = 6, kTxt = 16, kSrv = 33, kAny = 255 };

// Types that a zone may hold, by name in a master file.
const std::map<std::string, std::uint16_t>& type_names();

// All records of one name and type.
struct RecordSet {
  std::uint32_t ttl = 0;       // seconds
  std::set<std::string> data;  // wire form, names not compressed
};

// Master file form of record data, which must be valid.
std::string data_to_text(std::uint16_t type, const std::string& data);
// Checks record data in a message and returns it without name compression; nothing: malformed.
std::optional<std::string> data_from_wire(std::string_view message, std::size_t at, std::size_t length,
                                          std::uint16_t type);

}  // namespace reeltack::dns
