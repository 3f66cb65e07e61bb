#include "dns/updates.h"

#include <algorithm>

#include "base/replace_file.h"

namespace reeltack::dns {
namespace {

using namespace std::chrono_literals;

constexpr Duration kIdleTimeout = 30s;
constexpr auto kFirstReminder = 1min;  // log intervals while the file cannot be written
constexpr auto kLastReminder = 1h;

}  // namespace

class UpdateConnection final : public net::Peer {
 public:
  UpdateConnection(UpdateServer& updates, net::Fd fd)
      : net::Peer(std::move(fd), kIdleTimeout), updates_(updates) {}

 protected:
  Next received() override {
    for (;;) {
      const std::string_view held = buffer_.view();
      const std::size_t length = held.size() < 2 ? 0 : net::big_endian(held, 0, 2);
      if (held.size() >= 2 && (length < kHeaderBytes || length > net::kMaxInputMessageBytes))
        return Next::end;
      if (held.size() < 2 || held.size() < 2 + length) return Next::more;
      const std::string answer = updates_.answer(held.substr(2, length));
      buffer_.take(2 + length);
      message_complete();
      std::string out{static_cast<char>(answer.size() >> 8U), static_cast<char>(answer.size())};
      if (!push(out + answer)) return Next::end;
    }
  }
  Next on_quiet() override { return Next::end; }
  void on_left(const std::set<CallId>& /*open*/) override {}

 private:
  UpdateServer& updates_;
};

UpdateServer::UpdateServer(core::OfficeList& list, Zone zone, std::string service, std::string file)
    : list_(list),
      service_(std::move(service)),
      file_(std::move(file)),
      outage_(kFirstReminder, kLastReminder),
      zone_(std::move(zone)),
      listener_(16, [this](net::Fd fd) { return std::make_shared<UpdateConnection>(*this, std::move(fd)); }) {
  const std::lock_guard hold(lock_);
  publish();
}

std::string UpdateServer::answer(std::string_view message) {
  const auto flags = static_cast<std::uint32_t>(net::big_endian(message, 2, 2));
  const std::uint32_t opcode = flags >> 11U & 15U;
  int code = kNotImp;
  if ((flags & 0x8000U) != 0) {
    code = kFormErr;         // a response, not a request
  } else if (opcode == 5) {  // UPDATE
    const std::lock_guard hold(lock_);
    Zone next = zone_;
    bool changed = false;
    code = apply_update(next, message, changed);
    // RFC 2136, 3.5: an update must be stored before it is confirmed.
    if (changed && !store(next)) {
      code = kServFail;
    } else if (changed) {
      zone_ = std::move(next);
      publish();
    }
  }
  std::string out(message.substr(0, 2));
  const std::uint32_t answered = 0x8000U | opcode << 11U | static_cast<std::uint32_t>(code);
  out += static_cast<char>(answered >> 8U);
  out += static_cast<char>(answered);
  return out.append(8, '\0');  // the answer carries no sections
}

// Requires the lock. An endpoint that left the zone is listed as draining, never just omitted.
void UpdateServer::publish() {
  std::vector<std::string> missing;
  std::vector<core::OfficeEntry> current = zone_.offices(service_, &missing);
  for (const std::string& target : missing)
    net::log_line("zone: " + target + " has no address and is left out");
  std::vector<core::OfficeEntry> changes = current;
  for (auto& [id, entry] : published_) {
    const bool found = std::any_of(current.begin(), current.end(),
                                   [id = id](const core::OfficeEntry& o) { return o.entry.server == id; });
    if (found) continue;
    entry.entry.state = ServerState::draining;
    changes.push_back(entry);
  }
  for (const core::OfficeEntry& office : changes) published_[office.entry.server] = office;
  list_.update(core::Source::zone, false, std::move(changes));
}

// Requires the lock. An outage is logged when it begins, at intervals while it lasts, and when it ends.
bool UpdateServer::store(const Zone& zone) {
  if (file_.empty()) return true;
  std::string reason;
  const bool stored = base::replace_file(file_, zone.text(), reason);
  const auto now = std::chrono::steady_clock::now();
  const auto lasted = [&] {
    return std::to_string(
               std::chrono::duration_cast<std::chrono::milliseconds>(outage_.lasted(now)).count()) +
           " ms, " + std::to_string(outage_.failures()) + " updates refused";
  };
  if (stored) {
    if (outage_.on()) net::log_line("zone: " + file_ + " is written again after " + lasted());
    outage_.ended();
    return true;
  }
  switch (outage_.failed(now)) {
    case base::Outage::Report::begun:
      net::log_line("zone: updates are refused, they cannot be kept: " + reason);
      break;
    case base::Outage::Report::lasting:
      net::log_line("zone: updates are still refused for " + lasted() + ": " + reason);
      break;
    case base::Outage::Report::nothing:
      break;
  }
  return false;
}

}  // namespace reeltack::dns
