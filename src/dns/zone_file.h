// The master file of a zone, as the processes that serve it share it: while one process replaces another,
// both take updates, and the file holds the zone of both. Each takes an update only under the file's lock, on
// the zone that it has read there, and takes over what the other has written.
//
// Failures to store and to read are logged when they begin, at intervals while they last, and when they end.
// Waits for the disk, and up to 0.5 s for another process. Not thread-safe.
#pragma once

#include <optional>
#include <string>

#include "base/file_lock.h"
#include "base/outage.h"
#include "dns/zone.h"

namespace reeltack::dns {

class ZoneFile {
 public:
  // `path`: empty: the zone is held in memory only; then every call succeeds and nothing is ever read.
  explicit ZoneFile(std::string path);
  [[nodiscard]] bool in_memory() const { return path_.empty(); }

  // Excludes other processes until it ends. Empty: an update can't be taken now.
  class Exclusive {
   private:
    friend class ZoneFile;
    std::optional<base::FileLock> lock_;
  };
  std::optional<Exclusive> lock();
  // The zone in the file, if it has changed since it was last read or stored here. A file that is missing has
  // not changed.
  enum class Change { none, changed, unreadable };
  Change read(std::optional<Zone>& zone);
  // Durable after success. Where it fails, what the file then holds is not read as a change. Requires the
  // lock.
  bool store(const Zone& zone);

 private:
  bool refuse(const std::string& reason);
  void stored();
  Change unreadable(const std::string& reason);
  const std::string path_;
  std::string content_;  // when last read or stored
  base::Outage refusing_;
  base::Outage unreadable_;
};

}  // namespace reeltack::dns
