#include "platform/offices.h"

#include <algorithm>
#include <atomic>
#include <list>

#include "base/json.h"

namespace reeltack::platform {

using core::OfficeEntry;
using core::SetUp;
using net::Json;

// A report with a figure out of range is worth nothing: none of it is used.
LoadReport read_report(std::string_view text) {
  constexpr double kMost = 1.0e7;
  LoadReport out;
  bool sound = true;
  net::each_figure(text, [&out, &sound](std::string_view name, double value) {
    sound = sound && value >= -1.0 && value <= kMost;
    if (name == "x0" || name == "free") out.free_lines = value;
    if (name == "x1" || name == "size") out.lines = value;
    if (name == "latency_ms" || name == "recent_ms") out.wait_ms = value;
    if (name == "eps" || name == "hold_back") out.hold_back = value;
  });
  if (!sound || (out.lines >= 0.0 && out.free_lines > out.lines)) return {};
  return out;
}

namespace {

using namespace std::chrono_literals;

// Lines change all the time while calls stand, and the office tells: after so long without a word a new
// connection is tried.
constexpr Duration kQuiet = 2500ms;
// A set-up that left and not a word since: an open connection can be as dead as the machine behind it.
constexpr Duration kUnheard = 1s;
constexpr Duration kLook = 250ms;  // so often it is looked at
// Without a word and without a new connection for so long, the machine is gone and its calls with it. Their
// callers must hear within 8 s.
constexpr Duration kLost = 5500ms;

std::string finish_line(CallId call) {
  return R"({"verb":"FINISH","tag":")" + net::hex16(static_cast<std::uint64_t>(call)) +
         "\",\"opts\":{},\"rc\":" + std::to_string(core::kNormalClearing) + "}\n";
}

}  // namespace

// One office: a thread that dials and reads, and for each connection a writer.
class OfficeLink {
 public:
  OfficeLink(core::Core& core, ServerId id, Duration dial_limit)
      : core_(core), id_(id), dial_limit_(dial_limit) {}
  ~OfficeLink() { stop(); }

  // False, with a line in the log, where no thread can be had now (the machine is out of them): the office
  // stays listed without a link, its set-ups are not sent, and the next set-up for it tries again.
  bool begin() {
    const std::lock_guard hold(begin_lock_);
    if (begun_) return true;
    std::string why;
    begun_ = thread_.start(
        [this] {
          run();
          ended_ = true;
        },
        why);
    if (!begun_) net::log_line("office " + net::office_name(id_) + ": " + why);
    return begun_;
  }
  // Its office is gone and its thread done: it may be freed, by another thread, without a wait.
  [[nodiscard]] bool ended() const { return ended_; }
  void stop() {
    {
      const std::lock_guard hold(lock_);
      stopping_ = true;
      if (outbox_) outbox_->abandon();
      fd_.shut();
      changed_.notify_all();
    }
    thread_.join();
  }

  // False: this link is for an office that has gone, and a new one is needed.
  bool listed(const OfficeEntry& office) {
    const std::lock_guard hold(lock_);
    const auto address = net::parse_address(office.address);
    const bool restarted = office.entry.started_at > started_at_ && started_at_ != Time::min();
    started_at_ = office.entry.started_at;
    if (restarted) dead_ = false;
    if (gone_ && office.entry.state != ServerState::gone) return false;  // its thread is on its way out
    ready_ = office.entry.state == ServerState::ready;
    gone_ = office.entry.state == ServerState::gone;
    // Guards against speaking to a dead process, or to one that has taken over the address.
    if (gone_ || restarted || (address && net::to_text(*address) != net::to_text(address_))) fd_.shut();
    if (address) address_ = *address;
    retry_at_ = {};
    changed_.notify_all();
    return true;
  }

  bool start(const SetUp& set_up, std::string line) {  // false: the office has gone
    const std::lock_guard hold(lock_);
    if (gone_) return false;
    const std::uint64_t tag = ++tags_;
    open_[set_up.call] = {set_up.attempt, tag, set_up.give_up, false, std::move(line)};
    if (outbox_) {
      queue(set_up.call, open_[set_up.call]);
    } else {
      changed_.notify_all();  // dial for it, at once
    }
    return true;
  }

  void give_up(CallId call, std::uint32_t attempt) {
    const std::lock_guard hold(lock_);
    const auto found = open_.find(call);
    if (found == open_.end() || found->second.attempt != attempt) return;
    const Open open = found->second;
    open_.erase(found);
    if (!outbox_) return;
    if (outbox_->withdraw(open.tag)) return;
    // A peer that does not read would get this too late: closing gives up what is open there at once.
    if (outbox_->behind() || !outbox_->push(finish_line(call))) fd_.shut();
  }

