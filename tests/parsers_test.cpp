// The parsers and readers: what is taken, what is refused, and what the refusal names.
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <sys/wait.h>

#include <cstdio>
#include <fstream>
#include <future>

#include "config/config.h"
#include "dns/updates.h"
#include "net/door.h"
#include "platform/bulletin.h"
#include "platform/office_lines.h"
#include "platform/sip.h"
#include "ws/frames.h"

namespace reeltack::test {
namespace {

using net::Json;

TEST(JsonText, IsReadStrictly) {
  const Json json = Json::parse(R"( {"a":[1,-2.5e1,"\u00f1\ud83d\ude95\n"],"b":{"c":true,"d":null}} )");
  EXPECT_EQ(json.find("a")->array()->at(1).number(), -25.0);
  EXPECT_EQ(*json.find("a")->array()->at(2).string(), "\xc3\xb1\xf0\x9f\x9a\x95\n");
  for (const char* bad :
       {"", "{", "{\"a\":1,}", "[1 2]", "01", "1.", "nul", "\"\x01\"", "\"\\x\"", "\"\\ud800\"",
        "{\"a\":1,\"a\":2}", "[]x", "\"\xff\"", "\"\xc0\xaf\"", "\"\xed\xa0\x80\""})
    EXPECT_THROW(Json::parse(bad), net::JsonError) << bad;
  EXPECT_THROW(Json::parse(std::string(60, '[') + std::string(60, ']')), net::JsonError);
  EXPECT_EQ(Json::parse(net::quoted("a\"\\\r\n\x1f")).string()->size(), 6U);
}

TEST(SipText, WaitsForMoreAndRefusesWhatHasNoEnd) {
  const std::string whole = "\r\nBYE sip:1@net SIP/2.0\r\ncall-id: 1\r\nContent-Length: 3\r\n\r\nabcNEXT";
  platform::SipMessage message;
  std::size_t used = 0;
  for (std::size_t n = 3; n < whole.size() - 4; ++n)
    ASSERT_EQ(platform::parse_sip(std::string_view(whole).substr(0, n), message, used),
              platform::Parsed::more)
        << n;
  ASSERT_EQ(platform::parse_sip(whole, message, used), platform::Parsed::whole);
  EXPECT_EQ(used, whole.size() - 4);
  EXPECT_EQ(message.body, "abc");
  EXPECT_EQ(*message.header("Call-ID"), "1");
  for (const char* bad :
       {"BYE sip:1 SIP/2.0\r\nCall-ID: 1\r\n\r\n", "BYE sip:1 SIP/3.0\r\nContent-Length: 0\r\n\r\n",
        "bye sip:1 SIP/2.0\r\nContent-Length: 0\r\n\r\n", "BYE\r\nContent-Length: 0\r\n\r\n",
        "BYE sip:1 SIP/2.0\r\nContent-Length: -1\r\n\r\n", "BYE sip:1 SIP/2.0\r\nno colon\r\n\r\n",
        "BYE sip:1 SIP/2.0\r\nContent-Length: 20000\r\n\r\n",
        "BYE sip:1 SIP/2.0\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"})
    EXPECT_EQ(platform::parse_sip(bad, message, used), platform::Parsed::malformed) << bad;
  EXPECT_EQ(platform::parse_sip(std::string(20000, 'x'), message, used), platform::Parsed::malformed);
}

TEST(Frames, OfTheBulletinAreWholeOrRefused) {
  std::size_t used = 0;
  EXPECT_FALSE(platform::parse_frame(std::string("\0\0\0\x09\0\0", 6), used));
  EXPECT_THROW(platform::parse_frame(std::string("\0\0\0\x08\0\0\0\0\0\0\0\0\0", 13), used),
               std::runtime_error);
  EXPECT_THROW(platform::parse_frame(std::string("\0\0\0\x0a\0\0\0\0\0\0\0\1\1x", 14), used),
               std::runtime_error);
  const std::string record("\0\xc4\x1f\x7a\x0a\1\0\x09\x0b\x59\2\1\0\0\2\0\0\x0f\xa0\0\0\0\0\0\0\3\xe8", 27);
  const auto frame = platform::parse_frame(std::string("\0\0\0\x24\0\0\0\0\0\0\0\x29\1", 13) + record, used);
  ASSERT_TRUE(frame && frame->offices.size() == 1);
  EXPECT_EQ(used, 40U);
  EXPECT_EQ(frame->number, 41U);
  const core::OfficeEntry& office = frame->offices[0];
  EXPECT_EQ(net::office_name(office.entry.server), "s-00c41f7a");
  EXPECT_EQ(office.address, "10.1.0.9:2905");
  EXPECT_EQ(office.entry.state, ServerState::gone);
  EXPECT_EQ(office.entry.place, 2U);
  EXPECT_EQ(office.entry.capacity, 4.0);
  EXPECT_EQ(office.entry.start, StartId{1000});
  EXPECT_EQ(office.entry.started_at, Time{}) << "derived by the list of endpoints alone";
}

TEST(LoadReports, AreReadByName) {
  const LoadReport report = platform::read_report("x0:12;x1:40;queue:3;bad;x9:z");
  EXPECT_EQ(report.free_lines, 12.0);
  EXPECT_EQ(report.lines, 40.0);
  EXPECT_LT(report.wait_ms, 0.0);
}

TEST(WebSocketHandshake, NamesWhatItLacks) {
  const std::string good =
      "GET /calls HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: keep-alive, Upgrade\r\n"
      "Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n";
  const auto status = [](const std::string& text, std::vector<std::string> origins = {}) {
    return ws::read_handshake(text + "\r\n", {"/calls"}, origins).answer.substr(9, 3);
  };
  EXPECT_EQ(status(good), "101");
  EXPECT_EQ(ws::read_handshake(good, {"/calls"}, {}).result, ws::Handshake::Result::more);
  const auto without = [&good](const std::string& line) {
    std::string out = good;
    return out.erase(out.find(line), line.size());
  };
  EXPECT_EQ(status(without("Sec-WebSocket-Version: 13\r\n")), "426");
  EXPECT_EQ(status(without("Upgrade: websocket\r\n")), "426");
  EXPECT_EQ(status(without("Host: x\r\n")), "400");
  EXPECT_EQ(status(without("dGhlIHNhbXBs")), "400");
  EXPECT_EQ(status("POST" + good.substr(3)), "405");
  EXPECT_EQ(status("GET /else" + good.substr(10)), "404");
  EXPECT_EQ(status(good + "Origin: http://a\r\n", {"http://a"}), "101");
  EXPECT_EQ(status(good + "Origin: http://b\r\n", {"http://a"}), "403");
  EXPECT_EQ(status(good + std::string(9000, 'x')), "431");
}

// ---------------------------------------------------------------- configuration

std::string complaint(const std::string& json, bool fronts) {
  try {
    const Json parsed = Json::parse(json);
    fronts ? static_cast<void>(config::read_fronts(parsed, "f"))
           : static_cast<void>(config::read_node(parsed, "f"));
  } catch (const config::ConfigError& error) {
    return error.what();
  }
  return "none";
}

TEST(Configuration, NamesTheFaultyKey) {
  const std::string settings =
      R"("settings":{"Balancers":1,"Classes":[{"Name":"v","GoalTimeNs":1500000000,"DeadlineNs":9000000000}]})";
  EXPECT_EQ(complaint("{" + settings + "}", false), "none");
  const std::pair<const char*, const char*> nodes[] = {
      {R"("listen":"here")", "f.listen"},
      {R"("seed":"xyz")", "f.seed"},
      {R"("limits":{"sockets":"many"})", "f.limits.sockets"},
      {R"("known":{"no":1,"items":[{"roster":{"endpoints":[{"name":"q"}]}}]})",
       "f.known.items.0.roster.endpoints.0.name"},
      {R"("known":{"no":1,"items":[{"roster":{"endpoints":[{"name":"s-0000000a","address":"1.2.3.4:5","status":"up"}]}}]})",
       "endpoints.0.status"}};
  for (const auto& [json, key] : nodes)
    EXPECT_NE(complaint("{" + std::string(json) + "," + settings + "}", false).find(key), std::string::npos)
        << json;
  EXPECT_NE(complaint(R"({"settings":{"Classes":[]}})", false).find("Balancers"), std::string::npos);
  EXPECT_NE(complaint(R"({"settings":{"Balancers":1,"Classes":[{"Name":"v","DeadlineNs":1}]}})", false)
                .find("Classes.0.GoalTimeNs"),
            std::string::npos);
  EXPECT_EQ(complaint(R"({"websocket":{"on":false}})", true), "none");
  const std::pair<const char*, const char*> fronts[] = {
      {R"({"websocket":{"on":true}})", "f.websocket.listen"},
      {R"({"websocket":{"on":1}})", "f.websocket.on"},
      {R"({"websocket":{"port":1}})", "f.websocket.port"},
      {R"({"zone":{"on":true,"file":"x","service":"a.b"}})", "f.zone.service"},
      {R"({"zone":{"on":true,"file":"x","service":"a.b.","updates":"10.0.0.1:53"}})", "f.zone.updates"}};
  for (const auto& [json, key] : fronts)
    EXPECT_NE(complaint(json, true).find(key), std::string::npos) << json;
}

int run(const std::string& command) {
  return WEXITSTATUS(std::system((command + " >/dev/null 2>&1").c_str()));
}

TEST(ConfigTool, WritesWhatItThenFindsGoodAndRefusesTheRest) {
  const std::string dir = ::testing::TempDir();
  const std::string tool = CONFIG_TOOL;
  const std::string write = tool + " write " + dir + " --listen 127.0.0.1:5060 --class voice:1500:1";
  EXPECT_EQ(run(write + " --websocket 127.0.0.1:8760"), 0);
  EXPECT_EQ(run(tool + " check " + dir + "/config.json " + dir + "/fronts.json"), 0);
  EXPECT_EQ(run(write + " --websocket nowhere"), 1);
  EXPECT_EQ(run(tool + " check " + dir + "/absent.json"), 1);
  EXPECT_EQ(run(tool + " write " + dir), 2);
  std::ofstream(dir + "/bad.zone") << "a IN A 1.2.3\n";
  EXPECT_EQ(run(write + " --service s.e. --zone " + dir + "/bad.zone"), 1);
}

TEST(DeployFile, LeavesTheSecondFrontOff) {
  const config::Fronts fronts = config::read_fronts(config::read_json(SOURCE_DIR "/deploy/fronts.json"), "f");
  EXPECT_FALSE(fronts.websocket);
  EXPECT_TRUE(fronts.zone_file.empty());
}

// ---------------------------------------------------------------- zones

const char* const kZone = R"($ORIGIN t.example.
$TTL 1h
@ IN SOA ns hostmaster ( 5 ; serial
      3600 600 86400 60 )
  NS ns
ns A 127.0.0.9
_c._tcp 30 IN SRV 0 2 2905 s-0000000a
        SRV 0 3 2906 other.t.example.
s-0000000a IN A 127.0.0.1
other A 127.0.0.2
      TXT "place=4" "x;y"
)";

TEST(ZoneFile, NamesOffices) {
  const dns::Zone zone = dns::Zone::read(kZone, "z");
  const auto offices = zone.offices("_c._tcp.t.example.");
  ASSERT_EQ(offices.size(), 2U);
  EXPECT_EQ(offices[0].entry.server, ServerId{10});
  EXPECT_EQ(offices[0].address, "127.0.0.1:2905");
  EXPECT_EQ(offices[1].entry.place, 4U);
  EXPECT_EQ(offices[1].entry.capacity, 3.0);
  EXPECT_EQ(dns::Zone::read(zone.text(), "again").text(), zone.text());
}

TEST(ZoneFile, MalformedRecordIsRefusedWithFileAndLine) {
  const std::string head = "$ORIGIN t.\n$TTL 1\n@ SOA a. b. 1 1 1 1 1\n";
  const std::pair<const char*, const char*> cases[] = {{"x A 1.2.3\n", "z:4:"},
                                                       {"x A\n", "z:4:"},
                                                       {"x SRV 1 2 3\n", "z:4:"},
                                                       {"x SRV 1 2 70000 y\n", "z:4:"},
                                                       {"x HINFO a b\n", "z:4:"},
                                                       {"\nx TXT \"a\n", "z:5:"},
                                                       {"x A ( 1.2.3.4\n\n", "z:6:"},
                                                       {"x..y A 1.2.3.4\n", "z:4:"},
                                                       {"$INCLUDE f\n", "z:4:"},
                                                       {"x A 1.2.3.4 5\n", "z:4:"},
                                                       {"@ SOA a. b. 1 1 1 1 1\n", "z:4:"},
                                                       {"x CNAME y\nx A 1.2.3.4\n", "z:5:"},
                                                       {"x.else. A 1.2.3.4\n", "z:4:"}};
  for (const auto& [text, place] : cases) {
    try {
      dns::Zone::read(head + text, "z");
      ADD_FAILURE() << "taken: " << text;
    } catch (const dns::ZoneError& error) {
      EXPECT_EQ(std::string(error.what()).substr(0, 4), place) << text << error.what();
    }
  }
  EXPECT_THROW(dns::Zone::read("", "z"), dns::ZoneError);
  EXPECT_THROW(dns::Zone::read("$TTL 1\na A 1.2.3.4\n", "z"), dns::ZoneError);
}

struct Rr {
  const char* name;
  int type, rr_class, ttl;
  std::string data;
};
std::string message(const std::vector<Rr>& before, const std::vector<Rr>& updates,
                    const char* zone = "t.example.") {
  std::string out("\0\1\x28\0\0\1\0", 7);
  out += static_cast<char>(before.size());
  out += '\0';
  out += static_cast<char>(updates.size());
  out += std::string("\0\0", 2) + dns::name_to_wire(zone) + std::string("\0\6\0\1", 4);
  for (const auto* section : {&before, &updates}) {
    for (const Rr& r : *section) {
      out += dns::name_to_wire(r.name);
      for (const int v : {r.type, r.rr_class, 0, r.ttl, static_cast<int>(r.data.size())}) {
        out += static_cast<char>(v >> 8);
        out += static_cast<char>(v);
      }
      out += r.data;
    }
  }
  return out;
}

TEST(DynamicUpdate, AnswersWithTheCodesOfTheRfc) {
  const std::string one("\x7f\0\0\1", 4);
  const std::string nine("\x7f\0\0\x09", 4);
  const char* const ns = "ns.t.example.";
  const char* const none = "none.t.example.";
  constexpr int kAnyClass = 255;
  constexpr int kNoClass = 254;
  const std::vector<Rr> add = {{"new.t.example.", dns::kA, 1, 60, one}};
  const std::pair<std::string, int> cases[] = {
      {message({}, add), dns::kNoError},
      {message({{ns, dns::kAny, kAnyClass, 0, ""}}, add), dns::kNoError},
      {message({{none, dns::kAny, kAnyClass, 0, ""}}, add), dns::kNxDomain},
      {message({{ns, dns::kAny, kNoClass, 0, ""}}, add), dns::kYxDomain},
      {message({{ns, dns::kSrv, kAnyClass, 0, ""}}, add), dns::kNxRrset},
      {message({{ns, dns::kA, kNoClass, 0, ""}}, add), dns::kYxRrset},
      {message({{ns, dns::kA, 1, 0, nine}}, add), dns::kNoError},
      {message({{ns, dns::kA, 1, 0, one}}, add), dns::kNxRrset},
      {message({{ns, dns::kA, 1, 5, nine}}, add), dns::kFormErr},
      {message({{"x.else.", dns::kAny, kAnyClass, 0, ""}}, add), dns::kNotZone},
      {message({}, {{"x.else.", dns::kA, 1, 60, one}}), dns::kNotZone},
      {message({}, {{ns, dns::kA, 1, 60, "abc"}}), dns::kFormErr},
      {message({}, {{ns, dns::kAny, 1, 60, one}}), dns::kFormErr},
      {message({}, {{ns, dns::kA, kAnyClass, 1, ""}}), dns::kFormErr},
      {message({}, {{ns, dns::kA, kNoClass, 0, ""}}), dns::kFormErr},
      {message({}, {{ns, 99, 1, 60, one}}), dns::kRefused},
      {message({}, add, "else."), dns::kNotAuth},
      {message({}, add).substr(0, 30), dns::kFormErr}};
  for (std::size_t i = 0; i < std::size(cases); ++i) {
    dns::Zone zone = dns::Zone::read(kZone, "z");
    bool changed = false;
    EXPECT_EQ(dns::apply_update(zone, cases[i].first, changed), cases[i].second) << "case " << i;
    EXPECT_EQ(changed, cases[i].second == dns::kNoError) << "case " << i;
    EXPECT_EQ(zone.serial(), changed ? 6U : 5U) << "case " << i;
  }
}

TEST(DynamicUpdate, KeepsTheApexAndTakesAllOrNothing) {
  dns::Zone zone = dns::Zone::read(kZone, "z");
  bool changed = false;
  const std::string ns = dns::name_to_wire("ns.t.example.");
  EXPECT_EQ(
      dns::apply_update(
          zone, message({}, {{"t.example.", dns::kAny, 255, 0, ""}, {"t.example.", dns::kNs, 254, 0, ns}}),
          changed),
      dns::kNoError);
  EXPECT_FALSE(changed);
  EXPECT_NE(zone.find("t.example.", dns::kNs), nullptr);
  EXPECT_EQ(
      dns::apply_update(
          zone, message({}, {{"other.t.example.", dns::kA, 255, 0, ""}, {"x.else.", dns::kA, 255, 0, ""}}),
          changed),
      dns::kNotZone);
  EXPECT_NE(zone.find("other.t.example.", dns::kA), nullptr);
}

// Cut at any byte, a message is waited for; whole, it is taken with its length, and what follows is left.
TEST(Cuts, NoPartOfASipMessageIsTakenOrRefused) {
  const std::string whole =
      "\r\nINVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 9b1f03aa5c7e2d41\r\n"
      "CSeq: 1 INVITE\r\nSubject: voice\r\nX-Patience: 1500\r\nContent-Length: "
      "12\r\n\r\na\r\n\r\nb\r\n\r\nc\xc3";
  for (std::size_t cut = 0; cut < whole.size(); ++cut) {
    platform::SipMessage message;
    std::size_t used = 0;
    EXPECT_EQ(platform::parse_sip(whole.substr(0, cut), message, used), platform::Parsed::more) << cut;
    EXPECT_LE(used, cut == 2 ? 2U : 0U) << cut;  // a blank line before a message may go
  }
  platform::SipMessage message;
  std::size_t used = 0;
  EXPECT_EQ(platform::parse_sip(whole + "BYE", message, used), platform::Parsed::whole);
  EXPECT_EQ(used, whole.size());
  EXPECT_EQ(message.body.size(), 12U);
}
TEST(Cuts, NoPartOfABulletinFrameIsTaken) {
  const std::string whole = std::string("\0\0\0\x24", 4) + std::string("\0\0\0\0\0\0\0\2\2", 9) +
                            std::string("\0\0\0\x0a\x7f\0\0\1\x0f\xa0\0", 11) +
                            std::string("\0\0\0\0\0\0\3\xe8\0\0\0\0\0\0\0\0", 16);
  std::size_t used = 0;
  for (std::size_t cut = 0; cut < whole.size(); ++cut) {
    EXPECT_FALSE(platform::parse_frame(whole.substr(0, cut), used)) << cut;
    EXPECT_EQ(used, 0U) << cut;
  }
  const auto frame = platform::parse_frame(whole + "next", used);
  ASSERT_TRUE(frame);
  EXPECT_EQ(used, whole.size());
  EXPECT_EQ(frame->number, 2U);
  ASSERT_EQ(frame->offices.size(), 1U);
  EXPECT_EQ(frame->offices[0].address, "127.0.0.1:4000");
}

}  // namespace
}  // namespace reeltack::test
