// The adapter's host: settings as text, faulty input, and many instances on one host.
#include <gtest/gtest.h>

#include <random>

#include "host.h"
#include "wire_bytes.h"

namespace reeltack::wire {

namespace {

const char* const kParams =
    "Balancers=2\nClasses.count=1\nClasses.0.GoalTimeNs=2000000000\nClasses.0.DeadlineNs=9000000000\n"
    "LoadReport.Columns=free,size\nPolicyLimits.AttemptsCap=6\nSomething.New=7\n";

TEST(SettingsText, IsReadAndUnknownKeysAreIgnored) {
  const ParsedSettings parsed = parse_settings(kParams);
  EXPECT_EQ(parsed.settings.gateways, 2U);
  ASSERT_EQ(parsed.settings.classes.size(), 1U);
  EXPECT_EQ(parsed.settings.classes[0].aim, std::chrono::seconds{2});
  EXPECT_EQ(parsed.settings.classes[0].effect, Effect::repeatable);
  EXPECT_EQ(parsed.report_columns, (std::vector<std::string>{"free", "size"}));
}

TEST(SettingsText, ErrorsNameTheKeyAndItsValue) {
  const auto text = [](const std::string& params) {
    try {
      parse_settings(params);
    } catch (const SettingsError& error) {
      return std::string(error.what());
    }
    return std::string("accepted");
  };
  EXPECT_NE(text("Classes.count=0\n").find("Balancers"), std::string::npos);
  EXPECT_NE(text("Balancers=many\nClasses.count=0\n").find("Balancers has a value that cannot be read: many"),
            std::string::npos);
  EXPECT_NE(text("Balancers=2\nClasses.count=1\n").find("Classes.0.GoalTimeNs"), std::string::npos);
  EXPECT_NE(text(std::string(kParams) + "PolicyLimits.Probing=perhaps\n").find("perhaps"), std::string::npos);
}

Bytes launch(std::uint64_t seed, const std::string& params) {
  Bytes out = {6};
  const auto put = [&](std::uint64_t v, int n) {
    for (int i = n - 1; i >= 0; --i) out.push_back(static_cast<std::uint8_t>(v >> (8 * i)));
  };
  put(params.size() + 12, 4);
  put(seed, 8);
  put(params.size(), 4);
  out.insert(out.end(), params.begin(), params.end());
  return out;
}

Bytes about(std::uint8_t instance) {
  return hex("09 00000004 000000" + std::string{"0123456789"[instance / 10]} +
             std::string{"0123456789"[instance % 10]});
}

void append(Bytes& to, const Bytes& more) { to.insert(to.end(), more.begin(), more.end()); }

TEST(Host, ABadSettingIsAnsweredWithADieRecordThatNamesIt) {
  for (const std::string value : {"none", "0", "-1", "nan"}) {
    Bytes body = about(1);
    append(body, launch(1, "Balancers=" + value + "\n"));
    Host host([](const std::string&) {});
    const Bytes reply = host.answer(framed(2, body));
    const std::string text(reply.begin(), reply.end());
    EXPECT_NE(text.find("Balancers has a value that cannot be read: " + value), std::string::npos);
    EXPECT_EQ(reply[kReplyHeaderBytes + 9], 9);  // a Die record follows the For record
  }
}

TEST(Host, LogsEventsThatItCannotHandleAndGoesOn) {
  std::vector<std::string> lines;
  Host host([&](const std::string& line) { lines.push_back(line); });
  Bytes body = about(4);
  append(body, hex("02 00000008 0000000000000001"));
  EXPECT_EQ(host.answer(framed(2, body)).size(), kReplyHeaderBytes);
  ASSERT_EQ(lines.size(), 1U);
  EXPECT_NE(lines[0].find("instance 4"), std::string::npos);
  body = about(4);
  append(body, launch(1, kParams));
  append(body, hex("05 0000000a 0000000000000029 02 07"));
  host.answer(framed(3, body));
  ASSERT_EQ(lines.size(), 2U);
  EXPECT_NE(lines[1].find("list 7"), std::string::npos);
}

TEST(Host, ManyInstancesTogetherActLikeEachOneAlone) {
  constexpr std::uint8_t kInstances = 5;
  const Bytes list =
      hex("00 00000031 00 00000002 0000 00 3f800000 01 0000 0000000000000000 03124a07 "
          "0001 00 3fc00000 01 0001 0000000000000000 2c9011f2");
  const auto run = [&](const std::vector<std::uint8_t>& members) {
    Host host([](const std::string&) {});
    std::map<std::uint8_t, Bytes> actions;
    for (std::uint64_t step = 0; step < 200; ++step) {
      Bytes body;
      std::uint32_t records = 0;
      const std::uint64_t now = 1000000000 + step * 20000000;
      for (const std::uint8_t id : members) {
        append(body, about(id));
        ++records;
        if (step == 0) {
          append(body, launch(id, kParams));
          append(body, list);
          append(body, hex("05 0000000a 0000000000000029 02 00"));
          records += 3;
        }
        Bytes call =
            hex("01 00000031 0000000000000000 3f800000 0000000000000000 0000 0000000000000000 "
                "00000000f0000000 0000 00000000 00 00000000");
        call[11] = id;
        call[12] = static_cast<std::uint8_t>(step);
        append(body, call);
        ++records;
      }
      const Bytes reply = host.answer(framed(records, body, now));
      // Collects the actions by the instance that the preceding For record names.
      std::uint8_t instance = 0;
      for (std::size_t at = kReplyHeaderBytes; at < reply.size();) {
        const std::size_t length = reply[at + 4] + 256U * reply[at + 3];
        if (reply[at] == 12)
          instance = reply[at + 8];
        else
          actions[instance].insert(actions[instance].end(), reply.begin() + static_cast<std::ptrdiff_t>(at),
                                   reply.begin() + static_cast<std::ptrdiff_t>(at + 5 + length));
        at += 5 + length;
      }
    }
    return actions;
  };
  std::vector<std::uint8_t> all;
  for (std::uint8_t id = 1; id <= kInstances; ++id) all.push_back(id);
  const auto together = run(all);
  ASSERT_EQ(together.size(), kInstances);
  for (const std::uint8_t id : all) EXPECT_EQ(run({id}).at(id), together.at(id)) << int{id};
}

}  // namespace
}  // namespace reeltack::wire