  void release(CallId call) {
    const std::lock_guard hold(lock_);
    if (gone_) return;  // with the office went its calls
    if (!outbox_ || !outbox_->push(finish_line(call))) owed_.push_back(finish_line(call));
    changed_.notify_all();
  }

  void keep(bool calls_stand) {
    const std::lock_guard hold(lock_);
    calls_stand_ = calls_stand;
    changed_.notify_all();
  }

 private:
  struct Open {
    std::uint32_t attempt = 0;
    std::uint64_t tag = 0;
    Time give_up{};
    bool left = false;
    std::string line;
  };

  // With the lock held.
  void queue(CallId call, Open& open) {
    const std::uint32_t attempt = open.attempt;
    // The line is kept: where the connection breaks before it has left, it goes on the next one.
    const bool queued =
        outbox_->push(open.line, open.tag, [this, call, attempt] { return may_leave(call, attempt); });
    if (!queued) fd_.shut();  // the reader reports what was open
  }

  // The first byte counts for drains, so all is checked again as the set-up leaves the queue.
  bool may_leave(CallId call, std::uint32_t attempt) {
    {
      const std::lock_guard hold(lock_);
      const auto found = open_.find(call);
      if (found == open_.end() || found->second.attempt != attempt) return false;
      if (ready_ && net::now() < found->second.give_up) {
        if (!waits_) waits_ = net::now();
        return found->second.left = true;
      }
      open_.erase(found);
    }
    core_.send_failed(call, attempt, Ending::not_sent);
    return false;
  }

  void run() {
    for (;;) {
      net::Address to;
      {
        std::unique_lock hold(lock_);
        const auto wanted = [this] {
          if (stopping_ || gone_ || !open_.empty()) return true;
          return !gone_ && !dead_ && (ready_ || calls_stand_ || !owed_.empty()) && net::now() >= retry_at_;
        };
        while (!wanted()) {
          const auto at =
              std::chrono::time_point<std::chrono::system_clock, Duration>(retry_at_.time_since_epoch());
          if (net::now() < retry_at_) {
            changed_.wait_until(hold, at);
          } else {
            changed_.wait(hold);
          }
        }
        if (stopping_ || (gone_ && open_.empty())) return;
        to = address_;
        if (gone_) to.port = 0;  // another process may have the address now
      }
      if (to.port == 0) {
        failed(net::Dial::failed);
        continue;
      }
      net::Dialled dialled{std::move(spare_), net::Dial::up};  // of a connection that had gone quiet
      if (!dialled.fd) dialled = net::dial(to, net::now() + dial_limit_);
      if (dialled.how == net::Dial::up) {
        serve(std::move(dialled.fd), to);
        continue;
      }
      failed(dialled.how);
    }
  }

  void failed(net::Dial how) {
    std::map<CallId, Open> lost;
    bool died = false;
    {
      const std::lock_guard hold(lock_);
      lost.swap(open_);
      // A refused connection after one that stood: the process has died, and its calls with it.
      died = how == net::Dial::refused && was_up_;
      if (died) was_up_ = false;
      // Another process may take over the address: no dialling for nothing until this one is told as started.
      dead_ = dead_ || died;
      retry_at_ = net::now() + std::chrono::milliseconds(250);
    }
    if (died) {
      net::log_line("office " + net::office_name(id_) + " refuses connections: its calls are cut");
      core_.office_died(id_);
    }
    for (const auto& [call, open] : lost) core_.send_failed(call, open.attempt, Ending::connect_failed);
  }

  void serve(net::Fd fd, const net::Address& to) {
    net::Outbox outbox;
    {
      const std::lock_guard hold(lock_);
      // Told while it was dialled: the office is gone or elsewhere, and who answers here may be another.
      if (stopping_ || gone_ || net::to_text(to) != net::to_text(address_)) return;
      fd_ = std::move(fd);
      outbox_ = &outbox;
      waits_.reset();
      was_up_ = true;
      dead_ = false;
      for (std::string& line : owed_) outbox.push(std::move(line));
      owed_.clear();
      for (auto& [call, open] : open_) queue(call, open);
    }
    std::string why;
    net::Thread writer;
    const bool written = writer.start([this, &outbox] { outbox.write_to(fd_); }, why);
    if (written)
      read_lines();  // else what is open here never left, and goes on a later connection
    else
      net::log_line("office " + net::office_name(id_) + ": " + why);
    outbox.abandon();
    fd_.shut();
    writer.join();
    std::map<CallId, Open> lost;
    {
      const std::lock_guard hold(lock_);
      outbox_ = nullptr;
      fd_.reset();
      // What has not left never ran, and goes on the next connection while its time lasts.
      for (auto at = open_.begin(); at != open_.end();) {
        const auto next = std::next(at);
        if (at->second.left || !ready_ || stopping_) lost.insert(open_.extract(at));
        at = next;
      }
      retry_at_ = net::now() + std::chrono::milliseconds(written ? 20 : 250);
    }
    for (const auto& [call, open] : lost)
      core_.send_failed(call, open.attempt, open.left ? Ending::reset : Ending::not_sent);
  }

