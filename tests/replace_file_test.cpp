// A file replaced as a whole on a disk that fails at each call.
#include "base/replace_file.h"

#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

namespace reeltack::base {
namespace {

std::string slurp(const std::string& file) {
  std::stringstream out;
  out << std::ifstream(file, std::ios::binary).rdbuf();
  return out.str();
}

class TempDir {
 public:
  TempDir() : path_(testing::TempDir() + "replace-XXXXXX") { EXPECT_NE(::mkdtemp(path_.data()), nullptr); }
  ~TempDir() { std::filesystem::remove_all(path_); }
  TempDir(const TempDir&) = delete;
  TempDir& operator=(const TempDir&) = delete;
  [[nodiscard]] std::string file(const char* name) const { return path_ + "/" + name; }

 private:
  std::string path_;
};

// Fails the nth call with an errno, and writes no more than `most` bytes a call.
class FailingCalls final : public FileCalls {
 public:
  FailingCalls(int nth, int error) : nth_(nth), error_(error) {}
  int open(const char* path, int flags, mode_t mode) override {
    if (fails("open")) return -1;
    ++opened_;
    return FileCalls::open(path, flags, mode);
  }
  ::ssize_t write(int fd, const char* bytes, std::size_t size) override {
    return fails("write") ? -1 : FileCalls::write(fd, bytes, std::min(size, most));
  }
  int sync(int fd) override { return fails("sync") ? -1 : FileCalls::sync(fd); }
  int close(int fd) override {  // a failed close has closed the descriptor all the same
    --opened_;
    const int done = FileCalls::close(fd);
    return fails("close") ? -1 : done;
  }
  int rename(const char* from, const char* to) override {
    return fails("rename") ? -1 : FileCalls::rename(from, to);
  }
  std::size_t most = 3;
  std::map<std::string, int> seen;
  [[nodiscard]] int calls() const { return calls_; }
  [[nodiscard]] int left_open() const { return opened_; }

 private:
  bool fails(const char* call) {
    ++seen[call];
    if (++calls_ != nth_) return false;
    errno = error_;
    return true;
  }
  int nth_, error_, calls_ = 0, opened_ = 0;
};

TEST(ReplaceFile, EveryCallFailsWithEveryErrorAndTheFileIsTheOldOrTheNew) {
  const TempDir temp;
  const std::string file = temp.file("f"), fresh = file + ".new";
  const std::string before = "old content", after = "the new content";
  FailingCalls counted(0, 0);
  std::string why;
  ASSERT_TRUE(replace_file(file, before, why, counted)) << why;
  EXPECT_EQ(counted.seen["sync"], 2) << "of the file, and of its folder";
  EXPECT_EQ(counted.seen["write"], 4);
  FailingCalls again(0, 0);
  ASSERT_TRUE(replace_file(file, after, why, again));
  const int total = again.calls();
  for (const int error : {ENOSPC, EIO, EROFS, EDQUOT}) {
    for (int nth = 1; nth <= total; ++nth) {
      std::string unused;
      ASSERT_TRUE(replace_file(file, before, unused));
      FailingCalls calls(nth, error);
      EXPECT_FALSE(replace_file(file, after, why, calls)) << nth;
      EXPECT_NE(why.find(std::strerror(error)), std::string::npos) << why;
      EXPECT_EQ(calls.left_open(), 0) << nth;
      EXPECT_FALSE(std::filesystem::exists(fresh)) << nth;
      // The last three are of the folder: open, sync, close.
      EXPECT_EQ(slurp(file), nth > total - 3 ? after : before) << nth;
      EXPECT_TRUE(replace_file(file, after, unused));
      EXPECT_EQ(slurp(file), after);
    }
  }
  std::printf("failed each of %d calls\n", total);
}

TEST(ReplaceFile, AnInterruptedWriteGoesOn) {
  const TempDir temp;
  FailingCalls calls(3, EINTR);
  std::string why;
  EXPECT_TRUE(replace_file(temp.file("f"), "content", why, calls)) << why;
  EXPECT_EQ(slurp(temp.file("f")), "content");
}

}  // namespace
}  // namespace reeltack::base
