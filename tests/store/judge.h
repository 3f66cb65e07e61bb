// Checks how the store opens a folder whose files a test has damaged.
#pragma once

#include <cstring>

#include "script.h"

namespace reeltack::store {

struct Tally {
  int right = 0, aside = 0, by_seal = 0;
};
// Opens the damaged folder: the records must be one of the `allowed` states, or the files set aside
// with their bytes unchanged.
inline void check_recovered(const std::string& dir, const std::vector<State>& allowed,
                            const std::string& file, const std::string& bytes, const std::string& at,
                            Tally& tally) {
  const OpenResult o = Store::open(settings(dir));
  ASSERT_TRUE(o.store) << at << ": " << o.reason;
  if (o.how == How::set_aside) {
    ++tally.aside;
    tally.by_seal += o.reason.find("sealed") != std::string::npos ? 1 : 0;
    EXPECT_TRUE(o.records.empty());
    EXPECT_TRUE(fs::exists(o.aside_path)) << at;
    const std::string end = file.substr(std::strlen("store.db"));
    EXPECT_EQ(read_file(o.aside_path + end), bytes) << at << ": changed when set aside";
    return;
  }
  ++tally.right;
  const State found = state_of(o);
  bool fits = false;
  for (const State& s : allowed) fits = fits || found == s;
  EXPECT_TRUE(fits) << at << ": wrong content accepted as valid";
}

}  // namespace reeltack::store
