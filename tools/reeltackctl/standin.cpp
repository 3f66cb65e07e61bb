// reeltackctl standin: the stand-in centrales as a program of their own.
#include <spdlog/spdlog.h>

#include <fstream>
#include <iostream>
#include <memory>
#include <thread>

#include "commands.h"
#include "load/scenario_file.h"
#include "standin/answerer.h"
#include "standin/centrale_log.h"
#include "standin/centrales.h"
#include "yaml/document.h"

namespace reeltack::ctl {
namespace {

using namespace std::chrono_literals;

struct Options {
  std::string file;
  std::string log;
  std::string span;
  bool known = false;
};

int centrales(const Options& o, const Shared& shared) {
  standin::CentralesSettings settings = standin::read_centrales(o.file);
  const std::size_t count = settings.centrales.size();
  std::string log = o.log;
  if (log.empty()) log = yaml::Document::read(o.file).value().value("log", "");
  standin::Centrales centrales(std::move(settings));
  if (o.known) std::cout << centrales.known_json() << std::endl;
  std::ofstream out;
  if (!log.empty()) {
    out.open(log, std::ios::trunc);
    if (!out) throw std::runtime_error(log + ": cannot be written");
  }
  catch_stop();
  spdlog::info("{} centrales are up", count);
  const Time until = o.span.empty() ? base::kNever : base::now() + load::parse_span(o.span);
  while (!stopped() && base::now() < until) {
    std::this_thread::sleep_for(100ms);
    for (const auto& event : centrales.take_log()) {
      if (out.is_open()) out << standin::as_json(event) << "\n";
    }
    if (out.is_open() && !out.flush()) throw std::runtime_error(log + ": could not be written whole");
  }
  for (const auto& event : centrales.take_log()) {
    if (out.is_open()) out << standin::as_json(event) << "\n";
  }
  const auto c = centrales.counts();
  if (shared.json) {
    std::cout << nlohmann::json{{"set_ups", c.set_ups}, {"stood", c.stood}, {"turned_away", c.turned_away},
                                {"no_line", c.no_line}, {"cut", c.cut},     {"repeats", c.repeats},
                                {"fallen", c.fallen}}
                     .dump()
              << "\n";
  } else {
    std::cout << c.set_ups << " set-ups, " << c.stood << " stood, " << c.turned_away << " turned away, "
              << c.no_line << " found no line, " << c.cut << " cut, " << c.fallen << " centrales fell over\n";
  }
  return kGood;
}

struct TargetOptions {
  std::string at = "127.0.0.1:5060";
  std::string wire = "sip";
  std::string span;
};

int target(const TargetOptions& o, const Shared& shared) {
  standin::AnswererSettings s;
  const auto at = base::parse_address(o.at);
  if (!at || at->host.rfind("127.", 0) != 0)
    throw CLI::ValidationError("--listen", "must be a loopback address, not '" + o.at + "'");
  s.at = *at;
  s.websocket = o.wire == "ws";
  const standin::Answerer answerer(s);
  catch_stop();
  spdlog::info("answering every set-up at once on {}:{}", o.wire, o.at);
  const Time until = o.span.empty() ? base::kNever : base::now() + load::parse_span(o.span);
  while (!stopped() && base::now() < until) std::this_thread::sleep_for(100ms);
  if (shared.json) {
    std::cout << nlohmann::json{{"set_ups", answerer.set_ups()},
                                {"given_up", answerer.given_up()},
                                {"released", answerer.released()}}
                     .dump()
              << "\n";
  } else {
    std::cout << answerer.set_ups() << " set-ups, " << answerer.given_up() << " given up, "
              << answerer.released() << " released\n";
  }
  return kGood;
}

}  // namespace

void add_standin(CLI::App& app, Shared& shared) {
  CLI::App* standin = app.add_subcommand("standin", "Stand-ins for what reeltack speaks to");
  standin->require_subcommand(1);
  auto o = std::make_shared<Options>();
  CLI::App* c = standin->add_subcommand(
      "centrales", "Centrales and their bulletin, with what goes wrong; ends with Ctrl-C");
  c->add_option("fleet", o->file, "FILE.yaml")->required()->check(CLI::ExistingFile);
  c->add_option("--centrale-log", o->log,
                "Every set-up and end, one JSON object a line (in place of the file's)");
  c->add_option("--for", o->span, "End after this time");
  c->add_flag("--known", o->known,
              "Print the list of centrales first, as a controller's configuration takes it");
  c->callback([o, &shared] { shared.result = centrales(*o, shared); });
  auto t = std::make_shared<TargetOptions>();
  CLI::App* a = standin->add_subcommand(
      "target", "A target that answers every set-up at once, to measure a generator by; ends with Ctrl-C");
  a->add_option("--listen", t->at, "HOST:PORT, on loopback")->capture_default_str();
  a->add_option("--wire", t->wire)->check(CLI::IsMember({"sip", "ws"}))->capture_default_str();
  a->add_option("--for", t->span, "End after this time");
  a->callback([t, &shared] { shared.result = target(*t, shared); });
  add_between(*standin, shared);
  CLI::App* s = standin->add_subcommand("schema", "Print the schema of fleets");
  s->callback([] { std::cout << standin::centrales_schema(); });
}

}  // namespace reeltack::ctl
