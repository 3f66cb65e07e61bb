// What the stand-ins of the review's cases share: time, the record, sockets, WebSocket frames, JSON fields
// and the controller as a process. Loopback only; every thread is detached and ends with the program.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace kit {

inline std::int64_t unix_ms() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}
inline std::int64_t started_ms = unix_ms();
inline std::int64_t now_ms() { return unix_ms() - started_ms; }  // since the start of the case
inline void sleep_ms(std::int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }
inline void sleep_until(std::int64_t at) {
  if (at > now_ms()) sleep_ms(at - now_ms());
}

[[noreturn]] inline void cannot_run(const std::string& why) {
  std::fprintf(stderr, "cannot run: %s\n", why.c_str());
  std::exit(2);
}

// In a child process: it is killed when the case ends, however that ends.
inline void end_with_parent() { ::prctl(PR_SET_PDEATHSIG, SIGKILL); }

// One line an event: milliseconds since the start, who, and what.
inline std::mutex record_lock;
inline FILE* record_file = nullptr;
inline void open_record(const char* path) {
  record_file = std::fopen(path, "w");
  if (record_file == nullptr) cannot_run("record.txt cannot be written");
}
inline void record(const char* format, ...) {
  const std::lock_guard hold(record_lock);
  std::fprintf(record_file, "%7lld ", static_cast<long long>(now_ms()));
  va_list list;
  va_start(list, format);
  std::vfprintf(record_file, format, list);
  va_end(list);
  std::fputc('\n', record_file);
  std::fflush(record_file);
}

inline sockaddr_in loopback(int port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(port));
  out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return out;
}
inline int new_socket() {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) cannot_run("no socket");
  const int one = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}
inline int port_of(int fd) {
  sockaddr_in at{};
  socklen_t size = sizeof at;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  return ntohs(at.sin_port);
}
// Listens on the port, or on a free one for 0. -1: the port is taken.
inline int listen_on(int port) {
  const int fd = new_socket();
  const sockaddr_in at = loopback(port);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || ::listen(fd, 128) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}
inline int free_port() {
  const int fd = listen_on(0);
  const int port = port_of(fd);
  ::close(fd);
  return port;
}
inline int accept_on(int listener) {
  const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
  const int one = 1;
  if (fd >= 0) ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}
inline int connect_to(int port) {  // -1: refused
  const int fd = new_socket();
  const sockaddr_in at = loopback(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0) return fd;
  ::close(fd);
  return -1;
}
inline bool write_all(int fd, const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t n = ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (n <= 0) return false;
    done += static_cast<std::size_t>(n);
  }
  return true;
}
// Appends what has come; false: the far end has closed.
inline bool read_some(int fd, std::string& into) {
  char bytes[16384];
  const ssize_t n = ::recv(fd, bytes, sizeof bytes, 0);
  if (n <= 0) return false;
  into.append(bytes, static_cast<std::size_t>(n));
  return true;
}

// The value of a field of a flat JSON object, a string or a number; empty: it is missing.
inline std::string field(const std::string& json, const std::string& key) {
  const std::string quoted = "\"" + key + "\":";
  std::size_t at = json.find(quoted);
  if (at == std::string::npos) return "";
  at += quoted.size();
  if (json[at] != '"') return json.substr(at, json.find_first_of(",}", at) - at);
  std::string out;
  for (++at; at < json.size() && json[at] != '"'; ++at) {
    if (json[at] == '\\') ++at;
    out += json[at];
  }
  return out;
}
inline std::string hex16(std::uint64_t value) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
  return text;
}

// The client's side of a WebSocket connection (RFC 6455).
class WebSocket {
 public:
  // False: not connected, or refused.
  bool open(int port, const std::string& path) {
    fd_ = connect_to(port);
    if (fd_ < 0) return false;
    const std::string ask =
        "GET " + path + " HTTP/1.1\r\nHost: 127.0.0.1:" + std::to_string(port) +
        "\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
        "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n";
    if (!write_all(fd_, ask)) return false;
    std::size_t end = std::string::npos;
    while ((end = held_.find("\r\n\r\n")) == std::string::npos) {
      if (!read_some(fd_, held_)) return false;
    }
    const bool switched = held_.rfind("HTTP/1.1 101", 0) == 0;
    held_.erase(0, end + 4);
    return switched;
  }
  bool send(const std::string& text, int opcode = 1) {
    const std::lock_guard hold(sending_);
    std::string frame(1, static_cast<char>(0x80 | opcode));
    if (text.size() < 126) {
      frame += static_cast<char>(0x80 | text.size());
    } else {
      frame += static_cast<char>(0x80 | 126);
      frame += static_cast<char>(text.size() >> 8U);
      frame += static_cast<char>(text.size() & 255U);
    }
    const char mask[4] = {0x11, 0x22, 0x33, 0x44};
    frame.append(mask, 4);
    for (std::size_t i = 0; i < text.size(); ++i) frame += static_cast<char>(text[i] ^ mask[i % 4]);
    return write_all(fd_, frame);
  }
  // The next text message, with pings answered; nothing: the connection has ended.
  std::optional<std::string> receive() {
    for (;;) {
      std::string payload;
      const int opcode = take_frame(payload);
      if (opcode == 1) return payload;
      if (opcode == 9) send(payload, 10);
      if (opcode == 8) return std::nullopt;
      if (opcode < 0 && !read_some(fd_, held_)) return std::nullopt;
    }
  }
  // Ends the connection; receive() on another thread returns.
  void shut() { ::shutdown(fd_, SHUT_RDWR); }
  void close() { ::close(fd_); }