  void read_lines() {
    net::Buffer buffer;
    Time heard = net::now();
    for (;;) {
      const std::string_view held = buffer.view();
      const std::size_t end = held.find('\n');
      if (end == std::string_view::npos) {
        if (buffer.full()) return;
        const net::Got got = buffer.fill(fd_, net::now() + kLook);
        if (got == net::Got::closed || (got == net::Got::late && !still_there(heard))) return;
        if (got == net::Got::data) {
          heard = net::now();
          const std::lock_guard hold(lock_);
          waits_.reset();
        }
        continue;
      }
      // After spoilt bytes nothing on this connection can be trusted: all that is open on it broke.
      try {
        read_line(Json::parse(held.substr(0, end)));
      } catch (const std::runtime_error& error) {
        net::log_line("office " + net::office_name(id_) + " closed: " + error.what());
        return;
      }
      buffer.take(end + 1);
    }
  }

  // A quiet connection stays open for ever, whether it alone is cut off or the machine has vanished. Where
  // calls stand there or a set-up waits, a new one shows: it comes up and takes the place of the old, with
  // the releases that the old one never brought, or the calls are over.
  bool still_there(Time heard) {
    net::Address to;
    {
      const std::lock_guard hold(lock_);
      const Time at = net::now();
      const bool unheard = waits_ && at >= *waits_ + kUnheard;
      const bool quiet = calls_stand_ && at >= heard + kQuiet;
      if (!unheard && !quiet) return true;
      to = address_;
    }
    net::Dialled fresh = net::dial(to, net::now() + dial_limit_);
    if (fresh.how == net::Dial::up) {
      spare_ = std::move(fresh.fd);
      return false;
    }
    if (fresh.how == net::Dial::refused) return false;
    if (net::now() < heard + kLost) return true;
    net::log_line("office " + net::office_name(id_) + " is silent and out of reach: its calls are cut");
    {
      const std::lock_guard hold(lock_);
      was_up_ = false;
      dead_ = true;
    }
    core_.office_died(id_);
    return false;
  }

  void read_line(const Json& line) {
    const auto text = [&line](const char* key) {
      const Json* field = line.find(key);
      const std::string* s = field == nullptr ? nullptr : field->string();
      return s == nullptr ? std::string() : *s;
    };
    const auto spoilt = [](const char* what) { throw net::JsonError(std::string("a line with ") + what); };
    const std::string verb = text("verb");
    const auto tag = net::parse_hex16(text("tag"));
    const Json* opts = line.find("opts");
    const auto opt = [opts](const char* key) {
      const Json* field = opts == nullptr ? nullptr : opts->find(key);
      return field == nullptr ? std::string() : field->plain().value_or("");
    };
    const LoadReport report = read_report(opt("load"));
    if (verb == "LOAD") return core_.reported(id_, report);
    if (verb == "PENDING" || verb == "FINISHED" || verb == "ECHOED") return;
    if (!tag) return spoilt("no tag");
    const CallId call{*tag};
    if (verb == "STARTED") {
      const Json* blob = line.find("blob");
      if (blob == nullptr || blob->string() == nullptr) return spoilt("an answer without a description");
      over(call);
      if (report.free_lines >= 0.0) core_.reported(id_, report);
      core_.answered(id_, call, text("blob"));
    } else if (verb == "FINISH") {
      const Json* rc = line.find("rc");
      const auto cause = rc == nullptr ? std::nullopt : rc->numeric();
      if (!cause || *cause < 0.0 || *cause > 127.0) return spoilt("no cause");
      over(call);
      core_.ended({id_, call, static_cast<int>(*cause), opt("note"), report});
    } else {
      spoilt("an unknown verb");
    }
  }

  void over(CallId call) {
    const std::lock_guard hold(lock_);
    open_.erase(call);
  }

