// Without a `fleet` section there is nothing of the fleet: no socket, no thread, no figure and no file.
#include <gtest/gtest.h>

#include "hostile.h"

namespace reeltack::rig {
namespace {

TEST(FleetOff, OpensNoSocketStartsNoThreadAndReportsNoFigure) {
  Rig off({.controllers = 1, .offices = 1, .fleet = false});
  off.pack().start_all();
  const auto use = off.pack().member(0).use();
  std::printf("off: %d threads, %zu sockets, %.1f MB\n", use.threads,
              open_sockets(off.pack().member(0).pid()), use.resident_mb);
  EXPECT_EQ(use.threads, 6);
  EXPECT_EQ(open_sockets(off.pack().member(0).pid()), 4U);  // calls, management, bulletin, the one office
  EXPECT_LT(use.resident_mb, 32.0);
  const auto stats = mgmt::ask(off.mgmt(0), "STATS", base::now() + 10s).text;
  EXPECT_NE(stats.find("proxy."), std::string::npos);
  EXPECT_EQ(stats.find("fleet"), std::string::npos);
  EXPECT_EQ(off.pack().member(0).log().find(" fleet "), std::string::npos);
  EXPECT_FALSE(std::filesystem::exists(off.pack().store(0) + "/store.db"));
  EXPECT_TRUE(is_free(link_of(off, 0), SOCK_DGRAM));
  EXPECT_TRUE(is_free(link_of(off, 0), SOCK_STREAM));
}

}  // namespace
}  // namespace reeltack::rig
