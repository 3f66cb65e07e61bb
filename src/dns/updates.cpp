#include "dns/updates.h"

#include <algorithm>

#include "base/replace_file.h"

namespace reeltack::dns {
namespace {

using namespace std::chrono_literals;

constexpr Duration kIdle = 30s;
constexpr auto kFirstReminder = 1min;  // of a file that still cannot be written
constexpr auto kLastReminder = 1h;
constexpr std::size_t kHeader = 12;
constexpr std::uint16_t kIn = 1;
constexpr std::uint16_t kNone = 254;
constexpr std::uint16_t kAnyClass = 255;

std::uint32_t get(std::string_view data, std::size_t at, std::size_t bytes) {
  return static_cast<std::uint32_t>(net::big_endian(data, at, bytes));
}
// Types that only a question may name (AXFR, MAILB, MAILA; ANY is treated apart).
bool question_only(std::uint16_t type) { return type >= 252 && type <= 254; }
bool served(std::uint16_t type) {
  return type == kA || type == kNs || type == kCname || type == kSoa || type == kTxt || type == kSrv;
}

struct Record {
  std::string name;
  std::uint16_t type = 0;
  std::uint16_t rr_class = 0;
  std::uint32_t ttl = 0;
  std::size_t length = 0;
  std::optional<std::string> data;  // nothing: malformed
};

std::optional<Record> read_record(std::string_view message, std::size_t& at) {
  Record out;
  const auto name = name_from_wire(message, at);
  if (!name || at + 10 > message.size()) return std::nullopt;
  out.name = *name;
  out.type = static_cast<std::uint16_t>(get(message, at, 2));
  out.rr_class = static_cast<std::uint16_t>(get(message, at + 2, 2));
  out.ttl = get(message, at + 4, 4);
  out.length = get(message, at + 8, 2);
  at += 10;
  if (at + out.length > message.size()) return std::nullopt;
  if (out.length > 0) out.data = data_from_wire(message, at, out.length, out.type);
  at += out.length;
  return out;
}

// RFC 2136, 3.2: what must hold before.
int check_prerequisites(const Zone& zone, const std::vector<Record>& records) {
  std::map<std::pair<std::string, std::uint16_t>, std::set<std::string>> wanted;
  for (const Record& r : records) {
    if (r.ttl != 0) return kFormErr;
    if (!within(r.name, zone.origin())) return kNotZone;
    if (r.rr_class == kIn) {
      if (!r.data) return kFormErr;
      wanted[{r.name, r.type}].insert(*r.data);
      continue;
    }
    if (r.length != 0 || (r.rr_class != kAnyClass && r.rr_class != kNone)) return kFormErr;
    const bool must_be = r.rr_class == kAnyClass;
    const bool is = r.type == kAny ? zone.has_name(r.name) : zone.find(r.name, r.type) != nullptr;
    if (is == must_be) continue;
    if (r.type == kAny) return must_be ? kNxDomain : kYxDomain;
    return must_be ? kNxRrset : kYxRrset;
  }
  for (const auto& [key, data] : wanted) {
    const RecordSet* set = zone.find(key.first, key.second);
    if (set == nullptr || set->data != data) return kNxRrset;
  }
  return kNoError;
}

// RFC 2136, 3.4.1: every update is looked at before the first is carried out.
int check_updates(const Zone& zone, const std::vector<Record>& records) {
  for (const Record& r : records) {
    if (!within(r.name, zone.origin())) return kNotZone;
    if (question_only(r.type)) return kFormErr;
    if (r.rr_class == kIn) {
      if (r.type == kAny || !r.data) return kFormErr;
      if (!served(r.type)) return kRefused;  // no office is made of it, and it could not be written back
    } else if (r.rr_class == kAnyClass) {
      if (r.ttl != 0 || r.length != 0) return kFormErr;
    } else if (r.rr_class == kNone) {
      if (r.ttl != 0 || r.type == kAny || !r.data) return kFormErr;
    } else {
      return kFormErr;
    }
  }
  return kNoError;
}

// RFC 2136, 3.4.2.
void carry_out(Zone& zone, const Record& r) {
  const bool apex = r.name == zone.origin();
  const auto kept = [&](std::uint16_t type) { return apex && (type == kSoa || type == kNs); };
  if (r.rr_class == kAnyClass) {
    if (r.type != kAny) {
      if (!kept(r.type)) zone.remove(r.name, r.type);
      return;
    }
    for (const std::uint16_t type : {kA, kNs, kCname, kTxt, kSrv}) {
      if (!kept(type)) zone.remove(r.name, type);
    }
    return;
  }
  if (r.rr_class == kNone) {
    const RecordSet* set = zone.find(r.name, r.type);
    const bool last_ns = apex && r.type == kNs && set != nullptr && set->data.size() == 1;
    if (r.type != kSoa && !last_ns) zone.remove(r.name, r.type, *r.data);
    return;
  }
  const bool alias = zone.find(r.name, kCname) != nullptr;
  if (r.type == kSoa) {
    if (!apex) return;
    const std::uint32_t serial = get(*r.data, r.data->size() - 20, 4);
    if (static_cast<std::int32_t>(serial - zone.serial()) <= 0) return;  // RFC 1982
  } else if (alias != (r.type == kCname) && zone.has_name(r.name)) {
    return;  // a CNAME stands alone
  }
  zone.add(r.name, r.type, r.ttl, *r.data);
}

}  // namespace

int apply_update(Zone& zone, std::string_view message, bool& changed) {
  changed = false;
  const std::uint32_t counts[] = {get(message, 4, 2), get(message, 6, 2), get(message, 8, 2)};
  std::size_t at = kHeader;
  if (counts[0] != 1) return kFormErr;
  const auto name = name_from_wire(message, at);
  if (!name || at + 4 > message.size() || get(message, at, 2) != kSoa) return kFormErr;
  const std::uint32_t zone_class = get(message, at + 2, 2);
  at += 4;
  std::vector<Record> sections[2];
  for (std::size_t s = 0; s < 2; ++s) {
    for (std::uint32_t i = 0; i < counts[s + 1]; ++i) {
      auto record = read_record(message, at);
      if (!record) return kFormErr;
      sections[s].push_back(std::move(*record));
    }
  }
  if (*name != zone.origin() || zone_class != kIn) return kNotAuth;
  if (const int code = check_prerequisites(zone, sections[0]); code != kNoError) return code;
  if (const int code = check_updates(zone, sections[1]); code != kNoError) return code;
  Zone next = zone;
  for (const Record& r : sections[1]) carry_out(next, r);
  if (next.text() == zone.text()) return kNoError;
  if (next.serial() == zone.serial()) next.raise_serial();
  zone = std::move(next);
  changed = true;
  return kNoError;
}

class UpdatePeer final : public net::Peer {
 public:
  UpdatePeer(Updates& updates, net::Fd fd) : net::Peer(std::move(fd), kIdle), updates_(updates) {}