  core::Core& core_;
  const ServerId id_;
  const Duration dial_limit_;
  std::mutex lock_;
  std::condition_variable changed_;
  net::Address address_;
  Time started_at_ = Time::min();
  Time retry_at_{};
  bool ready_ = false;
  bool gone_ = false;  // for good: what comes back under the id gets a new link
  std::atomic<bool> ended_{false};
  std::mutex begin_lock_;  // begin() comes from the list's thread and the core's
  bool begun_ = false;
  bool stopping_ = false;
  bool calls_stand_ = false;
  bool was_up_ = false;
  bool dead_ = false;          // it died, and nothing has told of a new start
  std::optional<Time> waits_;  // since when a set-up that left has heard nothing on this connection
  std::uint64_t tags_ = 0;
  std::map<CallId, Open> open_;
  std::vector<std::string> owed_;  // releases for the next connection
  net::Fd fd_;
  net::Fd spare_;  // of the link's own thread
  net::Outbox* outbox_ = nullptr;
  net::Thread thread_;
};

Offices::Offices(core::Core& core, std::vector<std::string> class_names, Duration dial_limit)
    : core_(core), class_names_(std::move(class_names)), dial_limit_(dial_limit) {}
Offices::~Offices() = default;

std::shared_ptr<OfficeLink> Offices::link(ServerId office) {
  const std::lock_guard hold(lock_);
  const auto found = links_.find(office);
  return found == links_.end() ? nullptr : found->second;
}

void Offices::listed(bool complete, const std::vector<OfficeEntry>& offices) {
  {
    const std::lock_guard hold(lock_);
    for (const OfficeEntry& office : offices) {
      const auto found = links_.find(office.entry.server);
      if (found != links_.end()) {
        if (found->second->listed(office)) continue;
        leaving_.push_back(std::move(found->second));
        links_.erase(found);
      }
      if (office.entry.state == ServerState::gone) continue;
      auto& link = links_[office.entry.server];
      link = std::make_shared<OfficeLink>(core_, office.entry.server, dial_limit_);
      link->listed(office);
      static_cast<void>(link->begin());  // where it fails, the first set-up for the office tries again
    }
    for (auto& [id, link] : links_) {
      const bool kept =
          !complete || std::any_of(offices.begin(), offices.end(),
                                   [id = id](const OfficeEntry& o) { return o.entry.server == id; });
      if (!kept) link->listed({{.server = id, .state = ServerState::gone}, ""});
    }
  }
  sweep();
}

// Frees the links of gone offices whose threads are done. Called from any thread but theirs.
void Offices::sweep() {
  std::vector<std::shared_ptr<OfficeLink>> ended;
  {
    const std::lock_guard hold(lock_);
    for (auto at = links_.begin(); at != links_.end();) {
      const auto next = std::next(at);
      if (at->second->ended()) {
        ended.push_back(std::move(at->second));
        links_.erase(at);
      }
      at = next;
    }
    std::erase_if(leaving_, [&ended](auto& link) {
      if (!link->ended()) return false;
      ended.push_back(std::move(link));
      return true;
    });
  }
}

void Offices::start(const SetUp& set_up) {
  sweep();
  const auto to = link(set_up.office);
  if (!to || !to->begin()) return core_.send_failed(set_up.call, set_up.attempt, Ending::not_sent);
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(set_up.give_up - net::now()).count();
  const std::string name = set_up.call_class < class_names_.size() ? class_names_[set_up.call_class] : "";
  const std::string line = R"({"verb":"START","tag":")" +
                           net::hex16(static_cast<std::uint64_t>(set_up.call)) + R"(","opts":{"class":)" +
                           net::quoted(name) + R"(,"key":")" +
                           net::hex16(static_cast<std::uint64_t>(set_up.number)) + R"(","left":")" +
                           std::to_string(std::max<std::int64_t>(left, 1)) + R"("},"blob":)" +
                           net::quoted(set_up.description) + "}\n";
  if (!to->start(set_up, line)) core_.send_failed(set_up.call, set_up.attempt, Ending::not_sent);
}
void Offices::give_up(ServerId office, CallId call, std::uint32_t attempt) {
  if (const auto to = link(office)) to->give_up(call, attempt);
}
void Offices::release(ServerId office, CallId call) {
  if (const auto to = link(office)) to->release(call);
}
void Offices::keep(ServerId office, bool calls_stand) {
  if (const auto to = link(office)) to->keep(calls_stand);
}

}  // namespace reeltack::platform
