// The processes of a fleet: see the header.
#include "standin/between/pack.h"

#include <signal.h>
#include <sys/wait.h>
#include <yaml-cpp/yaml.h>

#include <filesystem>
#include <future>
#include <stdexcept>
#include <thread>

#include "base/asio.h"
#include "mgmt/client.h"

namespace reeltack::standin {
namespace {

namespace fs = std::filesystem;
using namespace std::chrono_literals;

constexpr Duration kAskEvery = 5ms;

}  // namespace

class Pack::World {
 public:
  struct Member {
    std::unique_ptr<Controller> controller;
    State state = State::down;
    std::string fleet;
  };
  explicit World(PackSettings settings) : settings_(std::move(settings)) {
    for (ControllerSetup& s : settings_.members) {
      if (!base::parse_address(s.mgmt)) throw std::invalid_argument(s.name + " has no management address");
      s.dies_with_its_thread = true;
      Member m;
      m.fleet = s.fleet;
      m.controller = std::make_unique<Controller>(s, false);
      fs::create_directories(s.dir + "/store");
      members_.push_back(std::move(m));
    }
  }
  ~World() {
    for (const Member& m : members_) {
      if (m.controller->pid() > 0) ::kill(m.controller->pid(), SIGKILL);  // its end is awaited by its own
    }
  }
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  [[nodiscard]] const PackSettings& settings() const { return settings_; }
  Member& at(std::size_t i) { return members_.at(i); }
  Member& held(std::size_t i, State a, State b, const char* what) {
    Member& m = members_.at(i);
    if (m.state != a && m.state != b)
      throw std::logic_error(settings_.members[i].name + " cannot be " + what + " in its state");
    return m;
  }
  void launch(std::size_t i) {
    Member& m = held(i, State::down, State::down, "started");
    std::packaged_task<void()> task([&m] { m.controller->launch(); });
    auto done = task.get_future();
    boost::asio::post(nursery_, [&task] { task(); });
    done.get();
    m.state = State::up;
  }
  void await_ready(std::size_t i) {
    Member& m = held(i, State::up, State::up, "awaited");
    const auto at = *base::parse_address(settings_.members[i].mgmt);
    const Time by = base::now() + settings_.ready_within;
    std::string last = "no answer";
    while (base::now() < by) {
      if (m.controller->ended()) {
        m.state = State::down;
        throw std::runtime_error(settings_.members[i].name + " did not start: " + m.controller->log());
      }
      try {
        const mgmt::Reply reply = mgmt::ask(at, "READY", by);
        if (reply.ok) return;
        last = reply.text;
      } catch (const mgmt::MgmtError& error) {
        last = error.what();
      }
      std::this_thread::sleep_for(kAskEvery);
    }
    kill(i);
    throw std::runtime_error(settings_.members[i].name + " is not ready in time: " + last);
  }
  void kill(std::size_t i) {
    Member& m = held(i, State::up, State::frozen, "killed");
    if (m.controller->pid() > 0) m.controller->end(SIGKILL);
    m.state = State::down;
  }
  void kill_all() {
    for (Member& m : members_) {
      if (m.state != State::down && m.controller->pid() > 0) ::kill(m.controller->pid(), SIGKILL);
    }
    for (std::size_t i = 0; i < members_.size(); ++i) {
      if (members_[i].state != State::down) kill(i);
    }
  }
  void freeze(std::size_t i) {
    Member& m = held(i, State::up, State::up, "frozen");
    const pid_t pid = m.controller->pid();
    m.controller->signal(SIGSTOP);
    siginfo_t seen{};
    // Only that it stopped is taken; its end is left for whoever asks for it.
    if (::waitid(P_PID, static_cast<id_t>(pid), &seen, WSTOPPED | WEXITED | WNOWAIT) != 0 ||
        seen.si_code != CLD_STOPPED)
      throw std::runtime_error(settings_.members[i].name + " could not be frozen: " + m.controller->log());
    m.state = State::frozen;
  }
  void thaw(std::size_t i) {
    Member& m = held(i, State::frozen, State::frozen, "thawed");
    m.controller->signal(SIGCONT);
    m.state = State::up;
  }
  void copy(const std::string& from, const std::string& to) {
    if (!fs::is_directory(from)) throw std::runtime_error(from + ": no such copy of a store");
    fs::remove_all(to);
    fs::copy(from, to, fs::copy_options::recursive | fs::copy_options::copy_symlinks);
  }
  [[nodiscard]] std::string store(std::size_t i) const { return settings_.members.at(i).dir + "/store"; }
  [[nodiscard]] std::string saved(std::size_t i, const std::string& tag) const {
    return settings_.members.at(i).dir + "/saved-" + tag;
  }

