#include "dns/zone_file.h"

#include <utility>

#include "base/base.h"
#include "base/read_file.h"
#include "base/replace_file.h"

namespace reeltack::dns {
namespace {

using namespace std::chrono_literals;

constexpr auto kLockTimeout = 500ms;
constexpr auto kFirstReminder = 1min;  // log intervals while the file cannot be written or read
constexpr auto kLastReminder = 1h;

std::string lasted(const base::Outage& outage, base::Outage::Time now) {
  const auto span = std::chrono::duration_cast<std::chrono::milliseconds>(outage.lasted(now));
  return std::to_string(span.count()) + " ms";
}

}  // namespace

ZoneFile::ZoneFile(std::string path)
    : path_(std::move(path)),
      refusing_(kFirstReminder, kLastReminder),
      unreadable_(kFirstReminder, kLastReminder) {}

std::optional<ZoneFile::Exclusive> ZoneFile::lock() {
  Exclusive out;
  if (in_memory()) return out;
  std::string reason;
  const auto deadline = std::chrono::steady_clock::now() + kLockTimeout;
  auto acquired = base::FileLock::acquire(path_ + ".lock", deadline, reason);
  if (!acquired) {
    refuse(reason);
    return std::nullopt;
  }
  out.lock_.emplace(std::move(*acquired));
  return out;
}

ZoneFile::Change ZoneFile::read(std::optional<Zone>& zone) {
  if (in_memory()) return Change::none;
  std::string content;
  std::string reason;
  switch (base::read_file(path_, content, reason)) {
    case base::FileRead::missing:
      return Change::none;
    case base::FileRead::failed:
      return unreadable(reason);
    case base::FileRead::whole:
      break;
  }
  if (content == content_) return Change::none;
  try {
    zone = Zone::read(content, path_);
  } catch (const ZoneError& error) {
    return unreadable(error.what());
  }
  content_ = std::move(content);
  if (unreadable_.on()) base::log_line("zone: " + path_ + " is read again");
  unreadable_.ended();
  return Change::changed;
}

bool ZoneFile::store(const Zone& zone) {
  if (in_memory()) return true;
  std::string text = zone.text();
  std::string reason;
  if (!base::replace_file(path_, text, reason)) {
    std::string held;
    std::string unread;
    if (base::read_file(path_, held, unread) == base::FileRead::whole && held == text)
      content_ = std::move(held);
    return refuse(reason);
  }
  content_ = std::move(text);
  stored();
  return true;
}

void ZoneFile::stored() {
  const auto now = std::chrono::steady_clock::now();
  if (refusing_.on())
    base::log_line("zone: " + path_ + " is written again after " + lasted(refusing_, now) + ", " +
                   std::to_string(refusing_.failures()) + " updates refused");
  refusing_.ended();
}

bool ZoneFile::refuse(const std::string& reason) {
  const auto now = std::chrono::steady_clock::now();
  switch (refusing_.failed(now)) {
    case base::Outage::Report::begun:
      base::log_line("zone: updates are refused, they cannot be kept: " + reason);
      break;
    case base::Outage::Report::lasting:
      base::log_line("zone: updates are still refused for " + lasted(refusing_, now) + ", " +
                     std::to_string(refusing_.failures()) + " updates refused: " + reason);
      break;
    case base::Outage::Report::nothing:
      break;
  }
  return false;
}

ZoneFile::Change ZoneFile::unreadable(const std::string& reason) {
  if (unreadable_.failed(std::chrono::steady_clock::now()) != base::Outage::Report::nothing)
    base::log_line("zone: the file is not taken, the zone stays as it was: " + reason);
  return Change::unreadable;
}

}  // namespace reeltack::dns
