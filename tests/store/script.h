// Helpers of the store's tests: a temporary folder, a fixed sequence of batches, and the state after
// each of them.
#pragma once

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <string>
#include <vector>

#include "store/store.h"

namespace reeltack::store {

namespace fs = std::filesystem;
using State = std::map<std::string, std::string>;
using clocks::WallTime;
using How = OpenResult::How;

class TempDir {
 public:
  TempDir() {
    // In memory if possible: the effect of a power loss is computed and does not depend on a real disk.
    const bool memory = ::access("/dev/shm", W_OK) == 0;
    std::string pattern = (memory ? fs::path("/dev/shm") : fs::temp_directory_path()) / "store-XXXXXX";
    path_ = ::mkdtemp(pattern.data());
  }
  ~TempDir() { fs::remove_all(path_); }
  TempDir(const TempDir&) = delete;
  TempDir& operator=(const TempDir&) = delete;
  [[nodiscard]] std::string operator/(const std::string& name) const { return path_ + "/" + name; }

 private:
  std::string path_;
};

inline StoreSettings settings(const std::string& dir) {
  StoreSettings s;
  s.dir = dir;
  s.fleet = "fleet-1";
  s.owner = "controller-1";
  s.checkpoint_pages = 8;
  return s;
}

inline std::string value(int seed, std::size_t size) {
  std::string v(size, ' ');
  auto x = static_cast<std::uint32_t>(seed) * 2654435761U + 1;
  for (char& c : v) c = static_cast<char>((x = x * 1664525U + 1013904223U) >> 24);
  return v;
}

// Batch i of the sequence: overwrites, a value over several pages, and a key that is erased and put again.
inline std::vector<Change> batch(int i) {
  std::vector<Change> out{{"offices", value(i, 9000)},
                          {"stage", value(i, 20)},
                          {"office-" + std::to_string(i % 4), value(i, 700)}};
  if (i % 3 == 0) out.push_back({"warmth", value(i, 1500)});
  if (i % 3 == 1) out.push_back({"warmth", std::nullopt});
  return out;
}
inline State state_after(int batches) {
  State s;
  for (int i = 1; i <= batches; ++i) {
    for (const Change& c : batch(i)) {
      if (c.value) s[c.key] = *c.value;
      if (!c.value) s.erase(c.key);
    }
  }
  return s;
}
inline State state_of(const OpenResult& opened) {
  State s;
  for (const StoredRecord& k : opened.records) s[k.key] = k.value;
  return s;
}

inline std::string read_file(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}
inline void write_file(const std::string& file, const std::string& bytes) {
  std::ofstream(file, std::ios::binary | std::ios::trunc) << bytes;
}
inline void copy_folder(const std::string& from, const std::string& to) {
  fs::remove_all(to);
  fs::copy(from, to);
}

}  // namespace reeltack::store
