// Other customers' settings, and settings that change while calls wait and stand.
#include "program.h"

namespace reeltack::test {
namespace {

class SettingsCrossings : public Program {};

std::string numbered_classes(int n) {
  std::string out;
  for (int i = 0; i < n; ++i)
    out += (out.empty() ? "" : ",") + std::string(R"({"Name":"class-)") + std::to_string(i) +
           R"(","GoalTimeNs":500000000,"DeadlineNs":2000000000,"Points":)" + std::to_string(i + 1) + "}";
  return "[" + out + "]";
}

TEST_F(SettingsCrossings, FortyClassesAreEachServedUnderTheirName) {
  start_with(numbered_classes(40));
  play(kEndpointsUp);
  open("c", "sip");
  for (const std::string place : {"0", "17", "39"}) {
    const std::string id = net::hex16(std::stoul(place) + 100);
    play("c send INVITE " + id + " Subject:class-" + place + " X-Patience:3000 X-Facts:dest:0 | d\n" +
         "a expect START " + id + " \"class\":\"class-" + place + "\"\n" +
         R"(a send {"verb":"STARTED","tag":")" + id + R"(","opts":{},"blob":"by a"})" + "\n c expect 200 " +
         id);
  }
  play("d open sip\n d send INVITE #2 Subject:class-40 X-Patience:3000 | d\n d expect 488 #2\n");
}

// Names with spaces, quotes and letters beyond ASCII, as a client spells them and as JSON does.
TEST_F(SettingsCrossings, ClassNamesOfAnySpellingReachTheEndpointUnchanged) {
  start_with("[{\"Name\":\"\\u00e1udio \\\"HD\\\"\",\"GoalTimeNs\":500000000,\"DeadlineNs\":2000000000}]");
  play(kEndpointsUp);
  StandIn& c = open("c", "sip");
  c.raw(
      "INVITE sip:00000000000000aa@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 0000000000000001\r\n"
      "CSeq: 1 INVITE\r\nSubject: \xc3\xa1udio \"HD\"\r\nX-Patience: 3000\r\nX-Facts: dest:0\r\n"
      "Content-Length: 0\r\n\r\n");
  play("a expect START \"class\":\"\xc3\xa1udio \\\"HD\\\"\"\n");
}

// One class, no optional key, an aim beyond the deadline, one attempt, no wait before a retry.
TEST_F(SettingsCrossings, LeastSettingsServe) {
  start_with(R"([{"Name":"only","GoalTimeNs":5000000000,"DeadlineNs":100000000}])", "");
  play(kEndpointsUp);
  play(R"(
    c open sip
    c send INVITE #1 Subject:only X-Patience:3000 X-Facts:dest:0 | d
    a expect START #1
    a send {"verb":"STARTED","tag":"#1","opts":{},"blob":"by a"}
    c expect 200 #1 by a
    c send INVITE #2 Subject:only X-Patience:3000 X-Facts:dest:0 | d
    a expect START #2
    a send {"verb":"FINISH","tag":"#2","opts":{},"rc":41}
    c expect 503 #2
  )");
}

// The wait before a retry may be longer than the call's own time: then there is none.
TEST_F(SettingsCrossings, ReleaseWaitBeyondTheDeadlineMeansNoRetry) {
  start_with(R"([{"Name":"voice","GoalTimeNs":1500000000,"DeadlineNs":30000000000}])",
             R"(,"Domain":{"ReleaseGuardNs":5000000000},"PolicyLimits":{"AttemptsCap":5})");
  play(kEndpointsUp);
  play(R"(
    c open sip
    c send INVITE #1 Subject:voice X-Patience:2000 X-Facts:dest:0 | d
    a expect START #1
    a send {"verb":"FINISH","tag":"#1","opts":{},"rc":41}
    c expect 500 #1
  )");
}

TEST_F(SettingsCrossings, SettingsWithoutClassesAreRefusedAtTheStartByName) {
  launch_with("[]");
  ASSERT_TRUE(read_log("Classes.count is missing")) << seen_;
  int status = 0;
  ::waitpid(std::exchange(child_, 0), &status, 0);
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 1);
}

// SIGHUP takes the address of discovery alone. A class that vanishes from the file goes on being served, for
// the call that waits, the one that stands and the next one; the log names what has changed.
TEST_F(SettingsCrossings, ClassThatVanishesOnReloadIsServedUntilTheNextStart) {
  start_with(kVoice);
  play(kEndpointsUp);
  play(R"(
    c open sip
    c send INVITE #1 Subject:voice X-Patience:8000 X-Facts:dest:0 | d
    a expect START #1
    c send INVITE #2 Subject:voice X-Patience:8000 X-Facts:dest:1 | d
    b expect START #2
    b send {"verb":"STARTED","tag":"#2","opts":{},"blob":"by b"}
    c expect 200 #2 by b
  )");
  std::ofstream(dir() + "/config.json")
      << R"({"name":"other","listen":"127.0.0.1:1","mgmt":"127.0.0.1:2","bulletin":"127.0.0.1:3","limits":)"
      << R"({"sockets":64,"cores":2},"settings":{"Balancers":9,"Classes":[{"Name":"data","GoalTimeNs":1000000,)"
      << R"("DeadlineNs":2000000}],"PolicyLimits":{"AttemptsCap":1}}})";
  signal(SIGHUP);
  ASSERT_TRUE(read_log("reload: bulletin is")) << seen_;
  for (const char* key : {"name", "listen", "mgmt", "limits", "settings"})
    EXPECT_TRUE(logged("reload: " + std::string(key) + " has changed and is taken at the next start only"))
        << key;
  play(R"(
    a send {"verb":"STARTED","tag":"#1","opts":{},"blob":"by a"}
    c expect 200 #1 by a
    b send {"verb":"FINISH","tag":"#2","opts":{},"rc":16}
    c expect BYE #2 cause=16
    c send INVITE #3 Subject:voice X-Patience:8000 X-Facts:dest:0 | d
    a expect START #3
    c send INVITE #4 Subject:data X-Patience:8000 | d
    c expect 488 #4
  )");
}

}  // namespace
}  // namespace reeltack::test
