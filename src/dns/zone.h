// A DNS zone: parsed from a master file (RFC 1035), held in memory, written back, and interpreted as a list
// of endpoints by its SRV, A and TXT records. Malformed records are rejected. Names are looked up in the zone
// only. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/core.h"
#include "dns/lexer.h"
#include "dns/name.h"
#include "dns/record.h"

namespace reeltack::dns {

// An endpoint's id, the same after each restart.
ServerId derived_id(std::string_view text);

// Names and their records.
class Zone {
 public:
  // An empty zone. Its SOA record must be added before any other function is called.
  explicit Zone(std::string origin);
  // Parses a master file; `file` is its name in errors. Throws ZoneError.
  static Zone read(const std::string& text, const std::string& file);
  // The zone as a master file, the SOA first.
  [[nodiscard]] std::string text() const;

  [[nodiscard]] const std::string& origin() const { return origin_; }
  [[nodiscard]] bool has_name(const std::string& name) const;
  [[nodiscard]] const RecordSet* find(const std::string& name, std::uint16_t type) const;
  void add(const std::string& name, std::uint16_t type, std::uint32_t ttl, const std::string& data);
  void remove(const std::string& name, std::uint16_t type);  // kAny: all
  void remove(const std::string& name, std::uint16_t type, const std::string& data);
  [[nodiscard]] std::uint32_t serial() const;
  void raise_serial();  // by one, past 0 (RFC 1982)

  // The endpoints named by the SRV records of `service`. A target without an A record in the zone is omitted
  // and appended to `missing`.
  [[nodiscard]] std::vector<core::OfficeEntry> offices(const std::string& service,
                                                       std::vector<std::string>* missing = nullptr) const;

 private:
  std::string origin_;
  std::map<std::string, std::map<std::uint16_t, RecordSet>> names_;
};

}  // namespace reeltack::dns
