// The real program with settings of the test's choice, between the scenario language's peers.
#pragma once

#include "../scenario.h"

namespace reeltack::test {

class Program : public Scenario {
 protected:
  // The settings as JSON, in place of the usual ones; `classes`: the list under "Classes".
  void configure_with(const std::string& classes, const std::string& more) const {
    std::ofstream(dir() + "/config.json")
        << R"({"name":"t","listen":")" << host(0) << R"(:5000","known":{"no":1,"items":[{"no":1,"roster":)"
        << R"({"snapshot":true,"endpoints":[)" << known_ << R"(]}}]},"settings":{"Balancers":1,"Classes":)"
        << classes << more << "}}";
  }
  void start_with(const std::string& classes, const std::string& more = kUsualRest) {
    launch_with(classes, more);
    ASSERT_TRUE(read_log("is up with")) << seen_;
  }
  // Without waiting until it is up.
  void launch_with(const std::string& classes, const std::string& more = kUsualRest) {
    ::mkdir(dir().c_str(), 0700);
    configure_with(classes, more);
    std::ofstream(dir() + "/fronts.json") << R"({"websocket":{"on":false}})";
    child_ = launch(log_);
    ASSERT_GT(child_, 0);
  }
  void signal(int which) const { ::kill(child_, which); }
  // Waits for the program's end by itself; its log is in seen_.
  void expect_ends_well() {
    read_log("\x01");
    int status = -1;
    ::waitpid(std::exchange(child_, 0), &status, 0);
    EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << seen_;
  }
  [[nodiscard]] bool logged(const std::string& text) const { return seen_.find(text) != std::string::npos; }

  static constexpr const char* kUsualRest =
      R"(,"Domain":{"ReleaseGuardNs":300000000},"TickNs":5000000,"PolicyLimits":{"AttemptsCap":5,)"
      R"("Cancel":true,"DialTimeoutNs":500000000,"RetryAfter":true,"MaxRetryAfterNs":2000000000})";
  static constexpr const char* kVoice =
      R"([{"Name":"voice","GoalTimeNs":1500000000,"DeadlineNs":9000000000}])";
  static constexpr const char* kEndpointsUp = "a wait\n b wait\n";
};

}  // namespace reeltack::test
