// A DNS zone: read from a master file (RFC 1035), kept in memory, written back, and read as offices.
//
// Owns: names, record sets and their textual and binary forms; which SRV, A and TXT records make an office.
// Must never: take a malformed record, or look a name up anywhere else.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "core/core.h"

namespace reeltack::dns {

class ZoneError : public std::runtime_error {  // names file and line
 public:
  using std::runtime_error::runtime_error;
};

enum Type : std::uint16_t { kA = 1, kNs = 2, kCname = 5, kSoa = 6, kTxt = 16, kSrv = 33, kAny = 255 };

// Names are kept in lower case, whole, with the last dot: "a.example.".
std::optional<std::string> read_name(std::string_view text, std::string_view origin);
std::string name_to_wire(const std::string& name);
// Reads a name off a message, compressed or not; moves `at` behind it.
std::optional<std::string> name_from_wire(std::string_view message, std::size_t& at);
bool within(const std::string& name, const std::string& zone);

struct RecordSet {
  std::uint32_t ttl = 0;
  std::set<std::string> data;  // as on the wire, names not compressed
};

class Zone {
 public:
  // Throws ZoneError.
  static Zone read(const std::string& text, const std::string& file);
  [[nodiscard]] std::string text() const;

  [[nodiscard]] const std::string& origin() const { return origin_; }
  [[nodiscard]] bool has_name(const std::string& name) const;
  [[nodiscard]] const RecordSet* find(const std::string& name, std::uint16_t type) const;
  void add(const std::string& name, std::uint16_t type, std::uint32_t ttl, const std::string& data);
  void remove(const std::string& name, std::uint16_t type);  // kAny: all
  void remove(const std::string& name, std::uint16_t type, const std::string& data);
  [[nodiscard]] std::uint32_t serial() const;
  void raise_serial();

  // The offices that the SRV records of `service` name. A target without an address here is left out and
  // goes to `missing`.
  [[nodiscard]] std::vector<core::OfficeEntry> offices(const std::string& service,
                                                       std::vector<std::string>* missing = nullptr) const;

 private:
  std::string origin_;
  std::map<std::string, std::map<std::uint16_t, RecordSet>> names_;
};

// Checks data as it came on the wire in a message and gives it without compression; nothing: malformed.
std::optional<std::string> data_from_wire(std::string_view message, std::size_t at, std::size_t length,
                                          std::uint16_t type);

}  // namespace reeltack::dns
