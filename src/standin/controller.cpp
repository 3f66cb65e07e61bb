#include "standin/controller.h"

#include <fcntl.h>
#include <sched.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "base/json.h"

extern char** environ;  // NOLINT: POSIX wants it declared by its user

namespace reeltack::standin {
namespace {

using namespace std::chrono_literals;

std::string ns(Duration d) { return std::to_string(d.count()); }

void write(const std::string& path, const std::string& text) {
  std::ofstream out(path, std::ios::trunc);
  if (!(out << text) || !out.flush()) throw std::runtime_error(path + ": cannot be written");
}

std::string read(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

std::string config(const ControllerSetup& s) {
  std::string classes;
  for (const ControllerClass& c : s.classes)
    classes += std::string(classes.empty() ? "" : ",") + R"({"Name":)" + base::quoted(c.name) +
               ",\"GoalTimeNs\":" + ns(c.aim) + ",\"DeadlineNs\":" + ns(c.deadline) +
               ",\"Points\":" + std::to_string(c.worth) + ",\"LateValue\":" + std::to_string(c.late_worth) +
               R"(,"Effect":"repeatable"})";
  return R"({"name":)" + base::quoted(s.name) + R"(,"listen":")" + base::to_text(s.sip) + "\"," +
         (s.mgmt.empty() ? std::string() : R"("mgmt":")" + s.mgmt + "\",") +
         (s.bulletin.empty() ? std::string() : R"("bulletin":")" + s.bulletin + "\",") +
         R"("seed":"0000000000000007","limits":{"cores":1.0,"memory_mb":)" + std::to_string(s.memory_mb) +
         ",\"sockets\":" + std::to_string(s.sockets) + "}," +
         (s.known.empty() ? std::string() : "\"known\":" + s.known + ",") + R"("settings":{"Balancers":)" +
         std::to_string(s.gateways) + R"(,"Classes":[)" + classes +
         R"(],"Domain":{"Shape":"pools","ReleaseGuardNs":300000000},"Obligations":{"ColdFrom":)" +
         std::to_string(s.cold_from) + ",\"RampTimeNs\":" + ns(s.ramp) +
         ",\"FallMultiple\":" + std::to_string(s.fall_multiple) +
         R"(,"FallNs":1000000000},"PolicyLimits":{"AttemptsCap":)" + std::to_string(s.attempts) +
         R"(,"Cancel":true,"RetryAfter":true,"MaxRetryAfterNs":2000000000,"DialTimeoutNs":500000000},"TickNs":5000000}})";
}

}  // namespace

std::string own_host(int last) {
  const int pid = ::getpid();
  return "127." + std::to_string(170 + (pid >> 8 & 63)) + "." + std::to_string(pid & 255) + "." +
         std::to_string(last & 255);
}

Controller::Controller(ControllerSetup setup, bool up) : setup_(std::move(setup)) {
  std::filesystem::create_directories(setup_.dir);
  write(setup_.dir + "/config.json", config(setup_));
  std::string fronts;
  const auto add = [&fronts](const std::string& part) { fronts += (fronts.empty() ? "" : ",") + part; };
  if (!setup_.websocket.empty())
    add(R"("websocket":{"on":true,"listen":")" + setup_.websocket + R"(","connections":)" +
        std::to_string(setup_.websocket_connections) + "}");
  if (!setup_.trunks.empty()) {
    write(setup_.dir + "/trunks.yaml", setup_.trunks);
    add(R"("trunks":{"on":true,"file":)" + base::quoted(setup_.dir + "/trunks.yaml") + "}");
  }
  if (!setup_.fleet.empty()) {
    write_fleet(setup_.fleet);
    add(R"("fleet":{"on":true,"file":)" + base::quoted(setup_.dir + "/fleet.yaml") + "}");
  }
  if (setup_.admin) add(R"("admin":{"on":true,"socket":)" + base::quoted(admin_socket()) + "}");
  write(setup_.dir + "/fronts.json", "{" + fronts + "}\n");
  if (up) start();
}

