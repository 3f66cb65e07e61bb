// The network between the controllers: see the header.
#include "standin/between/between.h"

#include <sys/resource.h>

#include <future>
#include <stdexcept>
#include <thread>

#include "standin/between/later.h"
#include "standin/between/relay.h"

namespace reeltack::standin {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kSpare = 512;  // descriptors beside the relays': connections, and the caller's own

void need_descriptors(std::size_t count) {
  rlimit files{};
  if (::getrlimit(RLIMIT_NOFILE, &files) != 0 || files.rlim_cur >= count) return;
  files.rlim_cur = std::min<rlim_t>(count, files.rlim_max);
  ::setrlimit(RLIMIT_NOFILE, &files);
}

}  // namespace

class Between::World {
 public:
  explicit World(BetweenSettings settings)
      : settings_(std::move(settings)),
        plan_(names(settings_), settings_.groups, settings_.schedule),
        later_(io_) {
    const std::size_t n = settings_.members.size();
    if (settings_.relays.port + n * n > 65'536) throw std::runtime_error("no room for the relays' ports");
    need_descriptors(2 * n * n + kSpare);
    for (const FaultPlan::Link& l : plan_.links({})) {
      const std::string& from = settings_.members[l.first].name;
      const std::string& to = settings_.members[l.second].name;
      links_.emplace(l, std::make_unique<LinkFaults>(settings_.seed, from, to));
    }
    for (const auto& [l, link] : links_)
      relays_.emplace(l, std::make_unique<Relay>(io_, later_, relay(l), settings_.members[l.second].at, *link,
                                                 *links_.at({l.second, l.first})));
    thread_ = std::thread([this] { io_.run(); });
  }
  ~World() {
    asio::post(io_, [this] { io_.stop(); });
    thread_.join();
  }
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  // Runs `what` on the relays' thread and hands back what it returned or threw.
  template <typename What>
  auto there(What what) {
    std::packaged_task<decltype(what())()> task(std::move(what));
    auto result = task.get_future();
    asio::post(io_, [&task] { task(); });
    return result.get();
  }
  [[nodiscard]] base::Address relay(const FaultPlan::Link& l) const {
    const std::size_t port = settings_.relays.port + l.first * settings_.members.size() + l.second;
    return {settings_.relays.host, static_cast<std::uint16_t>(port)};
  }
  [[nodiscard]] FaultPlan::Link link(const std::string& from, const std::string& to) const {
    if (from == to) throw std::invalid_argument("no link leads from '" + from + "' to itself");
    return {plan_.member(from), plan_.member(to)};
  }
  [[nodiscard]] const FaultPlan& plan() const { return plan_; }
  [[nodiscard]] const BetweenSettings& settings() const { return settings_; }
  [[nodiscard]] const LinkFaults& faults(const FaultPlan::Link& l) const { return *links_.at(l); }

  void begin() {
    if (begun_ != Time{}) throw std::logic_error("the schedule runs already");
    begun_ = Later::now();
    turn(Duration{});
  }
  void set(const std::vector<FaultPlan::Link>& on, const Fault& fault) {
    for (const FaultPlan::Link& l : on) by_hand_[l] = fault;
    apply();
  }
  void clear(const std::vector<FaultPlan::Link>& on) {
    for (const FaultPlan::Link& l : on) by_hand_.erase(l);
    apply();
  }
  void cut(const std::vector<FaultPlan::Link>& on) {
    for (const FaultPlan::Link& l : on) by_hand_[l].cut = true;
    apply();
  }
  void heal() {
    by_hand_.clear();
    apply();
  }
  void reset(const std::vector<FaultPlan::Link>& on) {
    for (const auto& [from, to] : on) {
      relays_.at({from, to})->reset();
      relays_.at({to, from})->reset();
    }
  }

 private:
  static std::vector<std::string> names(const BetweenSettings& settings) {
    std::vector<std::string> out;
    for (const BetweenMember& m : settings.members) out.push_back(m.name);
    return out;
  }
  void turn(Duration since) {
    scheduled_ = plan_.at(since);
    apply();
    const auto next = plan_.next(since);
    if (next) later_.at(begun_ + *next, [this, at = *next] { turn(at); });
  }
  void apply() {
    const Time now = Later::now();
    std::vector<FaultPlan::Link> changed;
    for (const auto& [l, link] : links_) {
      const auto s = scheduled_.find(l);
      const auto h = by_hand_.find(l);
      Fault all = s == scheduled_.end() ? Fault{} : s->second;
      if (h != by_hand_.end()) all = together(all, h->second);
      if (all == link->fault()) continue;
      link->set(now, all);
      changed.push_back(l);
    }
    // Only then the sockets: a relay looks at two links.
    for (const auto& [from, to] : changed) {
      relays_.at({from, to})->changed();
      relays_.at({to, from})->changed();
    }
  }

  const BetweenSettings settings_;
  const FaultPlan plan_;
  // Declared before all that it may hold a handler of, so that it goes last.
  asio::io_context io_{1};
  Later later_;
  std::map<FaultPlan::Link, std::unique_ptr<LinkFaults>> links_;
  std::map<FaultPlan::Link, std::unique_ptr<Relay>> relays_;
  std::map<FaultPlan::Link, Fault> scheduled_;
  std::map<FaultPlan::Link, Fault> by_hand_;
  Time begun_{};
  std::thread thread_;
};

Between::Between(BetweenSettings settings) : world_(std::make_unique<World>(std::move(settings))) {}
Between::~Between() = default;

base::Address Between::relay(const std::string& from, const std::string& to) const {
  return world_->relay(world_->link(from, to));
}
std::map<std::string, base::Address> Between::via(const std::string& from) const {
  std::map<std::string, base::Address> out;
  for (const BetweenMember& m : world_->settings().members) {
    if (m.name != from) out.emplace(m.name, relay(from, m.name));
  }
  return out;
}
std::string Between::via_yaml(const std::string& from) const {
  std::string out;
  for (const auto& [name, at] : via(from)) out += (out.empty() ? "" : ", ") + name + ": " + base::to_text(at);
  return "{" + out + "}";
}

void Between::begin() {
  world_->there([this] { world_->begin(); });
}
void Between::set(const LinkSet& links, const Fault& fault) {
  if (const std::string wrong = check_fault(fault); !wrong.empty()) throw std::invalid_argument(wrong);
  world_->there([this, on = world_->plan().links(links), &fault] { world_->set(on, fault); });
}
void Between::clear(const LinkSet& links) {
  world_->there([this, on = world_->plan().links(links)] { world_->clear(on); });
}
void Between::reset(const LinkSet& links) {
  world_->there([this, on = world_->plan().links(links)] { world_->reset(on); });
}
void Between::partition(const std::vector<std::string>& a, const std::vector<std::string>& b) {
  world_->there([this, on = world_->plan().links({a, b, true})] { world_->cut(on); });
}
void Between::heal() {
  world_->there([this] { world_->heal(); });
}

LinkCounts Between::counts(const std::string& from, const std::string& to) const {
  return world_->there([this, l = world_->link(from, to)] { return world_->faults(l).counts(); });
}
std::map<std::pair<std::string, std::string>, LinkCounts> Between::counts() const {
  return world_->there([this] {
    std::map<std::pair<std::string, std::string>, LinkCounts> out;
    const auto& members = world_->settings().members;
    for (const auto& l : world_->plan().links({}))
      out[{members[l.first].name, members[l.second].name}] = world_->faults(l).counts();
    return out;
  });
}
std::uint64_t Between::digest(const std::string& from, const std::string& to) const {
  return world_->there([this, l = world_->link(from, to)] { return world_->faults(l).digest(); });
}
void Between::check() const {
  world_->there([this] {
    for (const auto& l : world_->plan().links({})) world_->faults(l).check();
  });
}

}  // namespace reeltack::standin
