// Helpers for the tests with faulty peers: addresses and envelopes for a scripted peer, and readers of a
// controller's log and of /proc.
#pragma once

#include <filesystem>
#include <fstream>

#include "config/controllers.h"
#include "link_rig.h"
#include "rig.h"

namespace reeltack::rig {

// The address at which controller i listens to its peers, bypassing the fault proxy.
inline fleet::Endpoint link_of(const Rig& rig, std::size_t i) {
  return config::endpoint_of({rig.sip(i).host, static_cast<std::uint16_t>(7100 + i)});
}
inline fleet::MemberId member(const std::string& name) { return fleet::MemberId{config::hash_of(name)}; }
inline fleet::Envelope envelope_of(const std::string& name) {
  return {fleet::kNewestVersion, config::hash_of("rig"), 0, member(name), 1};
}
inline std::uint64_t established(const load::Played& played) {
  return played.recorder.all().results[static_cast<std::size_t>(load::Result::stands)];
}
// Number of occurrences of `pattern` in a log from an offset on.
inline std::size_t occurrences(const std::string& log, const std::string& pattern, std::size_t from = 0) {
  std::size_t out = 0;
  for (std::size_t at = log.find(pattern, from); at != std::string::npos; at = log.find(pattern, at + 1))
    ++out;
  return out;
}
// Number of sockets that a process holds open.
inline std::size_t open_sockets(pid_t pid) {
  std::size_t out = 0;
  std::error_code gone;
  for (const auto& fd : std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/fd")) {
    const auto to = std::filesystem::read_symlink(fd.path(), gone);
    if (!gone && to.string().starts_with("socket:")) ++out;
  }
  return out;
}
// Whether no socket is bound to this address.
inline bool is_free(fleet::Endpoint at, int type) {
  const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const int reuse = 1;  // ignores earlier connections in TIME_WAIT
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_addr.s_addr = htonl(at.address);
  to.sin_port = htons(at.port);
  const bool out = ::bind(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0;
  ::close(fd);
  return out;
}
// Waits until every controller counts `size` members as alive and is at the stage full.
inline bool reaches_full_service(Rig& rig, std::int64_t size, Duration limit = 30s) {
  return rig.until(limit, [&] { return rig.all("alive", size) && rig.all("stage", 5); });
}

}  // namespace reeltack::rig
