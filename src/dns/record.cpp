#include "dns/record.h"

#include "dns/name.h"
#include "dns/numbers.h"

namespace reeltack::dns {

const std::map<std::string, std::uint16_t>& type_names() {
  static const std::map<std::string, std::uint16_t> kTypes = {{"A", kA},     {"NS", kNs},   {"CNAME", kCname},
                                                              {"SOA", kSoa}, {"TXT", kTxt}, {"SRV", kSrv}};
  return kTypes;
}

namespace {

// A character string within quotes, with octets other than printable ASCII as \DDD (RFC 1035, 5.1).
std::string quote(std::string_view octets) {
  std::string out = "\"";
  for (const char c : octets) {
    const auto octet = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      out.append({'\\', c});
    } else if (octet >= 0x20 && octet < 0x7f) {
      out += c;
    } else {
      const std::string decimal = std::to_string(octet);
      out.append("\\").append(3 - decimal.size(), '0').append(decimal);
    }
  }
  return out += '"';
}

}  // namespace

std::string data_to_text(std::uint16_t type, const std::string& data) {
  std::size_t at = 0;
  const auto number = [&](std::size_t bytes) {
    at += bytes;
    return std::to_string(read_number(data, at - bytes, bytes)) + " ";
  };
  std::string out;
  if (type == kA) {
    for (std::size_t i = 0; i < 4; ++i) out += (i > 0 ? "." : "") + std::to_string(read_number(data, i, 1));
  } else if (type == kTxt) {
    while (at < data.size()) {
      const std::size_t n = read_number(data, at, 1);
      out += (at > 0 ? " " : "") + quote(data.substr(at + 1, n));
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
    while (good && at < end) good = plain(1 + read_number(message, at, 1));
  } else {
    good = plain(length);
  }
  return good && at == end ? std::optional(out) : std::nullopt;
}

}  // namespace reeltack::dns