Controller::~Controller() {
  if (pid_ > 0) {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
  std::error_code ignored;
  if (!setup_.keep_dir) std::filesystem::remove_all(setup_.dir, ignored);
}

void Controller::write_fleet(const std::string& yaml) { write(setup_.dir + "/fleet.yaml", yaml); }

void Controller::launch() {
  if (pid_ > 0) throw std::logic_error(setup_.name + " runs already");
  const std::string log_file = setup_.dir + "/log";
  const int out = ::open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (out < 0) throw std::runtime_error(log_file + ": cannot be written");
  std::vector<std::string> words{setup_.binary, setup_.dir + "/fronts.json"};
  words.insert(words.end(), setup_.arguments.begin(), setup_.arguments.end());
  std::vector<char*> arguments;
  arguments.reserve(words.size() + 1);
  for (std::string& w : words) arguments.push_back(w.data());
  arguments.push_back(nullptr);
  // Between fork and exec of a process with threads only what is safe in a signal handler may be called.
  std::vector<std::string> variables{"PROXY_CONFIG=" + setup_.dir + "/config.json"};
  for (char** v = environ; *v != nullptr; ++v) {
    if (std::string_view(*v).rfind("PROXY_", 0) != 0) variables.emplace_back(*v);
  }
  std::vector<char*> environment;
  environment.reserve(variables.size() + 1);
  for (std::string& v : variables) environment.push_back(v.data());
  environment.push_back(nullptr);
  const pid_t self = ::getpid();
  pid_ = ::fork();
  if (pid_ == 0) {
    if (setup_.dies_with_its_thread) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != self) ::_exit(127);  // it died before that
    }
    ::dup2(out, 2);
    // The stand-ins' sockets must not live on in the controller: their end would never be seen.
    ::close_range(3, ~0U, 0);
    rlimit files{};
    if (::getrlimit(RLIMIT_NOFILE, &files) == 0) {
      files.rlim_cur =
          std::min<rlim_t>(std::max<rlim_t>(files.rlim_cur, setup_.sockets + 64), files.rlim_max);
      ::setrlimit(RLIMIT_NOFILE, &files);
    }
    if (setup_.cpu >= 0) {
      cpu_set_t one;
      CPU_ZERO(&one);
      CPU_SET(static_cast<std::size_t>(setup_.cpu), &one);
      ::sched_setaffinity(0, sizeof one, &one);
    }
    ::execve(arguments[0], arguments.data(), environment.data());
    ::_exit(127);
  }
  ::close(out);
  if (pid_ < 0) throw std::runtime_error("no process for the controller");
}

bool Controller::ended() {
  if (pid_ <= 0 || ::waitpid(pid_, nullptr, WNOHANG) != pid_) return false;
  pid_ = -1;
  return true;
}

void Controller::start() {
  const std::size_t before = log().size();
  launch();
  const Time limit = base::now() + 10s;
  while (log().find("is up with", before) == std::string::npos) {
    if (ended()) throw std::runtime_error(setup_.binary + " did not start: " + log().substr(before));
    if (base::now() > limit) {
      end(SIGKILL);
      throw std::runtime_error(setup_.binary + " is not up within 10 s: " + log().substr(before));
    }
    std::this_thread::sleep_for(5ms);
  }
}

void Controller::signal(int number) const {
  if (pid_ <= 0) throw std::logic_error(setup_.name + " does not run: no process to signal");
  ::kill(pid_, number);
}

void Controller::end(int signal) {
  this->signal(signal);
  ::waitpid(pid_, nullptr, 0);
  pid_ = -1;
}

void Controller::restart(bool orderly, Duration pause) {
  if (pid_ > 0) end(orderly ? SIGTERM : SIGKILL);
  std::this_thread::sleep_for(pause);
  start();
}

namespace {
bool end_in_order(pid_t pid) {
  ::kill(pid, SIGTERM);
  int status = -1;
  ::waitpid(pid, &status, 0);
  return WIFEXITED(status) && WEXITSTATUS(status) == 0;
}
}  // namespace

bool Controller::replace() {
  const pid_t old = std::exchange(pid_, -1);
  try {
    start();
  } catch (const std::exception&) {
    if (old > 0) end_in_order(old);
    throw;
  }
  return old <= 0 || end_in_order(old);
}

bool Controller::stop() { return pid_ <= 0 || end_in_order(std::exchange(pid_, -1)); }

Controller::Use Controller::use() const {
  Use out;
  if (pid_ <= 0) return out;
  // Nanoseconds of all its threads, those that have ended too; /proc tells hundredths of a second.
  clockid_t clock{};
  timespec used{};
  if (::clock_getcpuclockid(pid_, &clock) == 0 && ::clock_gettime(clock, &used) == 0)
    out.cpu_seconds = static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) * 1e-9;
  std::string word;
  std::istringstream status(read("/proc/" + std::to_string(pid_) + "/status"));
  while (status >> word) {
    double value = 0.0;
    if (word == "VmRSS:" && status >> value) out.resident_mb = value / 1024.0;
    if (word == "Threads:" && status >> value) out.threads = static_cast<int>(value);
  }
  return out;
}

std::string Controller::log() const { return read(setup_.dir + "/log"); }

}  // namespace reeltack::standin
