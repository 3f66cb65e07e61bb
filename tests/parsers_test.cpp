// The parsers of messages: what is taken, what is refused, and what the refusal names.
#include <gtest/gtest.h>

#include "base/json.h"
#include "platform/bulletin.h"
#include "platform/office_lines.h"
#include "platform/sip.h"
#include "ws/frames.h"

namespace reeltack::test {
namespace {

using base::Json;

TEST(JsonText, IsReadStrictly) {
  const Json json = Json::parse(R"( {"a":[1,-2.5e1,"\u00f1\ud83d\ude95\n"],"b":{"c":true,"d":null}} )");
  EXPECT_EQ(json.find("a")->array()->at(1).number(), -25.0);
  EXPECT_EQ(*json.find("a")->array()->at(2).string(), "\xc3\xb1\xf0\x9f\x9a\x95\n");
  for (const char* bad :
       {"", "{", "{\"a\":1,}", "[1 2]", "01", "1.", "nul", "\"\x01\"", "\"\\x\"", "\"\\ud800\"",
        "{\"a\":1,\"a\":2}", "[]x", "\"\xff\"", "\"\xc0\xaf\"", "\"\xed\xa0\x80\""})
    EXPECT_THROW(Json::parse(bad), base::JsonError) << bad;
  EXPECT_THROW(Json::parse(std::string(60, '[') + std::string(60, ']')), base::JsonError);
  EXPECT_EQ(Json::parse(base::quoted("a\"\\\r\n\x1f")).string()->size(), 6U);
}

TEST(SipText, WaitsForMoreAndRefusesWhatHasNoEnd) {
  const std::string whole = "\r\nBYE sip:1@net SIP/2.0\r\ncall-id: 1\r\nContent-Length: 3\r\n\r\nabcNEXT";
  platform::SipMessage message;
  std::size_t used = 0;
  for (std::size_t n = 3; n < whole.size() - 4; ++n)
    ASSERT_EQ(platform::parse_sip(std::string_view(whole).substr(0, n), message, used),
              platform::ParseResult::more)
        << n;
  ASSERT_EQ(platform::parse_sip(whole, message, used), platform::ParseResult::complete);
  EXPECT_EQ(used, whole.size() - 4);
  EXPECT_EQ(message.body, "abc");
  EXPECT_EQ(*message.header("Call-ID"), "1");
  for (const char* bad :
       {"BYE sip:1 SIP/2.0\r\nCall-ID: 1\r\n\r\n", "BYE sip:1 SIP/3.0\r\nContent-Length: 0\r\n\r\n",
        "bye sip:1 SIP/2.0\r\nContent-Length: 0\r\n\r\n", "BYE\r\nContent-Length: 0\r\n\r\n",
        "BYE sip:1 SIP/2.0\r\nContent-Length: -1\r\n\r\n", "BYE sip:1 SIP/2.0\r\nno colon\r\n\r\n",
        "BYE sip:1 SIP/2.0\r\nContent-Length: 20000\r\n\r\n",
        "BYE sip:1 SIP/2.0\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"})
    EXPECT_EQ(platform::parse_sip(bad, message, used), platform::ParseResult::malformed) << bad;
  EXPECT_EQ(platform::parse_sip(std::string(20000, 'x'), message, used), platform::ParseResult::malformed);
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

// Cut at any byte, a message is waited for; whole, it is taken with its length, and what follows is left.
TEST(Cuts, NoPartOfASipMessageIsTakenOrRefused) {
  const std::string whole =
      "\r\nINVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 9b1f03aa5c7e2d41\r\n"
      "CSeq: 1 INVITE\r\nSubject: voice\r\nX-Patience: 1500\r\nContent-Length: "
      "12\r\n\r\na\r\n\r\nb\r\n\r\nc\xc3";
  for (std::size_t cut = 0; cut < whole.size(); ++cut) {
    platform::SipMessage message;
    std::size_t used = 0;
    EXPECT_EQ(platform::parse_sip(whole.substr(0, cut), message, used), platform::ParseResult::more) << cut;
    EXPECT_LE(used, cut == 2 ? 2U : 0U) << cut;  // a blank line before a message may go
  }
  platform::SipMessage message;
  std::size_t used = 0;
  EXPECT_EQ(platform::parse_sip(whole + "BYE", message, used), platform::ParseResult::complete);
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
