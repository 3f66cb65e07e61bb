// A DNS zone: read from a master file (RFC 1035), kept in memory, written back, and read as endpoints.
//
// Owns: names and their record sets; which SRV, A and TXT records make an endpoint.
// Must never: take a malformed record, or look a name up anywhere else.
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

// Names and their records, in memory. Threads: one at a time.
class Zone {
 public:
  // An empty zone, which needs its SOA record before anything else is asked of it.
  explicit Zone(std::string origin);
  // The zone of a master file; `file` names it in errors. Throws ZoneError.
  static Zone read(const std::string& text, const std::string& file);
  // As a master file, the SOA first.
  [[nodiscard]] std::string text() const;

  [[nodiscard]] const std::string& origin() const { return origin_; }
  [[nodiscard]] bool has_name(const std::string& name) const;
  [[nodiscard]] const RecordSet* find(const std::string& name, std::uint16_t type) const;
  void add(const std::string& name, std::uint16_t type, std::uint32_t ttl, const std::string& data);
  void remove(const std::string& name, std::uint16_t type);  // kAny: all
  void remove(const std::string& name, std::uint16_t type, const std::string& data);
  [[nodiscard]] std::uint32_t serial() const;
  void raise_serial();  // by one, past 0 (RFC 1982)

  // The endpoints that the SRV records of `service` name. A target without an address here is left out and
  // goes to `missing`.
  [[nodiscard]] std::vector<core::OfficeEntry> offices(const std::string& service,
                                                       std::vector<std::string>* missing = nullptr) const;

 private:
  std::string origin_;
  std::map<std::string, std::map<std::uint16_t, RecordSet>> names_;
};

}  // namespace reeltack::dns
