#include "dns/zone.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>

namespace reeltack::dns {
namespace {

void put16(std::string& out, std::uint64_t v) {
  out += static_cast<char>(v >> 8U);
  out += static_cast<char>(v);
}
void put32(std::string& out, std::uint64_t v) {
  put16(out, v >> 16U);
  put16(out, v);
}
std::uint32_t get(std::string_view data, std::size_t at, std::size_t bytes) {
  return static_cast<std::uint32_t>(base::big_endian(data, at, bytes));
}
std::optional<std::uint64_t> whole(std::string_view text, std::uint64_t most) {
  std::uint64_t out = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size() || out > most)
    return std::nullopt;
  return out;
}
// RFC 1035 leaves TTLs as seconds; the common unit letters are taken as well.
std::optional<std::uint64_t> seconds_of(std::string_view text) {
  static constexpr std::string_view kLetters = "smhdw";
  static constexpr std::uint64_t kUnits[] = {1, 60, 3600, 86400, 604800};
  std::uint64_t sum = 0;
  while (!text.empty()) {
    const std::size_t n = std::min(text.find_first_not_of("0123456789"), text.size());
    const auto value = whole(text.substr(0, n), 0x7fffffff);
    if (!value) return std::nullopt;
    const std::size_t unit = n == text.size() ? 0 : kLetters.find(static_cast<char>(text[n] | 0x20));
    if (unit == std::string_view::npos) return std::nullopt;
    sum += *value * kUnits[unit];
    text.remove_prefix(std::min(n + 1, text.size()));
  }
  return sum > 0x7fffffff ? std::nullopt : std::optional(sum);
}

struct Token {
  std::string text;
  bool quoted = false;
};

// One entry of a master file: its tokens, the line that it began on, whether the owner was left out.
struct Entry {
  std::vector<Token> tokens;
  int line = 0;
  bool blank_owner = false;
};

class Lexer {
 public:
  Lexer(std::string_view text, std::string file) : text_(text), file_(std::move(file)) {}

  std::optional<Entry> next() {
    Entry out;
    int depth = 0;
    bool at_start = true;
    while (at_ < text_.size()) {
      const char c = text_[at_];
      if (c == '\n') {
        ++at_;
        ++line_;
        if (depth > 0) continue;
        if (!out.tokens.empty()) return out;
        out = {};
        at_start = true;
        continue;
      }
      if (at_start) {
        out.blank_owner = c == ' ' || c == '\t';
        out.line = line_;
        at_start = false;
      }
      if (c == ' ' || c == '\t' || c == '\r') {
        ++at_;
      } else if (c == ';') {
        at_ = std::min(text_.find('\n', at_), text_.size());
      } else if (c == '(' || c == ')') {
        depth += c == '(' ? 1 : -1;
        if (depth < 0) fail("a parenthesis closes that was not opened");
        ++at_;
      } else {
        out.tokens.push_back(c == '"' ? string() : word());
      }
    }
    if (depth > 0) fail("a parenthesis is not closed");
    return out.tokens.empty() ? std::nullopt : std::optional(out);
  }
  [[noreturn]] void fail(const std::string& what) const { fail(line_, what); }
  [[noreturn]] void fail(int line, const std::string& what) const {
    throw ZoneError(file_ + ":" + std::to_string(line) + ": " + what);
  }

 private:
  Token string() {
    Token out{"", true};
    for (++at_; at_ < text_.size() && text_[at_] != '"'; ++at_) {
      if (text_[at_] == '\n') fail("a quoted string is not closed");
      if (text_[at_] == '\\' && at_ + 1 < text_.size()) ++at_;
      out.text += text_[at_];
    }
    if (at_ >= text_.size()) fail("a quoted string is not closed");
    ++at_;
    return out;
  }
  Token word() {
    const std::size_t end = std::min(text_.find_first_of(" \t\r\n;()\"", at_), text_.size());
    Token out{std::string(text_.substr(at_, end - at_)), false};
    at_ = end;
    return out;
  }
  std::string_view text_;
  std::string file_;
  std::size_t at_ = 0;
  int line_ = 1;
};

const std::map<std::string, std::uint16_t>& types() {
  static const std::map<std::string, std::uint16_t> kTypes = {{"A", kA},     {"NS", kNs},   {"CNAME", kCname},
                                                              {"SOA", kSoa}, {"TXT", kTxt}, {"SRV", kSrv}};
  return kTypes;
}
std::string upper(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](char c) { return c >= 'a' && c <= 'z' ? static_cast<char>(c - 32) : c; });
  return text;
}

