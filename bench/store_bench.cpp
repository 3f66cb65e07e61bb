// Figures of the store: a durable write by size, the file size after many overwrites, opening, memory,
// and the time that put() of the asynchronous store takes. Uses the given folder and so its disk.
//
//   build-test/store_bench [FOLDER]
#include <stdlib.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include "base/wall_clock.h"
#include "store/async_store.h"

namespace {

namespace fs = std::filesystem;
using namespace reeltack;
using Clock = std::chrono::steady_clock;

double ms_since(Clock::time_point from) {
  return std::chrono::duration<double, std::milli>(Clock::now() - from).count();
}

void print(const char* what, std::vector<double> ms) {
  std::sort(ms.begin(), ms.end());
  std::printf("%-34s p50 %8.4f  p99 %8.4f  max %8.4f ms\n", what, ms[ms.size() / 2], ms[ms.size() * 99 / 100],
              ms.back());
}

// Prints the memory of this process in KiB: anonymous pages, and file pages, which can be dropped.
void memory(const char* when) {
  std::ifstream in("/proc/self/status");
  std::printf("%-34s", when);
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with("RssAnon") || line.starts_with("RssFile")) std::printf(" %s", line.c_str());
  }
  std::printf("\n");
}

std::string value(std::size_t size, int seed) {
  std::string out(size, ' ');
  auto x = static_cast<std::uint32_t>(seed);
  for (char& c : out) c = static_cast<char>((x = x * 1664525U + 1013904223U) >> 24);
  return out;
}

std::string key(int i) { return std::string("key-").append(std::to_string(i)); }

store::OpenResult open(const store::StoreSettings& settings) {
  store::OpenResult opened = store::Store::open(settings);
  if (!opened.store) {
    std::fprintf(stderr, "store_bench: %s\n", opened.reason.c_str());
    std::exit(1);
  }
  return opened;
}

void write(store::Store& store, int i, std::size_t size) {
  if (const auto done = store.write({{key(i % 32), value(size, i)}}, base::wall_now()); !done.ok()) {
    std::fprintf(stderr, "store_bench: %s\n", done.text.c_str());
    std::exit(1);
  }
}

void measure(store::StoreSettings settings) {
  memory("before");
  {
    const store::OpenResult opened = open(settings);
    for (const auto& [size, times] : {std::pair{1024, 1500}, {16384, 1500}, {131072, 400}}) {
      std::vector<double> ms;
      for (int i = 0; i < times; ++i) {
        const auto from = Clock::now();
        write(*opened.store, i, static_cast<std::size_t>(size));
        ms.push_back(ms_since(from));
      }
      print((std::to_string(size) + " bytes, durable").c_str(), ms);
    }
    memory("open, after these");
  }
  settings.dir = settings.dir.substr(0, settings.dir.rfind('/')) + "/other";
  {
    const store::OpenResult opened = open(settings);
    for (int i = 0; i < 10000; ++i) write(*opened.store, i, i % 10 == 0 ? 16384 : 1024);
    for (const auto& file : fs::directory_iterator(settings.dir)) {
      std::printf("10,000 overwrites: %-10s %ju\n", file.path().filename().c_str(),
                  static_cast<std::uintmax_t>(file.file_size()));
    }
  }
  std::vector<double> ms;
  for (int i = 0; i < 50; ++i) {
    const auto from = Clock::now();
    const store::OpenResult opened = open(settings);
    ms.push_back(ms_since(from));
  }
  print("open, prove and read all", ms);
  std::vector<double> put;
  store::AsyncStoreCounts counts;
  {
    store::AsyncStore async_store(settings, open(settings), {});
    for (int i = 0; i < 100000; ++i) {
      const std::string name = key(i % 32);
      const auto from = Clock::now();
      async_store.put(name, value(16, i));
      put.push_back(ms_since(from));
    }
    async_store.flush(std::chrono::seconds(30));
    counts = async_store.counts();
  }
  print("put on the keeper, disk at work", put);
  std::printf("%ju puts in %ju batches\n", static_cast<std::uintmax_t>(counts.taken),
              static_cast<std::uintmax_t>(counts.batches));
}

}  // namespace

int main(int argc, char** argv) {
  std::string folder = std::string(argc > 1 ? argv[1] : ".") + "/store-bench-XXXXXX";
  if (::mkdtemp(folder.data()) == nullptr) {
    std::perror(folder.c_str());
    return 1;
  }
  store::StoreSettings settings;
  settings.dir = folder + "/one";
  settings.fleet = "bench";
  settings.owner = "bench";
  measure(settings);
  fs::remove_all(folder);
  return 0;
}
