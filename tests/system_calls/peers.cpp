#include "system_calls/peers.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/json.h"

namespace reeltack::test {
namespace {

constexpr std::uint16_t kPort = 4000;

std::string line_of(const char* verb, std::uint64_t call, const std::string& more) {
  return std::string(R"({"verb":")") + verb + R"(","tag":")" + net::hex16(call) + R"(","opts":{})" + more +
         "}\n";
}
std::string header_of(const std::string& message, const std::string& name) {
  const std::size_t at = message.find("\r\n" + name + ": ");
  if (at == std::string::npos) return {};
  const std::size_t from = at + name.size() + 4;
  return message.substr(from, message.find("\r\n", from) - from);
}
// Of the message at the front; 0: it is not whole.
std::size_t length_of(const std::string& held) {
  const std::size_t end = held.find("\r\n\r\n");
  if (end == std::string::npos) return 0;
  const std::size_t whole = end + 4 + std::stoul("0" + header_of(held.substr(0, end + 2), "Content-Length"));
  return held.size() >= whole ? whole : 0;
}

}  // namespace

net::Address own_address(int last) {
  const int pid = ::getpid();
  return {"127." + std::to_string(200 + (pid >> 14 & 31)) + "." + std::to_string(pid >> 6 & 255) + "." +
              std::to_string((pid & 63) * 4 + last),
          kPort};
}

bool Wire::read() {
  char chunk[4096];
  for (;;) {
    const ssize_t n = ::recv(fd.get(), chunk, sizeof chunk, MSG_DONTWAIT);
    if (n < 0) return errno == EAGAIN;
    if (n == 0) return false;
    in.append(chunk, static_cast<std::size_t>(n));
  }
}

void FakeEndpoint::step() {
  while (net::Fd fd = net::accept_one(listener_, Time{})) {
    wires_.push_back({std::move(fd), {}});
    for (const std::string& line : std::exchange(owed_, {})) net::write_all(wires_.back().fd, line);
  }
  for (auto wire = wires_.begin(); wire != wires_.end();) {
    const bool open = wire->read();
    for (std::size_t end = 0; (end = wire->in.find('\n')) != std::string::npos;) {
      const std::string line = wire->in.substr(0, end);
      wire->in.erase(0, end + 1);
      take(*wire, line);
    }
    wire = open ? wire + 1 : wires_.erase(wire);
  }
}

void FakeEndpoint::take(Wire& from, const std::string& line) {
  const base::Json json = base::Json::parse(line);
  const std::uint64_t call = net::parse_hex16(*json.find("tag")->string()).value_or(0);
  if (*json.find("verb")->string() == "FINISH") {
    ++finishes[call];
    return;
  }
  ++starts[call];
  const auto number = net::parse_hex16(*json.find("opts")->find("key")->string()).value_or(0);
  const int behaviour = static_cast<int>(number % 10);
  if (behaviour == kSilent) return;
  if (behaviour == kFull && fills_) {
    ++refused[call];
    net::write_all(from.fd, line_of("FINISH", call, R"(,"rc":34)"));
    return;
  }
  net::write_all(from.fd, line_of("STARTED", call, R"(,"blob":"answer")"));
}

void FakeEndpoint::release(std::uint64_t call) {
  const std::string line = line_of("FINISH", call, R"(,"rc":16)");
  owed_.push_back(line);
  if (!wires_.empty()) net::write_all(wires_.back().fd, line);
}

void FakeClient::connect(const std::string& wire) {
  net::Dialled up = net::dial(at_, net::now() + std::chrono::seconds(5));
  EXPECT_EQ(up.how, net::Dial::up);
  wires_[wire] = {std::move(up.fd), {}};
}
void FakeClient::send(const std::string& wire, const std::string& messages) {
  if (!wires_.contains(wire)) connect(wire);
  net::write_all(wires_.at(wire).fd, messages);
}

std::string FakeClient::invite(std::uint64_t call, int behaviour) {
  return "INVITE sip:" + net::hex16(call * 10 + static_cast<std::uint64_t>(behaviour)) +
         "@net SIP/2.0\r\nVia: SIP/2.0/TCP client\r\nCall-ID: " + net::hex16(call) +
         "\r\nCSeq: 1 INVITE\r\nSubject: voice\r\nX-Patience: 4000\r\nContent-Length: 5\r\n\r\noffer";
}
std::string FakeClient::request(const std::string& method, std::uint64_t call) {
  return method + " sip:0@net SIP/2.0\r\nVia: SIP/2.0/TCP client\r\nCall-ID: " + net::hex16(call) +
         "\r\nCSeq: 1 " + method + "\r\nContent-Length: 0\r\n\r\n";
}

void FakeClient::step() {
  for (auto at = wires_.begin(); at != wires_.end();) {
    Wire& wire = at->second;
    const bool open = wire.read();
    for (std::size_t size = 0; (size = length_of(wire.in)) > 0;) {
      const std::string message = wire.in.substr(0, size);
      wire.in.erase(0, size);
      take(wire, message);
    }
    if (open) {
      ++at;
      continue;
    }
    ++ended_;
    for (auto& [call, seen] : calls) seen.cut = seen.cut || (seen.finals.empty() && seen.wire == at->first);
    if (reconnects_) {
      connect((at++)->first);
    } else {
      at = wires_.erase(at);
    }
  }
}

void FakeClient::take(Wire& from, const std::string& message) {
  const std::uint64_t call = net::parse_hex16(header_of(message, "Call-ID")).value_or(0);
  Seen& seen = calls[call];
  if (message.rfind("BYE ", 0) == 0) {
    ++seen.byes;
    net::write_all(from.fd, "SIP/2.0 200 OK\r\nCall-ID: " + net::hex16(call) +
                                "\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n");
    return;
  }
  const std::string sequence = header_of(message, "CSeq");
  if (sequence == "1 INVITE") seen.finals.push_back(std::stoi(message.substr(8, 3)));
  if (sequence == "1 BYE") ++seen.bye_answers;
}

}  // namespace reeltack::test
