// reeltackctl standin between: the network between controllers as a program of its own.
//
// Owns: the command's options and the form of the counts.
// Must never: decide what a fault does; src/standin does.
#include "standin/between/between.h"

#include <spdlog/spdlog.h>

#include <cstdio>
#include <iostream>
#include <memory>
#include <thread>

#include "commands.h"
#include "yaml/document.h"
#include "yaml/span.h"

namespace reeltack::ctl {
namespace {

using namespace std::chrono_literals;

struct Options {
  std::string file;
  std::string span;
  bool check = false;
  bool schema = false;
  bool via = false;
};

nlohmann::json as_json(const standin::LinkCounts& c) {
  return {{"datagrams", c.datagrams},
          {"bytes", c.bytes},
          {"passed", c.passed},
          {"dropped", c.dropped},
          {"cut", c.cut},
          {"overflowed", c.overflowed},
          {"delayed", c.delayed},
          {"duplicated", c.duplicated},
          {"reordered", c.reordered},
          {"corrupted", c.corrupted},
          {"stream_bytes", c.stream_bytes},
          {"connections", c.connections},
          {"resets", c.resets}};
}

void print(const standin::Between& between, bool json) {
  const auto counts = between.counts();
  if (json) {
    nlohmann::json all = nlohmann::json::array();
    for (const auto& [link, c] : counts) {
      nlohmann::json one = as_json(c);
      one["from"] = link.first;
      one["to"] = link.second;
      all.push_back(std::move(one));
    }
    std::cout << nlohmann::json{{"links", all}}.dump() << "\n";
    return;
  }
  std::printf("%-24s %9s %9s %8s %6s %8s %8s %8s %9s %8s %11s %6s %6s\n", "link", "datagrams", "passed",
              "dropped", "cut", "overflow", "delayed", "doubled", "reordered", "changed", "stream", "conns",
              "resets");
  for (const auto& [link, c] : counts) {
    const auto n = [](std::uint64_t value) { return static_cast<unsigned long long>(value); };
    std::printf("%-24s %9llu %9llu %8llu %6llu %8llu %8llu %8llu %9llu %8llu %11llu %6llu %6llu\n",
                (link.first + ">" + link.second).c_str(), n(c.datagrams), n(c.passed), n(c.dropped), n(c.cut),
                n(c.overflowed), n(c.delayed), n(c.duplicated), n(c.reordered), n(c.corrupted),
                n(c.stream_bytes), n(c.connections), n(c.resets));
  }
  std::fflush(stdout);
}

int between(const Options& o, const Shared& shared) {
  if (o.schema) {
    std::cout << standin::between_schema();
    return kGood;
  }
  if (o.file.empty()) throw CLI::RequiredError("FILE");
  standin::BetweenSettings settings = standin::read_between(o.file);
  if (o.check) {
    std::cout << o.file << ": good, " << settings.members.size() << " members, " << settings.schedule.size()
              << " faults\n";
    return kGood;
  }
  const Time until = o.span.empty() ? base::kNever : base::now() + yaml::parse_span(o.span);
  const auto members = settings.members;
  standin::Between relays(std::move(settings));
  if (o.via) {
    for (const auto& m : members) std::cout << m.name << ": " << relays.via_yaml(m.name) << "\n";
    std::cout << std::flush;
  }
  catch_stop();
  relays.begin();
  spdlog::info("{} members, {} relays are up", members.size(), members.size() * (members.size() - 1));
  while (!stopped() && base::now() < until) std::this_thread::sleep_for(50ms);
  print(relays, shared.json);
  return kGood;
}

}  // namespace

void add_between(CLI::App& standin, Shared& shared) {
  auto o = std::make_shared<Options>();
  CLI::App* b = standin.add_subcommand(
      "between", "The network between controllers, with its faults; ends with Ctrl-C and prints what passed");
  b->add_option("file", o->file, "FILE.yaml")->check(CLI::ExistingFile);
  b->add_flag("--check", o->check, "Read the file and end: 0 where it is good");
  b->add_flag("--schema", o->schema, "Print the schema of such files and end");
  b->add_flag("--via", o->via, "Print first, for each member, fleet.link.via of its file");
  b->add_option("--for", o->span, "End after this time");
  b->callback([o, &shared] { shared.result = between(*o, shared); });
}

}  // namespace reeltack::ctl
