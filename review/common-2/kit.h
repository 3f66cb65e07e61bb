// What the cases of this review share. A case runs on one thread and ends the processes that it has started,
// by their ids. Stand-ins do what the protocol page says and nothing else, unless a case tells them to.
#pragma once

#include <filesystem>
#include <set>

#include "bulletin.h"
#include "caller.h"
#include "centrale.h"
#include "office.h"
#include "program.h"
#include "update.h"

namespace kit {

struct Case {
  std::string folder;  // temporary, removed at the end
  Record record;
  Loop loop;
  const bool trouble;
  explicit Case(const std::string& record_path)
      : record(record_path),
        trouble(std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0") {
    const char* tmp = std::getenv("TMPDIR");
    std::string pattern = std::string(tmp != nullptr ? tmp : "/tmp") + "/review-XXXXXX";
    if (::mkdtemp(pattern.data()) == nullptr) cannot_run("no temporary folder");
    folder = pattern;
    ::signal(SIGPIPE, SIG_IGN);
    record.line("disruption: %s", trouble ? "yes" : "no (TROUBLE=0)");
  }
  ~Case() {
    std::error_code ignored;
    std::filesystem::remove_all(folder, ignored);
  }
  // Until the management address says OK.
  bool ready(std::uint16_t mgmt, Process& process, double within_ms = 10000) {
    return loop.run_until(
               [&] {
                 if (process.over()) return true;
                 const int fd = connect_to(mgmt);
                 if (fd < 0) {
                   ::usleep(10000);
                   return false;
                 }
                 const ConnPtr conn = loop.add(fd);
                 conn->send("READY\n");
                 std::string answer;
                 for (int i = 0; i < 50 && answer.find('\n') == std::string::npos; ++i) {
                   pollfd wait{fd, POLLIN, 0};
                   ::poll(&wait, 1, 20);
                   char bytes[256];
                   const ssize_t n = ::recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
                   if (n == 0) break;
                   if (n > 0) answer.append(bytes, static_cast<std::size_t>(n));
                 }
                 conn->close();
                 return answer.rfind("OK", 0) == 0;
               },
               within_ms) &&
           !process.over();
  }
  std::string log() const { return read_file(folder + "/log"); }
  int end(bool broken, const std::string& why) {
    record.line("%s: %s", broken ? "BROKEN" : "held", why.c_str());
    return broken ? kBroken : kHeld;
  }
};

// `argv`: the path of record.txt. The working folder is the root of the repository.
inline int run_case(int argc, char** argv, int (*body)(Case&)) {
  if (argc != 2) return kNotRun;
  try {
    Case one(argv[1]);
    try {
      return body(one);
    } catch (const CannotRun& e) {
      one.record.line("cannot run: %s", e.why.c_str());
      return kNotRun;
    }
  } catch (const CannotRun& e) {
    std::fprintf(stderr, "cannot run: %s\n", e.why.c_str());
    return kNotRun;
  }
}

}  // namespace kit
