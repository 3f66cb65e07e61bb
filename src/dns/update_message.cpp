// Dynamic updates (RFC 2136): parsing, checking of prerequisites and updates, and application to the zone.
#include "dns/update_message.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "dns/numbers.h"
#include "net/net.h"

namespace reeltack::dns {
namespace {

constexpr std::uint16_t kIn = 1;
constexpr std::uint16_t kNone = 254;
constexpr std::uint16_t kAnyClass = 255;

std::uint32_t read_integer(std::string_view data, std::size_t at, std::size_t bytes) {
  return static_cast<std::uint32_t>(net::big_endian(data, at, bytes));
}
// Types valid in queries only (AXFR, MAILB, MAILA; ANY is handled separately).
bool question_only(std::uint16_t type) { return type >= 252 && type <= 254; }
bool served(std::uint16_t type) {
  return type == kA || type == kNs || type == kCname || type == kSoa || type == kTxt || type == kSrv;
}

struct Record {
  std::string name;
  std::uint16_t type = 0;
  std::uint16_t rr_class = 0;
  std::uint32_t ttl = 0;
  std::size_t length = 0;
  std::optional<std::string> data;  // nothing: malformed
};

std::optional<Record> read_record(std::string_view message, std::size_t& at) {
  Record out;
  const auto name = name_from_wire(message, at);
  if (!name || at + 10 > message.size()) return std::nullopt;
  out.name = *name;
  out.type = static_cast<std::uint16_t>(read_integer(message, at, 2));
  out.rr_class = static_cast<std::uint16_t>(read_integer(message, at + 2, 2));
  out.ttl = read_integer(message, at + 4, 4);
  out.length = read_integer(message, at + 8, 2);
  at += 10;
  if (at + out.length > message.size()) return std::nullopt;
  if (out.length > 0) out.data = data_from_wire(message, at, out.length, out.type);
  at += out.length;
  return out;
}

// RFC 2136, 3.2: prerequisites.
int check_prerequisites(const Zone& zone, const std::vector<Record>& records) {
  std::map<std::pair<std::string, std::uint16_t>, std::set<std::string>> required;
  for (const Record& r : records) {
    if (r.ttl != 0) return kFormErr;
    if (!within(r.name, zone.origin())) return kNotZone;
    if (r.rr_class == kIn) {
      if (!r.data) return kFormErr;
      required[{r.name, r.type}].insert(*r.data);
      continue;
    }
    if (r.length != 0 || (r.rr_class != kAnyClass && r.rr_class != kNone)) return kFormErr;
    const bool must_exist = r.rr_class == kAnyClass;
    const bool exists = r.type == kAny ? zone.has_name(r.name) : zone.find(r.name, r.type) != nullptr;
    if (exists == must_exist) continue;
    if (r.type == kAny) return must_exist ? kNxDomain : kYxDomain;
    return must_exist ? kNxRrset : kYxRrset;
  }
  for (const auto& [key, data] : required) {
    const RecordSet* set = zone.find(key.first, key.second);
    if (set == nullptr || set->data != data) return kNxRrset;
  }
  return kNoError;
}

// RFC 2136, 3.4.1: all updates are checked before the first is applied.
int check_updates(const Zone& zone, const std::vector<Record>& records) {
  for (const Record& r : records) {
    if (!within(r.name, zone.origin())) return kNotZone;
    if (question_only(r.type)) return kFormErr;
    if (r.rr_class == kIn) {
      if (r.type == kAny || !r.data) return kFormErr;
      if (!served(r.type))
        return kRefused;  // describes no endpoint, and could not be written to the zone file
    } else if (r.rr_class == kAnyClass) {
      if (r.ttl != 0 || r.length != 0) return kFormErr;
    } else if (r.rr_class == kNone) {
      if (r.ttl != 0 || r.type == kAny || !r.data) return kFormErr;
    } else {
      return kFormErr;
    }
  }
  return kNoError;
}

// RFC 2136, 3.4.2.
void apply_record(Zone& zone, const Record& r) {
  const bool apex = r.name == zone.origin();
  const auto is_protected = [&](std::uint16_t type) { return apex && (type == kSoa || type == kNs); };
  if (r.rr_class == kAnyClass) {
    if (r.type != kAny) {
      if (!is_protected(r.type)) zone.remove(r.name, r.type);
      return;
    }
    for (const std::uint16_t type : {kA, kNs, kCname, kTxt, kSrv}) {
      if (!is_protected(type)) zone.remove(r.name, type);
    }
    return;
  }
  if (r.rr_class == kNone) {
    const RecordSet* set = zone.find(r.name, r.type);
    const bool last_ns = apex && r.type == kNs && set != nullptr && set->data.size() == 1;
    if (r.type != kSoa && !last_ns) zone.remove(r.name, r.type, *r.data);
    return;
  }
  const bool alias = zone.find(r.name, kCname) != nullptr;
  if (r.type == kSoa) {
    if (!apex) return;
    const std::uint32_t serial = read_integer(*r.data, r.data->size() - 20, 4);
    if (static_cast<std::int32_t>(serial - zone.serial()) <= 0) return;  // RFC 1982
  } else if (alias != (r.type == kCname) && zone.has_name(r.name)) {
    return;  // a CNAME excludes other records
  }
  const std::uint32_t ttl = r.ttl > kMaxTtl ? 0 : r.ttl;  // RFC 2181, 8
  zone.add(r.name, r.type, ttl, *r.data);
}

}  // namespace

int apply_update(Zone& zone, std::string_view message, bool& changed) {
  changed = false;
  const std::uint32_t counts[] = {read_integer(message, 4, 2), read_integer(message, 6, 2),
                                  read_integer(message, 8, 2)};
  std::size_t at = kHeaderBytes;
  if (counts[0] != 1) return kFormErr;
  const auto name = name_from_wire(message, at);
  if (!name || at + 4 > message.size() || read_integer(message, at, 2) != kSoa) return kFormErr;
  const std::uint32_t zone_class = read_integer(message, at + 2, 2);
  at += 4;
  std::vector<Record> sections[2];
  for (std::size_t s = 0; s < 2; ++s) {
    for (std::uint32_t i = 0; i < counts[s + 1]; ++i) {
      auto record = read_record(message, at);
      if (!record) return kFormErr;
      sections[s].push_back(std::move(*record));
    }
  }
  if (*name != zone.origin() || zone_class != kIn) return kNotAuth;
  if (const int code = check_prerequisites(zone, sections[0]); code != kNoError) return code;
  if (const int code = check_updates(zone, sections[1]); code != kNoError) return code;
  Zone next = zone;
  for (const Record& r : sections[1]) apply_record(next, r);
  if (next.text() == zone.text()) return kNoError;
  if (next.serial() == zone.serial()) next.raise_serial();
  zone = std::move(next);
  changed = true;
  return kNoError;
}

}  // namespace reeltack::dns
