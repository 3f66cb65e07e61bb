// The end of the program with clients and endpoints on the WebSocket front: real fronts and core, ended as
// main does, and the real program.
#include <gtest/gtest.h>

#include "../scenarios/scripts.h"
#include "shutdown/shutdown.h"

namespace reeltack::test {
namespace {

constexpr const char* kSetUp =
    R"({"type":"set-up","call":"0000000000000001","class":"voice","number":"00000000000000aa",)"
    R"("patience_ms":60000,"description":"d"})";

class WebSocketEnd : public ::testing::Test {
 protected:
  void SetUp() override {
    settings_.classes.push_back({.aim = 100ms, .deadline = 400ms});
    core_ = std::make_unique<core::Core>(settings_, 1);
    list_ = std::make_unique<core::OfficeList>(*core_);
    offices_ = std::make_unique<platform::Offices>(*core_, std::vector<std::string>{"voice"}, 500ms);
    sip_ = std::make_unique<platform::SipFrontend>(*core_, std::vector<std::string>{"voice"}, 16);
    front_ = std::make_unique<ws::Frontend>(
        *core_, *list_, ws::Frontend::Setup{.class_names = {"voice"}, .origins = {}, .connections = 16});
    core_->start(*front_);
    const int pid = ::getpid();
    address_ = {"127.101." + std::to_string(pid >> 8 & 255) + "." + std::to_string(pid & 255), 6000};
    front_->open(address_);
  }
  void TearDown() override {
    front_->close_all();
    core_->stop();
  }
  [[nodiscard]] StandIn connect(const std::string& path) const {
    StandIn out(StandIn::Kind::ws, std::move(net::dial(address_, soon()).fd));
    out.raw(ws::client_handshake("t", path, "dGhlIHNhbXBsZSBub25jZQ=="));
    std::string answer(129, '\0');  // the 101 has this length for that key
    EXPECT_EQ(::recv(out.fd(), answer.data(), answer.size(), MSG_WAITALL), 129);
    return out;
  }
  void answer_all() {
    const limits::ShutdownTimes times = limits::shutdown_times(net::now(), settings_.classes[0].deadline);
    shut_down(*core_, *offices_, *sip_, front_.get(), times);
  }

  Settings settings_;
  std::unique_ptr<core::Core> core_;
  std::unique_ptr<core::OfficeList> list_;
  std::unique_ptr<platform::Offices> offices_;
  std::unique_ptr<platform::SipFrontend> sip_;
  std::unique_ptr<ws::Frontend> front_;
  net::Address address_;
};

// It would be taken after the last answer that the program waits for, and keep it up for its own 60 s.
TEST_F(WebSocketEnd, SetUpAfterTheLastAnswerIsNotTaken) {
  StandIn client = connect("/calls");
  answer_all();
  client.send(kSetUp);
  EXPECT_EQ(client.next(), "end");
  EXPECT_EQ(core_->counts().requests, 0U);
}

// Let in, and its path not asked for: it may be a client's.
TEST_F(WebSocketEnd, ConnectionThatSaidNothingIsClosedToo) {
  StandIn silent(StandIn::Kind::ws, std::move(net::dial(address_, soon()).fd));
  answer_all();
  EXPECT_EQ(silent.next(), "end");
}

// An endpoint that hangs: its call is answered by the program's time, not by its own of 60 s.
TEST_F(WebSocketEnd, SetUpAtAnEndpointThatHangsIsAnsweredAndThenItsConnectionEnds) {
  StandIn endpoint = connect("/centrales");
  endpoint.send(R"({"type":"register","centrale":"s-0000000c"})");
  EXPECT_NE(endpoint.next().find("registered"), std::string::npos);
  StandIn client = connect("/calls");
  client.send(kSetUp);
  EXPECT_NE(client.next().find("taken"), std::string::npos);
  EXPECT_NE(endpoint.next().find("set-up"), std::string::npos);
  answer_all();
  EXPECT_NE(client.next().find("answer"), std::string::npos);
  EXPECT_EQ(client.next(), "end");
  // Its connection is still there, and so hears of the giving up.
  EXPECT_NE(endpoint.next().find("give-up"), std::string::npos);
  front_->close_all();
  EXPECT_EQ(endpoint.next(), "end");
}

class WebSocketShutdown : public WebSocket {
 protected:
  void terminate() {
    ::kill(child_, SIGTERM);
    ASSERT_TRUE(read_log("asked to end")) << seen_;
  }
  void expect_ends_well() {
    read_log("\x01");
    int status = -1;
    ::waitpid(std::exchange(child_, 0), &status, 0);
    EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << seen_;
  }
};

// Set-ups one after the other until the close: each that was read has its answer.
TEST_F(WebSocketShutdown, EverySetUpUntilTheCloseIsAnswered) {
  start(false);
  StandIn& client = open("w", "calls");
  terminate();
  int asked = 0;
  std::string answer;
  for (const Time by = soon(); net::now() < by && answer != "end"; ++asked) {
    const std::string id = net::hex16(static_cast<std::uint64_t>(100 + asked));
    client.send(R"({"type":"set-up","call":")" + id +
                R"(","class":"voice","number":"00000000000000aa","patience_ms":0,"description":"d"})");
    answer = client.next();
    if (answer == "end") break;
    EXPECT_NE(answer.find("taken"), std::string::npos) << answer;
    answer = client.next();
    EXPECT_NE(answer.find("deadline-passed"), std::string::npos) << answer;
  }
  EXPECT_EQ(answer, "end");
  expect_ends_well();
  EXPECT_NE(seen_.find("ended: " + std::to_string(asked) + " requests"), std::string::npos)
      << asked << " " << seen_;
}

}  // namespace
}  // namespace reeltack::test
