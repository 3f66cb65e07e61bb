// Endpoints from a DNS zone and its dynamic updates.
#include <sys/stat.h>

#include "dns/zone.h"
#include "scenarios/scripts.h"

namespace reeltack::test {
namespace {

std::string update(const std::string& sections, int prerequisites, int updates) {
  std::string out("\x12\x34\x28\0\0\1\0", 7);
  out += static_cast<char>(prerequisites);
  out += '\0';
  out += static_cast<char>(updates);
  out += std::string("\0\0", 2) + dns::name_to_wire("t.example.") + std::string("\0\6\0\1", 4) + sections;
  return std::string{static_cast<char>(out.size() >> 8U), static_cast<char>(out.size())} + out;
}

std::string record(const std::string& name, int type, int rr_class, int ttl, const std::string& data) {
  std::string out = dns::name_to_wire(name);
  for (const int v : {type, rr_class, 0, ttl, static_cast<int>(data.size())}) {
    out += static_cast<char>(v >> 8);
    out += static_cast<char>(v);
  }
  return out + data;
}

std::string srv(const std::string& target) {
  return std::string("\0\0\0\1\x0f\xa0", 6) + dns::name_to_wire(target);
}

// The offices come from a zone; an update adds one and drains the other.
TEST_F(Dns, UpdatesMoveCallsFromOneOfficeToTheOther) {
  ::mkdir(dir().c_str(), 0700);
  const std::string file = dir() + "/t.zone";
  std::ofstream(file)
      << "$ORIGIN t.example.\n$TTL 60\n@ IN SOA ns m ( 7 1 1 1 1 )\n_c._tcp SRV 0 1 4000 a\na A " << host(1)
      << "\nb A " << host(2) << "\n";
  start(false, R"({"on":true,"file":")" + file + R"(","service":"_c._tcp.t.example.","updates":")" + host(0) +
                   R"(:7000"})");
  play("a wait\n a send {\"verb\":\"LOAD\",\"tag\":\"\",\"opts\":{\"load\":\"x0:40;x1:40\"}}\n");
  StandIn& dns = open("d", "dns");
  const std::string name = "_c._tcp.t.example.";
  dns.raw(update(record(name, dns::kSrv, 1, 0, srv("b.t.example.")) +
                     record(name, dns::kSrv, 1, 60, srv("b.t.example.")),
                 1, 1));
  EXPECT_EQ(dns.next().substr(5, 1), std::string("\x08"));  // NXRRSET: it names a, not b; nothing has changed
  dns.raw(update(record(name, dns::kSrv, 255, 0, "") + record(name, dns::kSrv, 1, 60, srv("b.t.example.")) +
                     record(name, dns::kSrv, 254, 0, srv("a.t.example.")),
                 1, 2));
  EXPECT_EQ(dns.next().substr(2, 4), std::string("\x12\x34\xa8\0", 4));
  play(R"(
    b wait
    b send {"verb":"LOAD","tag":"","opts":{"load":"x0:40;x1:40"}}
    c open sip
    c send INVITE #1 Subject:voice X-Patience:3000 | d
    b expect START #1
  )");
  std::stringstream kept;
  kept << std::ifstream(file).rdbuf();
  EXPECT_NE(kept.str().find("b.t.example."), std::string::npos);
  EXPECT_NE(kept.str().find(" 8 1 1 1 1"), std::string::npos) << kept.str();  // the serial has moved on
}

// An update is confirmed only where the zone's file holds it (RFC 2136, 3.5); the zone goes on as it was.
TEST_F(Dns, AnUpdateThatCannotBeKeptIsRefusedUntilTheFileCanBeWritten) {
  ::mkdir(dir().c_str(), 0700);
  const std::string file = dir() + "/t.zone";
  const std::string zone =
      "$ORIGIN t.example.\n$TTL 60\n@ IN SOA ns m ( 7 1 1 1 1 )\n_c._tcp SRV 0 1 4000 a\na A " + host(1) +
      "\nb A " + host(2) + "\n";
  std::ofstream(file) << zone;
  ASSERT_EQ(::mkdir((file + ".new").c_str(), 0700), 0);  // where the new content is to be written
  start(false, R"({"on":true,"file":")" + file + R"(","service":"_c._tcp.t.example.","updates":")" + host(0) +
                   R"(:7000"})");
  StandIn& dns = open("d", "dns");
  const std::string add_b = update(record("_c._tcp.t.example.", dns::kSrv, 1, 60, srv("b.t.example.")), 0, 1);
  const auto content = [&file] {
    std::stringstream out;
    out << std::ifstream(file).rdbuf();
    return out.str();
  };
  for (int i = 0; i < 2; ++i) {
    dns.raw(add_b);
    EXPECT_EQ(dns.next().substr(5, 1), std::string("\x02"));  // SERVFAIL
    EXPECT_EQ(content(), zone);
  }
  ASSERT_EQ(::rmdir((file + ".new").c_str()), 0);
  dns.raw(add_b);
  EXPECT_EQ(dns.next().substr(5, 1), std::string("\0", 1));
  EXPECT_NE(content().find("b.t.example."), std::string::npos);
}

}  // namespace
}  // namespace reeltack::test
