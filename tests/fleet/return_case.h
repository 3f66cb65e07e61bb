// Power outages after which the return of a fleet to service is measured, and the result of a run.
//
// Plain descriptions, the same for virtual time and for real processes. Offices are named by position. Times
// count from the moment at which power is lost, or returns.
#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "reeltack/settings.h"

namespace reeltack::test {

// fleet: the controllers form a fleet; alone: each returns by itself; known: by itself, the list was never
// lost.
enum class Variant : std::uint8_t { fleet, alone, known };

struct ReturnCase {
  const char* name = "";
  double rate = 300.0;  // calls per second over all controllers
  Duration set_up = std::chrono::milliseconds(8), answer = std::chrono::milliseconds(4),
           release = std::chrono::milliseconds(4);  // an office's work for each part of a call
  double fall_multiple = 2.0;
  Duration outage = std::chrono::seconds(1);  // without power
  // Number of offices in the list of the start, the first ones; 0: the configuration holds no list.
  std::size_t configured = 8;
  std::vector<std::size_t> restarted_listed{};  // restart 0.5 s before power is lost, and are listed so
  std::vector<std::size_t> restarted_unseen{};  // restart during the outage
  std::vector<std::size_t> gone{};              // end during the outage
  std::vector<std::size_t> replaced{};          // end during the outage; another office takes the address
  std::vector<std::size_t> silent{};            // do not answer from the loss of power on
  std::size_t survivors = 0;                    // number of controllers that keep power, the first ones
  Duration zone_delay{};                        // power returns so long after the previous zone
  double surge = 1.0;                           // factor on the rate in the first second
};

inline constexpr std::size_t kReturnControllers = 12, kReturnOffices = 8;
inline constexpr Duration kReturnMeasured = std::chrono::seconds(30);  // calls planned within it are measured
inline constexpr Duration kReturnSilent =
    std::chrono::seconds(20);  // discovery is silent, counted from the return of power

// A warm office carries 62.5 calls per second with the usual work, 19 with the slow one. A slow office falls
// once it is sent, within a second, one set-up of each controller in addition to what it works off meanwhile.
inline std::vector<ReturnCase> return_cases() {
  using namespace std::chrono_literals;
  std::vector<ReturnCase> all;
  ReturnCase usual;
  usual.name = "light";
  usual.rate = 330.0;
  usual.restarted_unseen = {4};
  usual.gone = {5};
  usual.replaced = {6};
  all.push_back(usual);
  ReturnCase slow;
  slow.set_up = 44ms;
  slow.answer = slow.release = 4ms;
  slow.rate = 120.0;
  slow.fall_multiple = 1.25;
  ReturnCase cold = slow;
  cold.name = "cold";
  cold.restarted_listed = {4, 5, 6, 7};
  cold.surge = 3.0;
  all.push_back(cold);
  ReturnCase silent;
  silent.name = "silent";
  silent.silent = {2, 5, 7};
  silent.rate = 220.0;
  all.push_back(silent);
  ReturnCase stored;
  stored.name = "stored";
  stored.configured = 0;
  stored.replaced = {2};
  all.push_back(stored);
  ReturnCase zones = slow;
  zones.name = "zones";
  zones.restarted_listed = {3, 6};
  zones.surge = 3.0;
  zones.survivors = 3;
  zones.zone_delay = 300ms;
  all.push_back(zones);
  ReturnCase surge = slow;
  surge.name = "crowd";
  surge.restarted_listed = {2, 5};
  surge.surge = 3.0;
  all.push_back(surge);
  ReturnCase prolonged = usual;
  prolonged.name = "long";
  prolonged.outage = 20min;
  prolonged.restarted_unseen.clear();
  all.push_back(prolonged);
  return all;
}

// Five of the offices were added since the list of the start was written. The store and the surviving
// controllers know them.
inline ReturnCase short_list_case() {
  ReturnCase out;
  out.name = "short";
  out.configured = 3;
  out.replaced = {2};
  out.survivors = 1;
  return out;
}

struct ReturnResult {
  double part = 0.0;  // worth earned of worth offered
  std::uint64_t offices_fallen = 0, established = 0, started = 0, violations = 0;
  // With the fleet: set-ups of controllers that returned to offices that their list of the start lacks, while
  // discovery was silent.
  std::uint64_t unlisted = 0;
  Duration urgent{};  // longest time from a process's start until its most urgent class is open
};

}  // namespace reeltack::test