std::string data_of(const Lexer& lexer, const Entry& entry, std::size_t first, std::uint16_t type,
                    const std::string& origin) {
  const auto fail = [&](const std::string& what) { lexer.fail(entry.line, what); };
  const std::size_t given = entry.tokens.size() - first;
  const std::size_t wanted = type == kSoa ? 7 : type == kSrv ? 4 : 1;
  if (type == kTxt ? given < 1 : given != wanted)
    fail("has " + std::to_string(given) + " fields of data, not " + std::to_string(wanted));
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
      put32(out, ntohl(address.s_addr));
      break;
    }
    case kSrv:
      for (std::size_t i = 0; i < 3; ++i) {
        const auto n = whole(token(i), 65535);
        if (!n) fail("malformed number '" + token(i) + "' (0 to 65535)");
        put16(out, *n);
      }
      name(3);
      break;
    case kSoa:
      name(0);
      name(1);
      for (std::size_t i = 2; i < 7; ++i) {
        const auto n = i == 2 ? whole(token(i), 0xffffffff) : seconds_of(token(i));
        if (!n) fail("malformed number '" + token(i) + "'");
        put32(out, *n);
      }
      break;
    case kTxt:
      for (std::size_t i = 0; i < given; ++i) {
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

std::string data_text(std::uint16_t type, const std::string& data) {
  std::size_t at = 0;
  const auto number = [&](std::size_t bytes) {
    at += bytes;
    return std::to_string(get(data, at - bytes, bytes)) + " ";
  };
  std::string out;
  if (type == kA) {
    for (std::size_t i = 0; i < 4; ++i) out += (i > 0 ? "." : "") + std::to_string(get(data, i, 1));
  } else if (type == kTxt) {
    while (at < data.size()) {
      const std::size_t n = get(data, at, 1);
      out += out.empty() ? "\"" : " \"";
      for (const char c : data.substr(at + 1, n)) {
        if (c == '"' || c == '\\') out += '\\';
        out += c;
      }
      out += '"';
      at += n + 1;
    }
  } else {
    for (int i = 0; type == kSrv && i < 3; ++i) out += number(2);
    out += name_from_wire(data, at).value_or(".");
    if (type == kSoa) {
      out += " " + name_from_wire(data, at).value_or(".") + " ";
      for (int i = 0; i < 5; ++i) out += number(4);
    }
  }
  return out;
}

std::uint32_t hash_of(std::string_view text) {  // FNV-1a: the same office keeps its id after a restart
  std::uint32_t h = 2166136261U;
  for (const char c : text) h = (h ^ static_cast<unsigned char>(c)) * 16777619U;
  return h;
}

}  // namespace

