// reeltackctl: the operators' tool.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <sys/prctl.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <exception>
#include <filesystem>

#include "commands.h"

namespace reeltack::ctl {
namespace {

std::atomic<bool> stop_asked{false};
bool progress_shown = false;

}  // namespace

const std::atomic<bool>& stopped() { return stop_asked; }
void catch_stop() {
  // The second one ends at once.
  const auto handler = [](int which) {
    if (stop_asked.exchange(true)) std::signal(which, SIG_DFL);
  };
  std::signal(SIGINT, handler);
  std::signal(SIGTERM, handler);
}

std::function<void(const load::Recorder&, Duration, std::size_t, std::size_t)> progress_line(Duration whole) {
  if (::isatty(2) == 0) return {};
  return [whole](const load::Recorder& r, Duration at, std::size_t open, std::size_t standing) {
    const auto s = [](Duration d) { return std::chrono::duration<double>(d).count(); };
    progress_shown = true;
    std::fprintf(
        stderr,
        "\r%5.1f of %.1f s  %llu calls  %zu open  %zu standing  p99 %.1f ms  lateness p99 %.0f us \033[K",
        std::min(s(at), s(whole)), s(whole), static_cast<unsigned long long>(r.all().started), open, standing,
        s(r.all().latency.percentile(0.99)) * 1e3, s(r.lateness().percentile(0.99)) * 1e6);
  };
}
void end_progress_line() {
  if (progress_shown) std::fprintf(stderr, "\r\033[K");
  progress_shown = false;
}

std::string own_folder() {
  std::error_code error;
  const auto self = std::filesystem::read_symlink("/proc/self/exe", error);
  return error ? "." : self.parent_path().string();
}

void set_up_log(const std::string& form) {
  auto sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
  auto log = std::make_shared<spdlog::logger>("reeltackctl", sink);
  // spdlog escapes nothing: what is logged as JSON here holds no quotes or control characters of others.
  log->set_pattern(
      form == "json" ? R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","text":"%v"})" : "%H:%M:%S %l %v",
      spdlog::pattern_time_type::utc);
  spdlog::set_default_logger(log);
}

}  // namespace reeltack::ctl

int main(int argc, char** argv) {  // NOLINT(bugprone-exception-escape): before the try, memory alone
  using namespace reeltack;
  CLI::App app{"reeltackctl: loads, watches and configures reeltack"};
  app.set_version_flag("--version", "reeltackctl " REELTACK_VERSION);
  app.require_subcommand(1);
  app.fallthrough();
  ctl::Shared shared;
  app.add_flag("--json", shared.json, "Results as JSON on standard output");
  app.add_option("--log", shared.log, "Form of the log on standard error")
      ->check(CLI::IsMember({"text", "json"}));
  app.parse_complete_callback([&shared] { ctl::set_up_log(shared.log); });
  ctl::add_load(app, shared);
  ctl::add_standin(app, shared);
  ctl::add_demo(app, shared);
  ctl::add_trunk(app, shared);
  ctl::add_mgmt(app, shared);
  std::signal(SIGPIPE, SIG_IGN);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? ctl::kGood : ctl::kUsage;
  } catch (const std::exception& error) {
    ctl::end_progress_line();
    std::fprintf(stderr, "reeltackctl: %s\n", error.what());
    return ctl::kFailed;
  }
  return shared.result;
}
