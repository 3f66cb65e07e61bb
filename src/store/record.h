// One record as bytes: what stands beside a value, and the checksum over all of it and its key.
//
// Owns: the form and its version. Must never: do I/O, or take bytes whose checksum is wrong.
//
// Form 2, numbers with the low byte first: form (1 byte), format of the value (2), written-at in nanoseconds
// of the Unix clock (8), name of the boot (16) and nanoseconds since it (8), fleet's length (1) and fleet,
// owner's length (1) and owner, value, and XXH3 (8; xxHash 0.8, 64 bits) over the key's length (2), the key
// and all that stands before. Form 1, which is read still, has no boot.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "store/store.h"

namespace reeltack::store {

std::string encode(const StoredRecord& record);
// The checksum that ends a record's bytes (at least 8 of them).
std::uint64_t checksum_of(std::string_view bytes);
// Nothing where the bytes are not such a record of that key; `why` says in what.
std::optional<StoredRecord> decode(std::string_view key, std::string_view bytes, std::string& reason);

// What all records come to: kept under the empty key, which no record has.
struct Seal {
  std::uint64_t generation = 0;  // batches written
  std::uint64_t count = 0;       // records, the seal left out
  std::uint64_t sum = 0;         // of their checksums, modulo 2^64
};
std::string encode(const Seal& seal);
std::optional<Seal> decode_seal(std::string_view value);

}  // namespace reeltack::store
