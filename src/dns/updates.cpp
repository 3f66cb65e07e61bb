#include "dns/updates.h"

#include <algorithm>
#include <atomic>

namespace reeltack::dns {
namespace {

using namespace std::chrono_literals;

constexpr Duration kIdleTimeout = 30s;
constexpr std::size_t kMaxConnections = 16;
// Within half of the time in which an endpoint that has left the zone must get nothing new.
constexpr Duration kFollowInterval = 100ms;
// The core looks through its calls each time that it is asked which offices are in use.
constexpr Duration kInUseInterval = 1s;

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

// Looks at the file and at the endpoints that have left it at intervals, on the listener's loop.
class UpdateServer::Follower final : public net::EventHandler {
 public:
  Follower(UpdateServer& updates, net::Loop& loop) : updates_(updates), loop_(loop) {}
  void handle_event(bool /*ready*/) override {
    if (id == 0) return;  // woken again once it is known
    updates_.follow();
    loop_.due(id, net::now() + kFollowInterval);
  }
  std::atomic<net::Loop::Id> id{0};

 private:
  UpdateServer& updates_;
  net::Loop& loop_;
};

UpdateServer::UpdateServer(core::OfficeList& list, Zone zone, std::string service, std::string file)
    : list_(list),
      service_(std::move(service)),
      file_(std::move(file)),
      zone_(std::move(zone)),
      listener_(kMaxConnections,
                [this](net::Fd fd) { return std::make_shared<UpdateConnection>(*this, std::move(fd)); }) {
  const std::lock_guard hold(lock_);
  publish();
}

void UpdateServer::open(const net::Address& at) {
  listener_.open(at);
  const auto follower = std::make_shared<Follower>(*this, listener_.loop());
  follower->id = listener_.loop().add(follower);
  listener_.loop().wake(follower->id);  // its first event may have come before its id
}

void UpdateServer::yield() { listener_.yield(kMaxConnections); }

std::string UpdateServer::answer(std::string_view message) {
  const auto flags = static_cast<std::uint32_t>(net::big_endian(message, 2, 2));
  const std::uint32_t opcode = flags >> 11U & 15U;
  int code = kNotImp;
  if ((flags & 0x8000U) != 0) {
    code = kFormErr;         // a response, not a request
  } else if (opcode == 5) {  // UPDATE
    const std::lock_guard hold(lock_);
    code = update(message);
  }
  std::string out(message.substr(0, 2));
  const std::uint32_t answered = 0x8000U | opcode << 11U | static_cast<std::uint32_t>(code);
  out += static_cast<char>(answered >> 8U);
  out += static_cast<char>(answered);
  return out.append(8, '\0');  // the answer carries no sections
}

// Requires the lock. Another process may have changed the zone: its prerequisites are held against the
// file's.
int UpdateServer::update(std::string_view message) {
  const auto exclusive = file_.lock();
  if (!exclusive || !take_over()) return kServFail;
  Zone next = zone_;
  bool changed = false;
  const int code = apply_update(next, message, changed);
  if (!changed) return code;
  // RFC 2136, 3.5: an update must be stored before it is confirmed.
  if (!file_.store(next)) return kServFail;
  zone_ = std::move(next);
  publish();
  return code;
}

void UpdateServer::follow() {
  const std::lock_guard hold(lock_);
  take_over();
  remove_idle();
}

// Requires the lock. The core answers on its own thread, and the answer is used at a later call.
void UpdateServer::remove_idle() {
  const Time at = net::now();
  if (asked_) {
    const auto in_use = asked_->take();
    if (!in_use) return;
    asked_.reset();
    ask_at_ = at + kInUseInterval;
    return remove(leaving_.take_idle(*in_use, at));
  }
  if (leaving_.empty() || at < ask_at_) return;
  asked_ = std::make_shared<OfficesInUse>();
  list_.query_offices_in_use(
      [asked = asked_](std::set<ServerId> offices) { asked->give(std::move(offices)); });
}

// Requires the lock.
void UpdateServer::remove(const std::vector<ServerId>& endpoints) {
  std::vector<core::OfficeEntry> changes;
  for (const ServerId id : endpoints) {
    const auto found = published_.find(id);
    changes.push_back(std::move(found->second));
    changes.back().entry.state = ServerState::gone;
    published_.erase(found);
  }
  if (!changes.empty()) list_.update(core::Source::zone, false, std::move(changes));
}

// Requires the lock. False: the file cannot be read.
bool UpdateServer::take_over() {
  std::optional<Zone> read;
  const ZoneFile::Change change = file_.read(read);
  if (change == ZoneFile::Change::changed && read->text() != zone_.text()) {
    zone_ = std::move(*read);
    publish();
  }
  return change != ZoneFile::Change::unreadable;
}

// Requires the lock. A name that gets another address names another process, which is listed under an id of
// its own: the one at the old address drains, and keeps its calls.
ServerId UpdateServer::id_at_address(const core::OfficeEntry& endpoint) const {
  const ServerId id = endpoint.entry.server;
  const auto known = published_.find(id);
  if (known == published_.end() || known->second.address == endpoint.address) return id;
  return derived_id(base::office_name(id) + "@" + endpoint.address);
}

// Requires the lock. An endpoint that left the zone is never just omitted.
void UpdateServer::list_as_draining(core::OfficeEntry& endpoint, std::vector<core::OfficeEntry>& changes) {
  if (endpoint.entry.state == ServerState::draining) return;  // listed so before
  endpoint.entry.state = ServerState::draining;
  leaving_.left(endpoint.entry.server, net::now());
  changes.push_back(endpoint);
}

// Requires the lock.
void UpdateServer::publish() {
  std::vector<std::string> missing;
  std::vector<core::OfficeEntry> current = zone_.offices(service_, &missing);
  for (const std::string& target : missing)
    net::log_line("zone: " + target + " has no address and is left out");
  for (core::OfficeEntry& endpoint : current) endpoint.entry.server = id_at_address(endpoint);
  std::vector<core::OfficeEntry> changes = current;
  for (auto& [id, entry] : published_) {
    const bool found = std::any_of(current.begin(), current.end(),
                                   [id = id](const core::OfficeEntry& o) { return o.entry.server == id; });
    found ? leaving_.returned(id) : list_as_draining(entry, changes);
  }
  for (const core::OfficeEntry& office : changes) published_[office.entry.server] = office;
  list_.update(core::Source::zone, false, std::move(changes));
}

}  // namespace reeltack::dns
