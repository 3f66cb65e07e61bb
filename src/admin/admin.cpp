#include "admin/admin.h"

#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "net/system_calls.h"

namespace reeltack::admin {
namespace {

using namespace std::chrono_literals;

constexpr int kListenBacklog = 16;
constexpr Duration kRequest = 2s;
constexpr Duration kAnswer = 10s;
constexpr std::size_t kMostRequest = 4096;
constexpr std::size_t kMostAnswer = std::size_t{8} * 1024 * 1024;

sockaddr_un address_of(const std::string& path) {
  sockaddr_un out{};
  out.sun_family = AF_UNIX;
  if (path.size() >= sizeof out.sun_path) throw std::runtime_error(path + ": is too long for a socket");
  std::memcpy(out.sun_path, path.data(), path.size());
  return out;
}

net::Fd connect_to(const std::string& path) {
  const sockaddr_un to = address_of(path);
  net::Fd fd(net::sys::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (!fd || net::sys::connect(fd.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) return {};
  return fd;
}

[[noreturn]] void cannot_listen(const std::string& path, const char* call, int error) {
  throw std::runtime_error(path + ": cannot listen: " + call + ": " + std::strerror(error));
}

std::string error_answer(const std::string& words) {
  return R"({"ok":false,"error":)" + base::quoted(words) + "}";
}

}  // namespace

void Server::open(const std::string& path) {
  // What a program before this one left is taken away; what one that lives holds is not.
  struct stat before {};
  if (::lstat(path.c_str(), &before) == 0) {
    if (!S_ISSOCK(before.st_mode)) throw std::runtime_error(path + ": is there and is no socket");
    if (connect_to(path)) throw std::runtime_error(path + ": another program answers there");
    ::unlink(path.c_str());
  }
  const sockaddr_un at = address_of(path);
  listener_ = net::Fd(net::sys::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  if (!listener_) cannot_listen(path, "socket", errno);
  // Under this mask no moment passes in which another user could connect.
  const mode_t mask = ::umask(0177);
  const bool bound = net::sys::bind(listener_.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0;
  const int error = errno;
  ::umask(mask);
  if (!bound) cannot_listen(path, "bind", error);
  if (net::sys::listen(listener_.get(), kListenBacklog) != 0) cannot_listen(path, "listen", errno);
  path_ = path;
  thread_ = net::Thread([this] { run(); });
}

void Server::close() {
  stopping_ = true;
  thread_.join();
  if (!path_.empty()) ::unlink(path_.c_str());
  path_.clear();
}

void Server::run() {
  while (!stopping_) {
    const net::Fd fd = net::accept_one(listener_, base::now() + 100ms);
    if (fd) serve(fd);
  }
}

void Server::serve(const net::Fd& fd) {
  net::Buffer buffer;
  Time by = base::now() + kRequest;
  while (!stopping_) {
    const std::size_t end = buffer.view().find('\n');
    if (end == std::string_view::npos) {
      if (buffer.view().size() > kMostRequest || buffer.fill(fd, by) != net::ReadResult::data) return;
      continue;
    }
    const std::string out = answer(buffer.view().substr(0, end)) + "\n";
    buffer.take(end + 1);
    by = base::now() + kRequest;
    if (!net::write_all(fd, out, by)) return;
  }
}

std::string Server::answer(std::string_view line) {
  try {
    const base::Json request = base::Json::parse(line);
    const base::Json* name = request.find("command");
    const auto found =
        name == nullptr || name->string() == nullptr ? commands_.end() : commands_.find(*name->string());
    if (found == commands_.end()) {
      std::string known;
      for (const auto& [command, unused] : commands_) known += (known.empty() ? "" : ", ") + command;
      return error_answer("no such command; known are " + known);
    }
    return R"({"ok":true,"result":)" + found->second(request) + "}";
  } catch (const std::runtime_error& error) {
    return error_answer(error.what());
  }
}

std::string ask_text(const std::string& path, const std::string& request) {
  const net::Fd fd = connect_to(path);
  if (!fd) throw std::runtime_error(path + ": nothing answers there (" + std::strerror(errno) + ")");
  const Time by = base::now() + kAnswer;
  if (!net::write_all(fd, request + "\n", by))
    throw std::runtime_error(path + ": the request could not be written");
  net::Buffer buffer;
  while (buffer.view().find('\n') == std::string_view::npos) {
    if (buffer.view().size() > kMostAnswer || buffer.fill(fd, by) != net::ReadResult::data)
      throw std::runtime_error(path + ": no whole answer came");
  }
  const std::string line(buffer.view().substr(0, buffer.view().find('\n')));
  const base::Json json = base::Json::parse(line);
  const base::Json* ok = json.find("ok");
  if (ok == nullptr || !ok->boolean().value_or(false)) {
    const base::Json* error = json.find("error");
    throw std::runtime_error(error != nullptr && error->string() != nullptr ? *error->string()
                                                                            : "an answer without a result");
  }
  constexpr std::string_view kHead = R"({"ok":true,"result":)";
  return line.substr(kHead.size(), line.size() - kHead.size() - 1);
}

base::Json ask(const std::string& path, const std::string& request) {
  return base::Json::parse(ask_text(path, request));
}

}  // namespace reeltack::admin
