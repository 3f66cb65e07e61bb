// The scripts that several scenarios begin with, and their fixtures.
#pragma once

#include "scenario.h"

namespace reeltack::test {

class Platform : public Scenario {};
class WebSocket : public Scenario {};
class Dns : public Scenario {};

inline constexpr const char* kBothUp = R"(
  a wait
  b wait
  a send {"verb":"LOAD","tag":"","opts":{"load":"x0:40;x1:40"}}
  b send {"verb":"LOAD","tag":"","opts":{"load":"x0:40;x1:40"}}
)";
inline constexpr const char* kCallOpenAtA = R"(
  c open sip
  c send INVITE #1 Subject:voice X-Patience:3000 X-Facts:dest:0 | d
  a expect START #1
)";
inline constexpr const char* kCallStandsAtA = R"(
  c open sip
  c send INVITE #1 Subject:voice X-Patience:3000 X-Facts:dest:0;width:1 | described
  a expect "verb":"START" "tag":"#1" "class":"voice" "key":"00000000000000aa" "left": "blob":"described"
  a send {"verb":"STARTED","tag":"#1","opts":{},"blob":"by a"}
  c expect 200 #1 INVITE by a
  c send ACK #1
)";
inline constexpr const char* kCentraleUp = R"(
  z open centrales
  z send {"type":"register","centrale":"s-0000000c","place":0,"capacity":1}
  z expect registered s-0000000c
  z send {"type":"load","load":{"free":40,"lines":40}}
)";
inline constexpr const char* kTaken = R"(
  w open calls
  w send {"type":"set-up","call":"#1","class":"voice","number":"00000000000000aa","patience_ms":3000,"description":"d"}
  w expect taken #1
  z expect set-up #1 "class":"voice" left_ms
)";

// A discovery event on endpoint a; the empty frame of each second where no state is given.
inline std::string discovery_event(const std::string& host, int number, int state = -1) {
  const std::string no = std::string(7, '\0') + static_cast<char>(number);
  if (state < 0) return std::string("\0\0\0\x09", 4) + no + '\0';
  std::string address(4, '\0');
  ::inet_pton(AF_INET, host.c_str(), address.data());
  return std::string("\0\0\0\x24", 4) + no + '\2' + std::string("\0\0\0\x0a", 4) + address + "\x0f\xa0" +
         static_cast<char>(state) + std::string("\0\0\0\0\0\0\3\xe8\0\0\0\0\0\0\0\0", 16);
}

}  // namespace reeltack::test
