// Encoding and decoding of records and of the seal.
#include "store/record.h"

#include <xxhash.h>

#include <algorithm>

namespace reeltack::store {
namespace {

constexpr std::uint8_t kLayoutVersion = 2;
constexpr std::uint8_t kLayoutWithoutBoot = 1;
constexpr std::size_t kFixedBytes = 45;  // of a record, without names and value

void append_number(std::string& to, std::uint64_t value, int bytes) {
  for (int i = 0; i < bytes; ++i) to += static_cast<char>(value >> (8 * i) & 0xff);
}

std::uint64_t read_number(std::string_view bytes) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    value |= std::uint64_t{static_cast<unsigned char>(bytes[i])} << (8 * i);
  }
  return value;
}

std::uint64_t compute_checksum(std::string_view key, std::string_view bytes) {
  std::string input;
  input.reserve(2 + key.size() + bytes.size());
  append_number(input, key.size(), 2);
  input.append(key).append(bytes);
  return XXH3_64bits(input.data(), input.size());
}

// Reads from the front. `ok` becomes false, and stays so, once too few bytes are left.
struct Reader {
  std::string_view left;
  bool ok = true;
  std::string_view take(std::size_t bytes) {
    if (bytes > left.size()) {
      ok = false;
      return {};
    }
    const std::string_view taken = left.substr(0, bytes);
    left.remove_prefix(bytes);
    return taken;
  }
};

clocks::BootTime take_boot_time(Reader& from) {
  clocks::BootTime out;
  const std::string_view boot = from.take(out.boot.size());
  std::copy(boot.begin(), boot.end(), out.boot.begin());
  out.since_boot = Duration{static_cast<Duration::rep>(read_number(from.take(8)))};
  return out;
}

}  // namespace

std::string encode(const StoredRecord& record) {
  std::string out;
  out.reserve(record.value.size() + record.fleet.size() + record.owner.size() + kFixedBytes);
  append_number(out, kLayoutVersion, 1);
  append_number(out, record.format, 2);
  append_number(out, static_cast<std::uint64_t>(record.written_at.time_since_epoch().count()), 8);
  const clocks::BootTime& since_boot = record.written_since_boot;
  out.append(since_boot.boot.begin(), since_boot.boot.end());
  append_number(out, static_cast<std::uint64_t>(since_boot.since_boot.count()), 8);
  append_number(out, record.fleet.size(), 1);
  out += record.fleet;
  append_number(out, record.owner.size(), 1);
  out += record.owner;
  out += record.value;
  append_number(out, compute_checksum(record.key, out), 8);
  return out;
}

std::uint64_t checksum_of(std::string_view bytes) { return read_number(bytes.substr(bytes.size() - 8)); }

std::optional<StoredRecord> decode(std::string_view key, std::string_view bytes, std::string& reason) {
  if (bytes.size() < 8) {
    reason = "is too short";
    return std::nullopt;
  }
  if (compute_checksum(key, bytes.substr(0, bytes.size() - 8)) != checksum_of(bytes)) {
    reason = "has a wrong checksum";
    return std::nullopt;
  }
  Reader from{bytes.substr(0, bytes.size() - 8)};
  const std::uint64_t layout = read_number(from.take(1));
  if (layout != kLayoutVersion && layout != kLayoutWithoutBoot) {
    reason = "has layout version " + std::to_string(layout) + ", expected " + std::to_string(kLayoutVersion);
    return std::nullopt;
  }
  StoredRecord out;
  out.key = key;
  out.format = static_cast<std::uint16_t>(read_number(from.take(2)));
  out.written_at = clocks::WallTime{Duration{static_cast<Duration::rep>(read_number(from.take(8)))}};
  if (layout == kLayoutVersion) out.written_since_boot = take_boot_time(from);
  out.fleet = from.take(read_number(from.take(1)));
  out.owner = from.take(read_number(from.take(1)));
  if (!from.ok) {
    reason = "ends within its names";
    return std::nullopt;
  }
  out.value = from.left;
  return out;
}

std::string encode(const Seal& seal) {
  std::string out;
  for (const std::uint64_t value : {seal.generation, seal.count, seal.sum}) append_number(out, value, 8);
  return out;
}

std::optional<Seal> decode_seal(std::string_view value) {
  if (value.size() != 24) return std::nullopt;
  return Seal{read_number(value.substr(0, 8)), read_number(value.substr(8, 8)),
              read_number(value.substr(16, 8))};
}

}  // namespace reeltack::store