std::optional<std::string> read_name(std::string_view text, std::string_view origin) {
  std::string out;
  if (text == "@") {
    out = origin;
  } else if (text == ".") {
    return ".";
  } else {
    out = text;
    if (!out.empty() && out.back() != '.') out += origin == "." ? "." : "." + std::string(origin);
  }
  if (out.empty() || out.back() != '.' || out.size() > 254) return std::nullopt;
  std::size_t start = 0;
  for (std::size_t i = 0; i < out.size(); ++i) {
    if (out[i] >= 'A' && out[i] <= 'Z') out[i] = static_cast<char>(out[i] + 32);
    const char c = out[i];
    const bool letter = (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '*';
    if (c == '.') {
      if (i == start || i - start > 63) return std::nullopt;
      start = i + 1;
    } else if (!letter) {
      return std::nullopt;
    }
  }
  return out;
}

std::string name_to_wire(const std::string& name) {
  std::string out;
  for (std::size_t at = 0; at < name.size() && name != ".";) {
    const std::size_t dot = name.find('.', at);
    out += static_cast<char>(dot - at);
    out += name.substr(at, dot - at);
    at = dot + 1;
  }
  return out += '\0';
}

std::optional<std::string> name_from_wire(std::string_view message, std::size_t& at) {
  std::string out;
  std::size_t here = at;
  bool jumped = false;
  for (int steps = 0; steps < 128; ++steps) {  // a loop of pointers must end
    if (here >= message.size()) return std::nullopt;
    const std::size_t n = static_cast<unsigned char>(message[here]);
    if ((n & 0xc0U) == 0xc0U) {
      if (here + 1 >= message.size()) return std::nullopt;
      if (!jumped) at = here + 2;
      jumped = true;
      here = (n & 0x3fU) << 8U | static_cast<unsigned char>(message[here + 1]);
      continue;
    }
    if ((n & 0xc0U) != 0 || here + 1 + n > message.size()) return std::nullopt;
    if (n == 0) {
      if (!jumped) at = here + 1;
      return out.empty() ? std::optional<std::string>(".") : read_name(out, ".");
    }
    out += message.substr(here + 1, n);
    out += '.';
    here += 1 + n;
  }
  return std::nullopt;
}

bool within(const std::string& name, const std::string& zone) {
  if (name == zone || zone == ".") return true;
  return name.size() > zone.size() && name.compare(name.size() - zone.size(), zone.size(), zone) == 0 &&
         name[name.size() - zone.size() - 1] == '.';
}

std::optional<std::string> data_from_wire(std::string_view message, std::size_t at, std::size_t length,
                                          std::uint16_t type) {
  const std::size_t end = at + length;
  if (end > message.size()) return std::nullopt;
  const std::string_view upto = message.substr(0, end);
  std::string out;
  const auto name = [&] {
    const auto n = name_from_wire(upto, at);
    if (n) out += name_to_wire(*n);
    return n.has_value();
  };
  const auto plain = [&](std::size_t n) {
    if (at + n > end) return false;
    out += upto.substr(at, n);
    at += n;
    return true;
  };
  bool good = true;
  if (type == kA) {
    good = plain(4);
  } else if (type == kSrv) {
    good = plain(6) && name();
  } else if (type == kSoa) {
    good = name() && name() && plain(20);
  } else if (type == kNs || type == kCname) {
    good = name();
  } else if (type == kTxt) {
    good = length > 0;
    while (good && at < end) good = plain(1 + get(message, at, 1));
  } else {
    good = plain(length);
  }
  return good && at == end ? std::optional(out) : std::nullopt;
}

Zone Zone::read(const std::string& text, const std::string& file) {
  Zone out;
  Lexer lexer(text, file);
  std::string origin = ".";
  std::string owner;
  std::optional<std::uint64_t> ttl;
  while (const std::optional<Entry> entry = lexer.next()) {
    const auto fail = [&](const std::string& what) { lexer.fail(entry->line, what); };
    const auto& tokens = entry->tokens;
    const std::string& first = tokens[0].text;
    if (first == "$ORIGIN" || first == "$TTL") {
      if (tokens.size() != 2) fail(first + " takes one value");
      if (first == "$TTL") {
        if (!(ttl = seconds_of(tokens[1].text))) fail("malformed time '" + tokens[1].text + "'");
      } else if (const auto name = read_name(tokens[1].text, origin)) {
        origin = *name;
      } else {
        fail("malformed name '" + tokens[1].text + "'");
      }
      continue;
    }
    if (first[0] == '$') fail("unknown directive '" + first + "'");
    std::size_t at = 0;
    if (!entry->blank_owner) {
      const auto name = read_name(first, origin);
      if (!name || tokens[0].quoted) fail("malformed name '" + first + "'");
      owner = *name;
      at = 1;
    }
    if (owner.empty()) fail("the first record names no owner");
    std::optional<std::uint64_t> own_ttl;
    std::uint16_t type = 0;
    for (; at < tokens.size(); ++at) {  // class and time come in either order
      const std::string word = upper(tokens[at].text);
      const auto known = types().find(word);
      if (known != types().end()) {
        type = known->second;
        break;
      }
      if (word == "IN") continue;
      if (word == "CH" || word == "HS") fail("class " + word + " is not served");
      own_ttl = seconds_of(tokens[at].text);
      if (!own_ttl) fail("unknown type '" + tokens[at].text + "'");
    }
    if (type == 0) fail("the record has no type");
    if (!own_ttl) own_ttl = ttl;
    if (!own_ttl) fail("the record has no TTL and no $TTL comes before it");
    const std::string data = data_of(lexer, *entry, at + 1, type, origin);
    if (out.origin_.empty()) {
      if (type != kSoa) fail("the first record must be the zone's SOA");
      out.origin_ = owner;
    } else if (type == kSoa) {
      fail("a second SOA");
    }
    if (!within(owner, out.origin_)) fail("'" + owner + "' lies outside the zone " + out.origin_);
    const bool alias = out.find(owner, kCname) != nullptr;
    if (alias || (type == kCname && out.has_name(owner))) fail("a CNAME stands beside other records");
    out.add(owner, type, static_cast<std::uint32_t>(*own_ttl), data);
  }
  if (out.origin_.empty()) throw ZoneError(file + ":1: holds no SOA record");
  return out;
}

std::string Zone::text() const {
  std::string out;
  const auto line = [&out](const std::string& name, std::uint16_t type, const RecordSet& set) {
    for (const auto& [word, number] : types()) {
      if (number != type) continue;
      for (const std::string& data : set.data)
        out.append(name)
            .append(" ")
            .append(std::to_string(set.ttl))
            .append(" IN ")
            .append(word)
            .append(" ")
            .append(data_text(type, data) + "\n");
    }
  };
  line(origin_, kSoa, names_.at(origin_).at(kSoa));  // the SOA comes first
  for (const auto& [name, sets] : names_) {
    for (const auto& [type, set] : sets) {
      if (type != kSoa) line(name, type, set);
    }
  }
  return out;
}

bool Zone::has_name(const std::string& name) const { return names_.contains(name); }
const RecordSet* Zone::find(const std::string& name, std::uint16_t type) const {
  const auto sets = names_.find(name);
  if (sets == names_.end()) return nullptr;
  const auto set = sets->second.find(type);
  return set == sets->second.end() ? nullptr : &set->second;
}
void Zone::add(const std::string& name, std::uint16_t type, std::uint32_t ttl, const std::string& data) {
  RecordSet& set = names_[name][type];
  if (type == kSoa || type == kCname) set.data.clear();  // only one of these can be
  set.ttl = ttl;
  set.data.insert(data);
}
void Zone::remove(const std::string& name, std::uint16_t type) {
  const auto sets = names_.find(name);
  if (sets == names_.end()) return;
  if (type == kAny) {
    sets->second.clear();
  } else {
    sets->second.erase(type);
  }
  if (sets->second.empty()) names_.erase(sets);
}
void Zone::remove(const std::string& name, std::uint16_t type, const std::string& data) {
  const RecordSet* set = find(name, type);
  if (set == nullptr) return;
  names_[name][type].data.erase(data);
  if (set->data.empty()) remove(name, type);
}
std::uint32_t Zone::serial() const {
  const std::string& soa = *names_.at(origin_).at(kSoa).data.begin();
  return get(soa, soa.size() - 20, 4);
}
void Zone::raise_serial() {
  RecordSet& set = names_.at(origin_).at(kSoa);
  std::string soa = *set.data.begin();
  std::string next;
  put32(next, serial() + 1U == 0 ? 1 : serial() + 1U);
  soa.replace(soa.size() - 20, 4, next);
  set.data = {soa};
}

std::vector<core::OfficeEntry> Zone::offices(const std::string& service,
                                             std::vector<std::string>* missing) const {
  std::vector<core::OfficeEntry> out;
  const RecordSet* set = find(service, kSrv);
  if (set == nullptr) return out;
  for (const std::string& data : set->data) {
    std::size_t at = 6;
    const std::string target = name_from_wire(data, at).value_or(".");
    if (target == ".") continue;  // RFC 2782: the service is not offered
    const RecordSet* addresses = find(target, kA);
    if (addresses == nullptr) {
      if (missing != nullptr) missing->push_back(target);
      continue;
    }
    core::OfficeEntry office;
    const std::uint32_t port = get(data, 4, 2);
    office.address = data_text(kA, *addresses->data.begin()) + ":" + std::to_string(port);
    const auto named = base::parse_office_name(target.substr(0, target.find('.')));
    office.entry.server = named ? *named : ServerId{hash_of(target + std::to_string(port))};
    office.entry.capacity = std::max<double>(get(data, 2, 2), 1.0);
    if (const RecordSet* notes = find(target, kTxt)) {
      for (const std::string& note : notes->data) {
        const std::string_view first = std::string_view(note).substr(1, get(note, 0, 1));
        const auto place = first.substr(0, 6) == "place=" ? whole(first.substr(6), 65535) : std::nullopt;
        if (place) office.entry.place = static_cast<std::uint32_t>(*place);
      }
    }
    out.push_back(office);
  }
  return out;
}

}  // namespace reeltack::dns
