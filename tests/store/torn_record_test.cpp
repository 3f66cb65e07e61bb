// The last record of the log is truncated or garbled at each of its bytes: the store must hold the last
// batch or the one before, or the files are set aside.
#include <algorithm>

#include "judge.h"

namespace reeltack::store {
namespace {

enum class Tear { cut, inverted, zeroed };

std::string torn(std::string log, std::size_t at, Tear tear) {
  if (tear == Tear::cut) log.resize(at);
  if (tear == Tear::inverted) log[at] = static_cast<char>(~static_cast<unsigned char>(log[at]));
  if (tear == Tear::zeroed) std::fill(log.begin() + static_cast<std::ptrdiff_t>(at), log.end(), '\0');
  return log;
}

// Database and log as a kill leaves them, with the smallest possible last batch.
struct TornLogFixture {
  TornLogFixture() {
    StoreSettings where = settings(temp / "s");
    where.checkpoint_pages = 1000;  // no checkpoint
    OpenResult opened = Store::open(where);
    const auto write = [&](const std::string& text) {
      EXPECT_TRUE(opened.store->write({{"vote", text}, {"held", text}}, WallTime{}).ok());
    };
    write("1");
    write("2");
    last_begins = fs::file_size(temp / "s/store.db-wal");
    write("3");
    file = read_file(temp / "s/store.db");
    log = read_file(temp / "s/store.db-wal");
  }
  void tear_at(std::size_t at, Tear tear) {
    const std::string bytes = torn(log, at, tear);
    fs::remove_all(temp / "d");
    fs::create_directory(temp / "d");
    write_file(temp / "d/store.db", file);
    write_file(temp / "d/store.db-wal", bytes);
    const State before{{"held", "2"}, {"vote", "2"}}, own{{"held", "3"}, {"vote", "3"}};
    check_recovered(temp / "d", {before, own}, "store.db-wal", bytes, "byte " + std::to_string(at), tally);
    ++visited;
  }
  TempDir temp;
  std::string file, log;
  std::size_t last_begins = 0, visited = 0;
  Tally tally;
};

class TornLastRecord : public testing::TestWithParam<Tear> {};
TEST_P(TornLastRecord, AtEachByteReadsAsABatchOrIsSetAside) {
  TornLogFixture c;
  ASSERT_GT(c.log.size(), c.last_begins + 4096);
  for (std::size_t at = c.last_begins; at < c.log.size() && !HasFailure(); ++at) c.tear_at(at, GetParam());
  EXPECT_EQ(c.visited, c.log.size() - c.last_begins);
  EXPECT_EQ(static_cast<std::size_t>(c.tally.right + c.tally.aside), c.visited);
  std::printf("visited each of %zu bytes: read right %d, set aside %d\n", c.visited, c.tally.right,
              c.tally.aside);
}
INSTANTIATE_TEST_SUITE_P(StoreDamage, TornLastRecord,
                         testing::Values(Tear::cut, Tear::inverted, Tear::zeroed));

}  // namespace
}  // namespace reeltack::store
