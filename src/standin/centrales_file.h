// What stand-in centrales are told: their settings, what goes wrong when, and the file of both.
//
// Owns: the types, their defaults and the reading of the file.
// Must never: open a socket.
//
// Any thread. Errors: yaml::Error with file and line for each.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/base.h"
#include "standin/model/processor.h"

namespace reeltack::standin {

enum class CentraleWire { lines, ws };

struct CentraleSettings {
  std::uint32_t id = 1;  // s-00000001
  CentraleWire wire = CentraleWire::lines;
  base::Address at;  // lines: where it listens; ws: the controller's second front
  std::uint32_t place = 0;
  double capacity = 1.0;  // as the bulletin tells it
  std::uint32_t lines = 10'000;
  Duration hold{};                // it releases what stands after this in the mean; 0: callers do
  bool works_on_given_up = true;  // a set-up that was given up may still be worked on
  ProcessorSettings processor;
};

// One thing that goes wrong, and when.
struct Trouble {
  enum class Kind { pause, slow, lose_lines, drain, replace, die, silent, restart } kind{};
  Duration at{};                       // from their start
  std::vector<std::size_t> centrales;  // by position
  Duration lasts{};                    // drain: until it is gone; replace, restart: until it is up again
  double factor = 1.0;                 // slow: times slower; lose_lines: part lost
};

struct CentralesSettings {
  std::vector<CentraleSettings> centrales;
  std::optional<base::Address> bulletin;
  Duration bulletin_delay{};  // how late the bulletin tells
  std::vector<Trouble> troubles;
  std::uint64_t seed = 1;
};

// A file of centrales: YAML held to share/schemas/fleet.schema.json. Throws yaml::Error.
CentralesSettings read_centrales(const std::string& path);
CentralesSettings parse_centrales(const std::string& text, const std::string& file);
const char* centrales_schema();

}  // namespace reeltack::standin