 protected:
  Next received() override {
    for (;;) {
      const std::string_view held = buffer_.view();
      const std::size_t length = held.size() < 2 ? 0 : get(held, 0, 2);
      if (held.size() >= 2 && (length < kHeader || length > net::kMostMessage)) return Next::end;
      if (held.size() < 2 || held.size() < 2 + length) return Next::more;
      const std::string answer = updates_.answer(held.substr(2, length));
      buffer_.take(2 + length);
      whole();
      std::string out{static_cast<char>(answer.size() >> 8U), static_cast<char>(answer.size())};
      if (!push(out + answer)) return Next::end;
    }
  }
  Next quiet() override { return Next::end; }
  void left(const std::set<CallId>& /*open*/) override {}

 private:
  Updates& updates_;
};

Updates::Updates(core::OfficeList& list, Zone zone, std::string service, std::string file)
    : list_(list),
      service_(std::move(service)),
      file_(std::move(file)),
      outage_(kFirstReminder, kLastReminder),
      zone_(std::move(zone)),
      door_(16, [this](net::Fd fd) { return std::make_shared<UpdatePeer>(*this, std::move(fd)); }) {
  const std::lock_guard hold(lock_);
  tell();
}

std::string Updates::answer(std::string_view message) {
  const std::uint32_t flags = get(message, 2, 2);
  const std::uint32_t opcode = flags >> 11U & 15U;
  int code = kNotImp;
  if ((flags & 0x8000U) != 0) {
    code = kFormErr;  // an answer is no request
  } else if (opcode == 5) {
    const std::lock_guard hold(lock_);
    Zone next = zone_;
    bool changed = false;
    code = apply_update(next, message, changed);
    // RFC 2136, 3.5: what is confirmed must be kept first.
    if (changed && !keep(next)) {
      code = kServFail;
    } else if (changed) {
      zone_ = std::move(next);
      tell();
    }
  }
  std::string out(message.substr(0, 2));
  const std::uint32_t answered = 0x8000U | opcode << 11U | static_cast<std::uint32_t>(code);
  out += static_cast<char>(answered >> 8U);
  out += static_cast<char>(answered);
  return out.append(8, '\0');  // no section is carried back
}

// With the lock held. What the zone names no more is told as draining; it is never simply dropped.
void Updates::tell() {
  std::vector<std::string> missing;
  std::vector<core::OfficeEntry> now = zone_.offices(service_, &missing);
  for (const std::string& target : missing)
    net::log_line("zone: " + target + " has no address and is left out");
  std::vector<core::OfficeEntry> changes = now;
  for (auto& [id, entry] : told_) {
    const bool kept = std::any_of(now.begin(), now.end(),
                                  [id = id](const core::OfficeEntry& o) { return o.entry.server == id; });
    if (kept) continue;
    entry.entry.state = ServerState::draining;
    changes.push_back(entry);
  }
  for (const core::OfficeEntry& office : changes) told_[office.entry.server] = office;
  list_.told(core::Source::zone, false, std::move(changes));
}

// With the lock held. An outage is logged at its beginning, while it lasts, and at its end.
bool Updates::keep(const Zone& zone) {
  if (file_.empty()) return true;
  std::string why;
  const bool kept = base::replace_file(file_, zone.text(), why);
  const auto now = std::chrono::steady_clock::now();
  const auto lasted = [&] {
    return std::to_string(
               std::chrono::duration_cast<std::chrono::milliseconds>(outage_.lasted(now)).count()) +
           " ms, " + std::to_string(outage_.failures()) + " updates refused";
  };
  if (kept) {
    if (outage_.on()) net::log_line("zone: " + file_ + " is written again after " + lasted());
    outage_.ended();
    return true;
  }
  switch (outage_.failed(now)) {
    case base::Outage::Report::begun:
      net::log_line("zone: updates are refused, they cannot be kept: " + why);
      break;
    case base::Outage::Report::lasting:
      net::log_line("zone: updates are still refused for " + lasted() + ": " + why);
      break;
    case base::Outage::Report::nothing:
      break;
  }
  return false;
}

}  // namespace reeltack::dns
