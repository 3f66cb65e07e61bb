// The management address and the operators' socket where calls beneath them fail.
#include <gtest/gtest.h>
#include <unistd.h>

#include <cerrno>

#include "admin/admin.h"
#include "mgmt/client.h"
#include "mgmt/server.h"
#include "system_calls/faults.h"
#include "system_calls/peers.h"

namespace reeltack::test {
namespace {

using namespace std::chrono_literals;
using faults::Call;

constexpr auto kSpan = 100ms;

// How often the program called accept4 in a span in which each fails: the queue is asked now and then, not
// without end.
std::uint64_t accepts_in_a_shortage(const std::function<void()>& knock) {
  faults::arm({.call = Call::accept4, .error = EMFILE, .repeat = faults::kForEver});
  const Time from = net::now();
  knock();
  net::pause_until(from + kSpan);
  const std::uint64_t visited = faults::visited(Call::accept4);
  const auto spent = std::chrono::ceil<std::chrono::milliseconds>(net::now() - from).count();
  faults::disarm();
  EXPECT_GT(visited, 0U);
  EXPECT_LE(visited, static_cast<std::uint64_t>(spent + 20));
  return visited;
}

TEST(Services, ManagementAddressOutlastsFailures) {
  const faults::TestThread exempt;
  const net::Address at = own_address(3);
  const std::string figures = "OK\n" + std::string(1000, 'x') + "\n";
  mgmt::Server server([&] { return mgmt::State{true, [&] { return figures; }}; });
  server.open(at);
  const std::string whole = mgmt::ask(at, "STATS", net::now() + 5s).text;
  EXPECT_GT(whole.size(), 1000U);
  net::Dialled waiting;
  accepts_in_a_shortage([&] { waiting = net::dial(at, net::now() + 5s); });
  EXPECT_EQ(mgmt::ask(at, "STATS", net::now() + 5s).text, whole);
  for (const int error : {faults::kShort, EINTR, ENOBUFS}) {
    const std::uint64_t repeat = error == faults::kShort ? faults::kForEver : 3;
    faults::arm({.call = Call::send, .error = error, .repeat = repeat});
    EXPECT_EQ(mgmt::ask(at, "STATS", net::now() + 5s).text, whole) << error;
    faults::disarm();
  }
  for (const Call call : {Call::recv, Call::poll}) {
    faults::arm({.call = call, .error = ENOMEM, .repeat = 5});
    EXPECT_EQ(mgmt::ask(at, "STATS", net::now() + 5s).text, whole) << faults::name_of(call);
    faults::disarm();
  }
  server.close();
}

TEST(Services, OperatorsSocketOutlastsALackOfDescriptors) {
  const faults::TestThread exempt;
  const std::string path = ::testing::TempDir() + "reeltack-calls-" + std::to_string(::getpid());
  admin::Server server;
  server.add("ping", [](const base::Json&) { return std::string("\"pong\""); });
  server.open(path);
  base::Thread client;
  accepts_in_a_shortage([&] {
    client = base::Thread([&] {
      const faults::TestThread also_exempt;
      EXPECT_EQ(admin::ask_text(path, R"({"command":"ping"})"), "\"pong\"");
    });
  });
  client.join();
  server.close();
}

}  // namespace
}  // namespace reeltack::test
