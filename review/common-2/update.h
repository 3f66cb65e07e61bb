// A sender of dynamic updates (RFC 2136) over TCP.
#pragma once

#include "net.h"

namespace kit {

class Update {
 public:
  explicit Update(const std::string& zone) : zone_(name(zone)) {}
  // Class IN: add. Class ANY: remove the set. Class NONE: remove this record.
  Update& add(const std::string& owner, std::uint16_t type, std::uint32_t ttl, const std::string& data) {
    return record(owner, type, 1, ttl, data);
  }
  Update& remove(const std::string& owner, std::uint16_t type, const std::string& data) {
    return record(owner, type, 254, 0, data);
  }
  Update& remove_set(const std::string& owner, std::uint16_t type) { return record(owner, type, 255, 0, ""); }
  static std::string name(const std::string& text) {
    std::string out;
    for (std::size_t at = 0; at < text.size();) {
      const std::size_t dot = std::min(text.find('.', at), text.size());
      out += static_cast<char>(dot - at);
      out += text.substr(at, dot - at);
      at = dot + 1;
    }
    return out += '\0';
  }
  static std::string address(int a, int b, int c, int d) {
    return {static_cast<char>(a), static_cast<char>(b), static_cast<char>(c), static_cast<char>(d)};
  }
  static std::string srv(std::uint16_t weight, std::uint16_t port, const std::string& target) {
    std::string out;
    number(out, 0);
    number(out, weight);
    number(out, port);
    return out + name(target);
  }
  static std::string txt(const std::string& text) { return static_cast<char>(text.size()) + text; }
  std::string message() const {
    std::string out;
    number(out, 0x1234);
    number(out, 5U << 11U);
    number(out, 1);
    number(out, 0);
    number(out, records_);
    number(out, 0);
    out += zone_;
    number(out, 6);
    number(out, 1);
    return out + body_;
  }

 private:
  static void number(std::string& out, unsigned n) {
    out += static_cast<char>(n >> 8U);
    out += static_cast<char>(n);
  }
  Update& record(const std::string& owner, std::uint16_t type, std::uint16_t rr_class, std::uint32_t ttl,
                 const std::string& data) {
    ++records_;
    body_ += name(owner);
    number(body_, type);
    number(body_, rr_class);
    number(body_, ttl >> 16U);
    number(body_, ttl & 0xffffU);
    number(body_, static_cast<unsigned>(data.size()));
    body_ += data;
    return *this;
  }
  std::string zone_, body_;
  unsigned records_ = 0;
};

// The response code, or -1 without an answer.
inline int send_update(Loop& loop, std::uint16_t port, const Update& update) {
  const int fd = connect_to(port);
  if (fd < 0) return -1;
  const ConnPtr conn = loop.add(fd);
  const std::string message = update.message();
  conn->send(std::string{static_cast<char>(message.size() >> 8U), static_cast<char>(message.size())} +
             message);
  loop.run_until([&] { return conn->in.size() >= 14 || !conn->open(); }, 3000);
  const int code = conn->in.size() >= 14 ? conn->in[5] & 15 : -1;
  conn->close();
  return code;
}

}  // namespace kit