 private:
  int take_frame(std::string& payload) {
    if (held_.size() < 2) return -1;
    std::size_t length = static_cast<unsigned char>(held_[1]) & 127U;
    std::size_t head = 2;
    if (length == 126) {
      if (held_.size() < 4) return -1;
      length = static_cast<std::size_t>(static_cast<unsigned char>(held_[2])) << 8U |
               static_cast<unsigned char>(held_[3]);
      head = 4;
    }
    if (held_.size() < head + length) return -1;
    const int opcode = held_[0] & 15;
    payload = held_.substr(head, length);
    held_.erase(0, head + length);
    return opcode;
  }
  int fd_ = -1;
  std::string held_;
  std::mutex sending_;
};

// The controller as the deploy file starts it: `exec build/reeltack FRONTS` by the shell, from the root of
// the repository, with its configuration in PROXY_CONFIG.
class Controller {
 public:
  Controller(std::string root, std::string fronts, std::string config, std::string log)
      : root_(std::move(root)),
        fronts_(std::move(fronts)),
        config_(std::move(config)),
        log_(std::move(log)) {}
  void start() {
    pid_ = ::fork();
    if (pid_ < 0) cannot_run("no process");
    if (pid_ == 0) {
      end_with_parent();
      if (::chdir(root_.c_str()) != 0) ::_exit(127);
      ::setenv("PROXY_CONFIG", config_.c_str(), 1);
      const int log = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(log, 1);
      ::dup2(log, 2);
      const std::string command = "exec build/reeltack " + fronts_;
      ::execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
      ::_exit(127);
    }
  }
  [[nodiscard]] pid_t pid() const { return pid_; }
  void signal(int which) const { ::kill(pid_, which); }
  // Its status once it has ended, within the time; nothing: it still runs.
  std::optional<int> ended(std::int64_t within_ms) {
    const std::int64_t by = now_ms() + within_ms;
    do {
      int status = 0;
      if (pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_) {
        pid_ = -1;
        return status;
      }
      sleep_ms(5);
    } while (now_ms() < by);
    return std::nullopt;
  }
  void stop() {
    if (pid_ <= 0) return;
    signal(SIGTERM);
    if (ended(6000)) return;
    signal(SIGKILL);
    ended(2000);
  }
  ~Controller() { stop(); }

 private:
  std::string root_, fronts_, config_, log_;
  pid_t pid_ = -1;
};

// Asks the management address until it says that clients are taken; false: not within the time.
inline bool ready(int mgmt, std::int64_t within_ms) {
  const std::int64_t by = now_ms() + within_ms;
  while (now_ms() < by) {
    const int fd = connect_to(mgmt);
    if (fd >= 0) {
      std::string answer;
      write_all(fd, "READY\n");
      while (read_some(fd, answer)) continue;
      ::close(fd);
      if (answer.rfind("OK", 0) == 0) return true;
    }
    sleep_ms(20);
  }
  return false;
}

inline void write_file(const std::string& path, const std::string& text) {
  std::ofstream out(path);
  out << text;
  if (!out) cannot_run(path + " cannot be written");
}

// The settings of a small deployment: the three classes and the figures of the rules of despacho-uy.
inline std::string settings(int controllers) {
  return R"({"Balancers":)" + std::to_string(controllers) + R"(,"Classes":[
 {"Name":"estado-viaje","GoalTimeNs":1500000000,"DeadlineNs":9000000000,"Points":1,"LateValue":0.25,"Effect":"repeatable","Stream":true},
 {"Name":"pedido-viaje","GoalTimeNs":2000000000,"DeadlineNs":9000000000,"Points":3,"LateValue":0.25,"Effect":"repeatable","Stream":true},
 {"Name":"posicion-movil","GoalTimeNs":2500000000,"DeadlineNs":9000000000,"Points":1,"LateValue":0.25,"Effect":"repeatable","Stream":true}],
 "Domain":{"Shape":"pools","ReleaseGuardNs":300000000,"CallLengthNs":[9300000000,14000000000,4700000000],
 "FarState":"piggyback","SelfNo":-1},
 "LoadReport":{"Columns":["free","size"],"Source":"piggyback"},
 "Obligations":{"ColdFrom":0.33,"FallMultiple":2.0,"FallNs":1000000000,"GraceToAnswerNs":20000000,
 "RampTimeNs":15000000000,"StopSendingWithinNs":250000000},
 "PolicyLimits":{"AttemptsCap":5,"Cancel":true,"ConnIdleNs":600000000000,"DialTimeoutNs":500000000,
 "MaxRetryAfterNs":2000000000,"RetryAfter":true,"SecondCopies":false},
 "TickNs":5000000,"Zones":["montevideo","canelones","maldonado","paysandu"],"MachineTypes":["nodo-1c"]})";
}
inline std::string config(const std::string& name, int mgmt, const std::string& more, int controllers = 6) {
  return R"({"name":")" + name + R"(","seed":"8c1f30d27a5be964","mgmt":"127.0.0.1:)" + std::to_string(mgmt) +
         R"(","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},)" + more + R"("settings":)" +
         settings(controllers) + "}";
}

}  // namespace kit
