// The operators' socket: a Unix socket on which a running program answers questions and takes orders.
//
// Owns: the socket (mode 0600), its connections, and the form: a JSON object a line, each way.
// Must never: know what a command means, block the core, or be open to another user.
//
// Request {"command":"trunk.status", ...}; answer {"ok":true,"result":...} or {"ok":false,"error":"..."}.
// One thread; a connection at a time, each request within 2 s. Off unless the fronts file names a path.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>

#include "base/json.h"
#include "net/buffers.h"

namespace reeltack::admin {

// Thrown by a command: the words are the answer's error.
class CommandError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};
using Command =
    std::function<std::string(const base::Json& request)>;  // returns JSON; on the server's thread

class Server {
 public:
  Server() = default;
  ~Server() { close(); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  void add(const std::string& name, Command command) {
    commands_[name] = std::move(command);
  }                                    // before open()
  void open(const std::string& path);  // throws std::runtime_error
  void close();

 private:
  void run();
  void serve(const net::Fd& fd);
  std::string answer(std::string_view line);
  std::map<std::string, Command> commands_;
  std::string path_;
  net::Fd listener_;
  std::atomic<bool> stopping_{false};
  net::Thread thread_;
};

// The other end: one request and its answer. Throws std::runtime_error with what went wrong.
base::Json ask(const std::string& path, const std::string& request);
// The same, as text of the result.
std::string ask_text(const std::string& path, const std::string& request);

}  // namespace reeltack::admin
