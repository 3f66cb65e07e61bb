// Encodes a record as bytes: the metadata, the value, and a checksum over them and the key. Does no I/O
// and decodes no bytes whose checksum is wrong.
//
// Layout version 2, all numbers little-endian: layout version (1 byte), format of the value (2), time
// of writing in nanoseconds of the Unix clock (8), boot id (16) and nanoseconds since that boot (8),
// length of the fleet name (1) and the name, length of the owner name (1) and the name, the value, and
// the 64-bit XXH3 (8; xxHash 0.8) over the length of the key (2), the key and all preceding bytes.
// Layout version 1, which can still be read, has no boot id and time.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "store/store.h"

namespace reeltack::store {

std::string encode(const StoredRecord& record);
// The checksum at the end of an encoded record, which has at least 8 bytes.
std::uint64_t checksum_of(std::string_view bytes);
// Empty if the bytes are not a valid record of that key; `reason` then tells why.
std::optional<StoredRecord> decode(std::string_view key, std::string_view bytes, std::string& reason);

// Totals over all records, stored under the empty key, which no record has.
struct Seal {
  std::uint64_t generation = 0;  // batches written
  std::uint64_t count = 0;       // records, without the seal
  std::uint64_t sum = 0;         // of the checksums of the records, modulo 2^64
};
std::string encode(const Seal& seal);
std::optional<Seal> decode_seal(std::string_view value);

}  // namespace reeltack::store
