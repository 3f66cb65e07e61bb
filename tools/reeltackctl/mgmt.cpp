// reeltackctl mgmt: the management address of a running program.
#include <iomanip>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>

#include "commands.h"
#include "mgmt/client.h"

namespace reeltack::ctl {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr Duration kDue = 1s;  // an answer is due by then, whatever the load
constexpr Duration kPause = 50ms;

struct Options {
  std::string address;
  double within_s = 0.0;
  double every_s = 0.1;
  double for_s = 10.0;
};

Duration span(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}
net::Address address(const Options& o) { return net::parse_address(o.address).value(); }  // checked

int ready(const Options& o, const Shared& shared) {
  const net::Address at = address(o);
  const Time from = net::now();
  const Time last = from + span(o.within_s);
  std::string why;
  bool yes = false;
  do {
    if (!why.empty()) net::pause_until(net::now() + kPause);
    try {
      const mgmt::Reply reply = mgmt::ask(at, "READY", net::now() + kDue);
      yes = reply.ok;
      why = reply.text.substr(0, reply.text.find('\n'));
    } catch (const mgmt::MgmtError& error) {
      why = error.what();
    }
  } while (!yes && net::now() < last && !stopped());
  if (shared.json)
    std::cout << json{{"ready", yes}, {"said", why}, {"after_ms", ms(net::now() - from)}}.dump() << "\n";
  else
    std::cout << why << " (after " << std::fixed << std::setprecision(1) << ms(net::now() - from) << " ms)\n";
  return yes ? kGood : kFailed;
}

int stats(const Options& o, const Shared& shared) {
  const mgmt::Reply reply = mgmt::ask(address(o), "STATS", net::now() + kDue);
  if (!reply.ok) throw mgmt::MgmtError("STATS: " + reply.text);
  const auto figures = mgmt::parse_figures(reply.text);
  if (shared.json) {
    std::cout << json(figures).dump() << "\n";
    return kGood;
  }
  for (const auto& [name, value] : figures)
    std::cout << std::left << std::setw(40) << name << std::right << std::setw(14) << value << "\n";
  return kGood;
}

int watch(const Options& o, const Shared& shared) {
  const net::Address at = address(o);
  const Time last = net::now() + span(o.for_s);
  const mgmt::Watch seen =
      mgmt::watch_figures(at, span(o.every_s), [last](Time planned) { return planned < last && !stopped(); });
  const json out = watch_json(seen);
  if (shared.json)
    std::cout << out.dump() << "\n";
  else
    std::cout << "answered " << out["answered"] << ", failed " << out["failed"] << ", later than 1 s "
              << out["late"] << "; ms at 50% " << out["p50_ms"] << ", at 99% " << out["p99_ms"] << ", most "
              << out["max_ms"] << "\n";
  return watch_result(seen);
}

}  // namespace

double ms(Duration d) { return std::chrono::duration<double, std::milli>(d).count(); }
json watch_json(const mgmt::Watch& seen) {
  return {{"answered", seen.answered()},
          {"failed", seen.failures().size()},
          {"late", seen.late(kDue)},
          {"p50_ms", ms(seen.percentile(0.5))},
          {"p99_ms", ms(seen.percentile(0.99))},
          {"max_ms", ms(seen.percentile(1.0))}};
}
int watch_result(const mgmt::Watch& seen) {
  if (!seen.failures().empty()) std::cerr << "first failure: " << seen.failures().front() << "\n";
  return seen.failures().empty() && seen.late(kDue) == 0 && seen.answered() > 0 ? kGood : kFailed;
}

void add_mgmt(CLI::App& app, Shared& shared) {
  auto o = std::make_shared<Options>();
  CLI::App* m = app.add_subcommand(
      "mgmt", "The management address of a running reeltack: ready, stats, watch, measure");
  m->require_subcommand(1);
  const auto add = [&](const char* name, const char* words, int (*what)(const Options&, const Shared&)) {
    CLI::App* c = m->add_subcommand(name, words);
    c->fallthrough();
    c->add_option("address", o->address, "HOST:PORT, as the configuration's mgmt or PROXY_MGMT")
        ->required()
        ->check(CLI::Validator(
            [](std::string& text) {
              return net::parse_address(text) ? std::string()
                                              : "'" + text + "' must be an address as 127.0.0.1:2906";
            },
            "HOST:PORT"));
    c->callback([o, what, &shared] { shared.result = what(*o, shared); });
    return c;
  };
  add("ready", "Exit 0 if the program takes clients, 1 if not", ready)
      ->add_option("--within", o->within_s, "Keep asking for so many seconds")
      ->check(CLI::Range(0.0, 3600.0));
  add("stats", "The figures, a line each", stats);
  add_measure(*m, shared);
  CLI::App* w =
      add("watch", "Ask for the figures again and again, and tell how long the answers took", watch);
  w->add_option("--every", o->every_s, "Seconds between two questions")
      ->capture_default_str()
      ->check(CLI::Range(0.01, 3600.0));
  w->add_option("--for", o->for_s, "Seconds in all")->capture_default_str()->check(CLI::Range(0.1, 86400.0));
}

}  // namespace reeltack::ctl
