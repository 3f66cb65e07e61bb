// Configuration files: what is taken, what is refused, and what the refusal names; the tool that writes them.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <cstdlib>
#include <fstream>

#include "base/json.h"
#include "config/config.h"

namespace reeltack::test {
namespace {

using base::Json;

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

}  // namespace
}  // namespace reeltack::test
