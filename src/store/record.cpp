// A record's bytes: see the header.
#include "store/record.h"

#include <xxhash.h>

#include <algorithm>

namespace reeltack::store {
namespace {

constexpr std::uint8_t kForm = 2;
constexpr std::uint8_t kFormWithoutBoot = 1;
constexpr std::size_t kFixedBytes = 45;  // of a record, without its names and value

void add(std::string& to, std::uint64_t value, int bytes) {
  for (int i = 0; i < bytes; ++i) to += static_cast<char>(value >> (8 * i) & 0xff);
}

std::uint64_t number(std::string_view bytes) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    value |= std::uint64_t{static_cast<unsigned char>(bytes[i])} << (8 * i);
  }
  return value;
}

std::uint64_t sum_over(std::string_view key, std::string_view bytes) {
  std::string whole;
  whole.reserve(2 + key.size() + bytes.size());
  add(whole, key.size(), 2);
  whole.append(key).append(bytes);
  return XXH3_64bits(whole.data(), whole.size());
}

// Takes from the front; `ok` is false from the first time on that there is too little.
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
  out.since_boot = Duration{static_cast<Duration::rep>(number(from.take(8)))};
  return out;
}

}  // namespace

std::string encode(const StoredRecord& record) {
  std::string out;
  out.reserve(record.value.size() + record.fleet.size() + record.owner.size() + kFixedBytes);
  add(out, kForm, 1);
  add(out, record.format, 2);
  add(out, static_cast<std::uint64_t>(record.written_at.time_since_epoch().count()), 8);
  const clocks::BootTime& since_boot = record.written_since_boot;
  out.append(since_boot.boot.begin(), since_boot.boot.end());
  add(out, static_cast<std::uint64_t>(since_boot.since_boot.count()), 8);
  add(out, record.fleet.size(), 1);
  out += record.fleet;
  add(out, record.owner.size(), 1);
  out += record.owner;
  out += record.value;
  add(out, sum_over(record.key, out), 8);
  return out;
}

std::uint64_t checksum_of(std::string_view bytes) { return number(bytes.substr(bytes.size() - 8)); }

std::optional<StoredRecord> decode(std::string_view key, std::string_view bytes, std::string& reason) {
  if (bytes.size() < 8) {
    reason = "is too short";
    return std::nullopt;
  }
  if (sum_over(key, bytes.substr(0, bytes.size() - 8)) != checksum_of(bytes)) {
    reason = "has a wrong checksum";
    return std::nullopt;
  }
  Reader from{bytes.substr(0, bytes.size() - 8)};
  const std::uint64_t form = number(from.take(1));
  if (form != kForm && form != kFormWithoutBoot) {
    reason = "has form " + std::to_string(form) + ", known is " + std::to_string(kForm);
    return std::nullopt;
  }
  StoredRecord out;
  out.key = key;
  out.format = static_cast<std::uint16_t>(number(from.take(2)));
  out.written_at = clocks::WallTime{Duration{static_cast<Duration::rep>(number(from.take(8)))}};
  if (form == kForm) out.written_since_boot = take_boot_time(from);
  out.fleet = from.take(number(from.take(1)));
  out.owner = from.take(number(from.take(1)));
  if (!from.ok) {
    reason = "ends within its names";
    return std::nullopt;
  }
  out.value = from.left;
  return out;
}

std::string encode(const Seal& seal) {
  std::string out;
  for (const std::uint64_t value : {seal.generation, seal.count, seal.sum}) add(out, value, 8);
  return out;
}

std::optional<Seal> decode_seal(std::string_view value) {
  if (value.size() != 24) return std::nullopt;
  return Seal{number(value.substr(0, 8)), number(value.substr(8, 8)), number(value.substr(16, 8))};
}

}  // namespace reeltack::store
