// What surrounds a trunk group: the codec, the configuration file and the operators' socket.
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include "admin/admin.h"
#include "base/json.h"
#include "config/trunks.h"
#include "trunk/codec.h"
#include "yaml/document.h"

namespace reeltack::trunk {
namespace {

// ---------------------------------------------------------------- codec

TEST(Codec, FramesComeBackAsTheyWentAndInParts) {
  Signal iam;
  iam.message = {circuits::Kind::iam, 7, 1, 0x9b1f03aa5c7e2d41, 0, 3, 2, 0, {}};
  iam.set_up = {"voice", 0xfffffffffffffff0, 1500, 3, true};
  iam.description = "v=0\r\n\xc3\xa9";
  Signal cqr;
  cqr.message = {circuits::Kind::cqr, 256, 256, 0, 0, 0, 0, 9, {}};
  for (std::uint32_t i = 0; i < 256; ++i)
    cqr.message.status.push_back({circuits::CircuitStatus::State::out, true, 0xffffffff, 0xffffffffffffffff});
  const std::string bytes =
      encode(Hello{1, "g", 30, 2, 1, true, 77}) + encode(iam) + encode_ping() + encode(cqr);
  EXPECT_LT(encode(cqr).size(), kMostFrame) << "256 circuits fit a frame at their largest";
  std::string held;
  std::vector<Frame> frames;
  for (const char c : bytes) {
    held += c;
    std::size_t used = 0;
    if (auto f = decode(held, used)) frames.push_back(std::move(*f));
    held.erase(0, used);
  }
  ASSERT_EQ(frames.size(), 4U);
  EXPECT_EQ(frames[0].hello->incarnation, 77U);
  EXPECT_EQ(frames[1].signal->message, iam.message);
  EXPECT_EQ(frames[1].signal->set_up.number, iam.set_up.number);
  EXPECT_EQ(frames[1].signal->description, iam.description);
  EXPECT_EQ(frames[3].signal->message, cqr.message);
}
TEST(Codec, WhatIsMalformedIsRefused) {
  std::size_t used = 0;
  const auto refused = [&used](const std::string& bytes) {
    EXPECT_THROW(decode(bytes, used), CodecError) << bytes.size();
  };
  refused(std::string(1, '\0'));            // an empty frame
  refused("\xff\xff\xff\xff");              // a length that never ends
  refused("\x81\x80\x01");                  // longer than 16 KiB
  refused("\x02\xff\xff");                  // no protobuf
  refused(std::string("\x02\x12\x00", 3));  // a signal of nothing is an iam without a set-up
  Signal iam;
  iam.message.kind = circuits::Kind::iam;
  iam.description = "\xff";
  refused(encode(iam));  // no UTF-8
  iam.description = "";
  iam.set_up.call_class = std::string(65, 'x');
  refused(encode(iam));
  iam.description = std::string(20000, 'x');
  EXPECT_THROW(encode(iam), CodecError);
}

// ---------------------------------------------------------------- configuration

constexpr const char* kGroup =
    "trunks:\n  - {name: west, office: s-0000f001, place: 5, dial: \"127.0.0.1:2907\", circuits: 100, "
    "point_code: 2, far_point_code: 1}\n";

TEST(TrunksFile, ReadsAndRefuses) {
  const auto t = config::parse_trunks(kGroup, "f").at(0);
  EXPECT_EQ(t.office, ServerId{0xf001});
  EXPECT_EQ(t.group.size, 100U);
  const auto refused = [](std::string from, const std::string& to, const std::string& expected) {
    std::string text = kGroup;
    text.replace(text.find(from), from.size(), to);
    try {
      config::parse_trunks(text, "f");
      ADD_FAILURE() << text;
    } catch (const yaml::Error& error) {
      EXPECT_NE(std::string(error.what()).find(expected), std::string::npos) << error.what();
    }
  };
  refused("circuits: 100", "circuits: 0",
          "f:2:72: trunks[0].circuits: must be a value of type \"integer\", at least 1");
  refused("far_point_code: 1", "far_point_code: 2", "trunks[0].far_point_code: must differ from point_code");
  refused("dial:", "lisen:", "trunks[0].lisen: is no key of this place; was listen meant?");
  refused("dial: \"127.0.0.1:2907\", ", "", "trunks[0]: needs one of dial and listen");
  refused("office: s-0000f001", "office: west", "trunks[0].office: must be an id as s-0000f001");
  refused("circuits: 100", "circuits: 100, audit: {period: 9s, confirm: 2s}",
          "trunks[0].audit: frees a stuck circuit of 100 only after 11.1s, later than its bound of 10s");
  refused("circuits: 100", "circuits: 100000", "only after 82.15s");
  refused("circuits: 100", "circuits: 100, silence: 9s", "trunks[0].silence: must be at most 7s");
}

// ---------------------------------------------------------------- operators' socket

TEST(Admin, AnswersTheOwnerAloneAndNamesWhatIsWrong) {
  const std::string path = ::testing::TempDir() + "admin-" + std::to_string(::getpid());
  admin::Server server;
  server.add("echo", [](const base::Json& request) -> std::string {
    const base::Json* word = request.find("word");
    if (word == nullptr) throw admin::CommandError("word: is missing");
    return base::quoted(*word->string());
  });
  server.open(path);
  struct stat file {};
  ASSERT_EQ(::stat(path.c_str(), &file), 0);
  EXPECT_EQ(file.st_mode & 0777U, 0600U);
  EXPECT_EQ(admin::ask_text(path, R"({"command":"echo","word":"x"})"), "\"x\"");
  const auto failed = [&path](const std::string& request) {
    try {
      admin::ask(path, request);
    } catch (const std::runtime_error& error) {
      return std::string(error.what());
    }
    return std::string("no error");
  };
  EXPECT_EQ(failed(R"({"command":"echo"})"), "word: is missing");
  EXPECT_EQ(failed(R"({"command":"nothing"})"), "no such command; known are echo");
  EXPECT_NE(failed("{"), "no error");
  admin::Server second;
  EXPECT_THROW(second.open(path), std::runtime_error)
      << "the socket of a program that lives is not taken away";
  server.close();
  EXPECT_NE(failed("{}").find("nothing answers there"), std::string::npos);
  second.open(path);
}

}  // namespace
}  // namespace reeltack::trunk
