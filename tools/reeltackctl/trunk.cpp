// reeltackctl trunk: trunk groups of a running program, over its operators' socket.
#include <iomanip>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>

#include "admin/admin.h"
#include "commands.h"
#include "config/trunks.h"
#include "yaml/document.h"

namespace reeltack::ctl {
namespace {

using nlohmann::json;

struct Options {
  std::string socket = "/run/reeltack/admin.sock";
  std::string trunk;
  std::int64_t first = -1;
  std::int64_t count = -1;
  bool now = false;
  bool circuits = false;
};

json request(const Options& o, const std::string& command) {
  json out{{"command", command}};
  if (!o.trunk.empty()) out["trunk"] = o.trunk;
  if (o.first >= 0) out["first"] = o.first;
  if (o.count >= 0) out["count"] = o.count;
  if (o.now) out["now"] = true;
  if (o.circuits) out["circuits"] = true;
  return out;
}

int status(const Options& o, const Shared& shared) {
  const std::string text = admin::ask_text(o.socket, request(o, "trunk.status").dump());
  if (shared.json) {
    std::cout << text << "\n";
    return kGood;
  }
  const json groups = json::parse(text);
  std::cout << std::left << std::setw(16) << "group" << std::setw(12) << "office" << std::right
            << std::setw(9) << "circuits" << std::setw(7) << "idle" << std::setw(9) << "standing"
            << std::setw(8) << "seized" << std::setw(9) << "blocked" << std::setw(6) << "lost" << std::setw(9)
            << "suspect" << std::setw(11) << "collisions" << std::setw(7) << "freed"
            << "  connection\n";
  for (const json& g : groups) {
    std::cout << std::left << std::setw(16) << g["name"].get<std::string>() << std::setw(12)
              << g["office"].get<std::string>() << std::right << std::setw(9) << g["circuits"] << std::setw(7)
              << g["idle"] << std::setw(9) << g["standing"] << std::setw(8) << g["seized"] << std::setw(9)
              << g["blocked_local"].get<int>() + g["blocked_remote"].get<int>() << std::setw(6) << g["lost"]
              << std::setw(9) << g["suspect"] << std::setw(11) << g["collisions"] << std::setw(7)
              << g["freed"] << "  " << g["connection"].get<std::string>() << "\n";
    if (!o.circuits) continue;
    // A line for each run of circuits that are alike.
    const json& states = g["states"];
    for (std::size_t from = 0, at = 0; from < states.size(); from = at) {
      while (at < states.size() && states[at] == states[from]) ++at;
      std::cout << "  " << from << (at - from > 1 ? "-" + std::to_string(at - 1) : "") << ": "
                << states[from].get<std::string>() << "\n";
    }
  }
  return kGood;
}

int order(const Options& o, const std::string& command, const Shared& shared) {
  admin::ask_text(o.socket, request(o, command).dump());
  std::cout << (shared.json ? "{\"ok\":true}\n" : command.substr(command.find('.') + 1) + ": done\n");
  return kGood;
}

// As the program would read it at its start.
int check(const std::string& file, const Shared& shared) {
  try {
    const auto groups = config::read_trunks(file);
    json out{{"sound", true}, {"groups", json::array()}};
    for (const auto& g : groups) out["groups"].push_back({{"name", g.name}, {"circuits", g.group.size}});
    if (shared.json) {
      std::cout << out.dump() << "\n";
      return kGood;
    }
    for (const auto& g : groups) std::cout << g.name << ": " << g.group.size << " circuits\n";
    std::cout << file << ": sound\n";
    return kGood;
  } catch (const yaml::Error& error) {
    if (shared.json)
      std::cout << json{{"sound", false}, {"error", error.what()}}.dump() << "\n";
    else
      std::cerr << error.what() << "\n";
    return kFailed;
  }
}

}  // namespace

void add_trunk(CLI::App& app, Shared& shared) {
  auto o = std::make_shared<Options>();
  CLI::App* trunk = app.add_subcommand(
      "trunk", "Trunk groups of a running reeltack: status, audit, block, unblock; check of its file");
  trunk->require_subcommand(1);
  trunk->add_option("--socket", o->socket, "The operators' socket of the program")->capture_default_str();
  const auto add = [&](const char* name, const char* words, bool range, const std::string& command) {
    CLI::App* c = trunk->add_subcommand(name, words);
    c->fallthrough();
    if (!command.empty()) c->add_option("group", o->trunk, "Name of the trunk group")->required();
    if (range) {
      c->add_option("--first", o->first, "The first circuit; all of them if none is named")
          ->check(CLI::Range(0, 99999));
      c->add_option("--count", o->count, "So many from it on")->check(CLI::Range(1, 100000));
    }
    if (!command.empty()) c->callback([o, command, &shared] { shared.result = order(*o, command, shared); });
    return c;
  };
  auto file = std::make_shared<std::string>();
  CLI::App* c =
      trunk->add_subcommand("check", "All that is wrong with a file of trunk groups, with line and key");
  c->fallthrough();
  c->add_option("file", *file, "FILE.yaml, as the fronts file names it")
      ->required()
      ->check(CLI::ExistingFile);
  c->callback([file, &shared] { shared.result = check(*file, shared); });
  trunk->add_subcommand("schema", "Print the schema of that file")->callback([] {
    std::cout << config::trunks_schema() << "\n";
  });
  CLI::App* s = add("status", "A line a group; with --circuits their states", false, "");
  s->add_option("group", o->trunk, "One group alone");
  s->add_flag("--circuits", o->circuits, "The state of each circuit (of one group)")->needs("group");
  s->callback([o, &shared] { shared.result = status(*o, shared); });
  add("audit", "Compare the whole group with the far end now", false, "trunk.audit");
  add("block", "Nothing new on these circuits; what stands goes on", true, "trunk.block")
      ->add_flag("--now", o->now, "Release what stands on them too");
  add("unblock", "Undo a block", true, "trunk.unblock");
}

}  // namespace reeltack::ctl
