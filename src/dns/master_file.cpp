// Parser of master files (RFC 1035, 5).
#include <arpa/inet.h>

#include <algorithm>
#include <utility>

#include "dns/lexer.h"
#include "dns/numbers.h"
#include "dns/zone.h"

namespace reeltack::dns {

namespace {

std::string upper(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](char c) { return c >= 'a' && c <= 'z' ? static_cast<char>(c - 32) : c; });
  return text;
}

// Wire form of the record data in the tokens of an entry from `first` on.
std::string encode_data(const Lexer& lexer, const Entry& entry, std::size_t first, std::uint16_t type,
                        const std::string& origin) {
  const auto fail = [&](const std::string& what) { lexer.fail(entry.line, what); };
  const std::size_t actual = entry.tokens.size() - first;
  const std::size_t expected = type == kSoa ? 7 : type == kSrv ? 4 : 1;
  if (type == kTxt ? actual < 1 : actual != expected)
    fail("has " + std::to_string(actual) + " fields of data, not " + std::to_string(expected));
  std::string out;
  const auto token = [&](std::size_t i) { return entry.tokens[first + i].text; };
  const auto name = [&](std::size_t i) {
    const auto n = read_name(token(i), origin);
    if (!n) fail("malformed name '" + token(i) + "'");
    out += name_to_wire(*n);
  };
  switch (type) {
    case kA: {
      in_addr address{};
      if (::inet_pton(AF_INET, token(0).c_str(), &address) != 1) fail("malformed address '" + token(0) + "'");
      append32(out, ntohl(address.s_addr));
      break;
    }
    case kSrv:
      for (std::size_t i = 0; i < 3; ++i) {
        const auto n = parse_integer(token(i), 65535);
        if (!n) fail("malformed number '" + token(i) + "' (0 to 65535)");
        append16(out, *n);
      }
      name(3);
      break;
    case kSoa:
      name(0);
      name(1);
      for (std::size_t i = 2; i < 7; ++i) {
        const auto n = i == 2 ? parse_integer(token(i), 0xffffffff) : parse_seconds(token(i), kMaxInterval);
        if (!n) fail("malformed number '" + token(i) + "'");
        append32(out, *n);
      }
      break;
    case kTxt:
      for (std::size_t i = 0; i < actual; ++i) {
        if (token(i).size() > 255) fail("a string of over 255 bytes");
        out += static_cast<char>(token(i).size());
        out += token(i);
      }
      break;
    default:
      name(0);
  }
  return out;
}

// Reads a zone entry by entry, with the origin, owner and TTL that an entry inherits from earlier ones.
class ZoneParser {
 public:
  ZoneParser(const std::string& text, const std::string& file) : file_(file), lexer_(text, file) {}

  Zone read() {
    while (const std::optional<Entry> entry = lexer_.next()) {
      const std::string& first = entry->tokens[0].text;
      if (first == "$ORIGIN" || first == "$TTL") {
        read_directive(*entry);
      } else if (first[0] == '$') {
        lexer_.fail(entry->line, "unknown directive '" + first + "'");
      } else {
        read_record(*entry);
      }
    }
    if (!zone_) throw ZoneError(file_ + ":1: holds no SOA record");
    return std::move(*zone_);
  }

 private:
  // The fields of an entry after its owner: TTL and class in either order, and the type.
  struct Kind {
    std::uint16_t type = 0;
    std::uint32_t ttl = 0;
    std::size_t data_at = 0;  // index of the first data token
  };

  void read_directive(const Entry& entry) {
    const std::string& directive = entry.tokens[0].text;
    if (entry.tokens.size() != 2) lexer_.fail(entry.line, directive + " takes one value");
    const std::string& value = entry.tokens[1].text;
    if (directive == "$TTL") {
      ttl_ = parse_seconds(value);
      if (!ttl_) lexer_.fail(entry.line, "malformed time '" + value + "'");
      return;
    }
    const auto name = read_name(value, origin_);
    if (!name) lexer_.fail(entry.line, "malformed name '" + value + "'");
    origin_ = *name;
  }

  void read_owner(const Entry& entry) {
    if (!entry.blank_owner) {
      const Token& first = entry.tokens[0];
      const auto name = read_name(first.text, origin_);
      if (!name || first.quoted) lexer_.fail(entry.line, "malformed name '" + first.text + "'");
      owner_ = *name;
    }
    if (owner_.empty()) lexer_.fail(entry.line, "the first record names no owner");
  }

  [[nodiscard]] Kind read_kind(const Entry& entry) const {
    Kind out;
    std::optional<std::uint64_t> ttl;
    std::size_t at = entry.blank_owner ? 0 : 1;
    for (; at < entry.tokens.size(); ++at) {
      const std::string& text = entry.tokens[at].text;
      const std::string keyword = upper(text);
      const auto known = type_names().find(keyword);
      if (known != type_names().end()) {
        out.type = known->second;
        break;
      }
      if (keyword == "IN") continue;
      if (keyword == "CH" || keyword == "HS") lexer_.fail(entry.line, "class " + keyword + " is not served");
      ttl = parse_seconds(text);
      if (!ttl) lexer_.fail(entry.line, "unknown type '" + text + "'");
    }
    if (out.type == 0) lexer_.fail(entry.line, "the record has no type");
    if (!ttl) ttl = ttl_;
    if (!ttl) lexer_.fail(entry.line, "the record has no TTL and no $TTL comes before it");
    out.ttl = static_cast<std::uint32_t>(*ttl);
    out.data_at = at + 1;
    return out;
  }

  void read_record(const Entry& entry) {
    read_owner(entry);
    const Kind kind = read_kind(entry);
    const std::string data = encode_data(lexer_, entry, kind.data_at, kind.type, origin_);
    if (!zone_) {
      if (kind.type != kSoa) lexer_.fail(entry.line, "the first record must be the zone's SOA");
      zone_.emplace(owner_);
    } else if (kind.type == kSoa) {
      lexer_.fail(entry.line, "a second SOA");
    }
    if (!within(owner_, zone_->origin()))
      lexer_.fail(entry.line, "'" + owner_ + "' lies outside the zone " + zone_->origin());
    const bool alias = zone_->find(owner_, kCname) != nullptr;
    if (alias || (kind.type == kCname && zone_->has_name(owner_)))
      lexer_.fail(entry.line, "a CNAME stands beside other records");
    zone_->add(owner_, kind.type, kind.ttl, data);
  }

  const std::string file_;
  Lexer lexer_;
  std::optional<Zone> zone_;  // set once the SOA is read
  std::string origin_ = ".";
  std::string owner_;
  std::optional<std::uint64_t> ttl_;
};

}  // namespace

Zone Zone::read(const std::string& text, const std::string& file) { return ZoneParser(text, file).read(); }

}  // namespace reeltack::dns