 private:
  PackSettings settings_;
  std::vector<Member> members_;
  boost::asio::thread_pool nursery_{1};  // the thread whose children all processes are
};

Pack::Pack(PackSettings settings) : world_(std::make_unique<World>(std::move(settings))) {}
Pack::~Pack() = default;

void Pack::start_all() {
  std::vector<std::size_t> fresh;
  for (std::size_t i = 0; i < size(); ++i) {
    if (state(i) != State::down) continue;
    world_->launch(i);
    fresh.push_back(i);
  }
  for (const std::size_t i : fresh) world_->await_ready(i);
}
void Pack::start(std::size_t i) {
  launch(i);
  await_ready(i);
}
void Pack::launch(std::size_t i) { world_->launch(i); }
void Pack::await_ready(std::size_t i) { world_->await_ready(i); }
void Pack::kill(std::size_t i) { world_->kill(i); }
void Pack::kill_all_at_once() { world_->kill_all(); }
void Pack::freeze(std::size_t i) { world_->freeze(i); }
void Pack::thaw(std::size_t i) { world_->thaw(i); }

bool Pack::terminate(std::size_t i) {
  World::Member& m = world_->held(i, State::up, State::up, "terminated");
  const pid_t pid = m.controller->pid();
  m.controller->signal(SIGTERM);
  siginfo_t seen{};
  const Time by = base::now() + world_->settings().ends_within;
  while (base::now() < by && seen.si_pid == 0) {
    if (::waitid(P_PID, static_cast<id_t>(pid), &seen, WEXITED | WNOHANG | WNOWAIT) != 0) break;
    if (seen.si_pid == 0) std::this_thread::sleep_for(kAskEvery);
  }
  kill(i);  // takes its end, too, where it has ended
  return seen.si_code == CLD_EXITED && seen.si_status == 0;
}

Pack::State Pack::state(std::size_t i) const { return world_->at(i).state; }
bool Pack::ended_by_itself(std::size_t i) {
  World::Member& m = world_->at(i);
  if (m.state != State::up || !m.controller->ended()) return false;
  m.state = State::down;
  return true;
}
std::size_t Pack::size() const { return world_->settings().members.size(); }
Controller& Pack::member(std::size_t i) { return *world_->at(i).controller; }
std::string Pack::dir(std::size_t i) const { return world_->settings().members.at(i).dir; }
std::string Pack::store(std::size_t i) const { return world_->store(i); }

void Pack::save_store(std::size_t i, const std::string& tag) {
  const bool running = state(i) == State::up;
  if (running) freeze(i);
  world_->copy(store(i), world_->saved(i, tag));
  if (running) thaw(i);
}
void Pack::restore_store(std::size_t i, const std::string& tag) {
  world_->held(i, State::down, State::down, "given a store");
  world_->copy(world_->saved(i, tag), store(i));
}
void Pack::empty_store(std::size_t i) {
  world_->held(i, State::down, State::down, "given a store");
  fs::remove_all(store(i));
  fs::create_directories(store(i));
}
void Pack::take_store_of(std::size_t i, std::size_t other) {
  world_->held(i, State::down, State::down, "given a store");
  world_->held(other, State::down, State::frozen, "copied");
  world_->copy(store(other), store(i));
}

void Pack::set_fleet(std::size_t i, const std::string& yaml) {
  World::Member& m = world_->at(i);
  if (m.fleet.empty()) throw std::logic_error("a controller without a fleet file reads none");
  m.fleet = yaml;
  m.controller->write_fleet(yaml);
}
void Pack::set_clock_offset(std::size_t i, Duration offset) {
  YAML::Node top = YAML::Load(world_->at(i).fleet);
  top["fleet"]["clock_offset_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(offset).count();
  set_fleet(i, YAML::Dump(top));
}

}  // namespace reeltack::standin
