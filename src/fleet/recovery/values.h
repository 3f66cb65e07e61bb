// How recovery's facts and its records in the store are written, and read with every bound held.
//
// A value is a line of decimal numbers, one space between, the version of its form first (1); ages in
// milliseconds, capacities and rates in thousandths; `-` where there is none. A value of another version,
// with a number missing, too many or beyond its bound is none: the reader counts it and goes on.
//
//   fact    key             value
//   stage   0               1 STAGE RECOVERING FULL_FOR UP AGREED LARGEST SERVED
//   list    0               1 LIVE EPOCH NUMBER DIGEST
//   office  the office's id 1 START ADDRESS PORT PLACE CAPACITY EYES AGE TOLD AGE WARM  (of Seen, or -)
//   lease   0               1 then OFFICE RATE of each office: what this controller has it carry a second
//
//   record            value
//   recovery.stage    the value of the fact `stage`; written at least every 5 s, so that its age is the
//   store's recovery.list     1 EPOCH NUMBER then START ADDRESS PORT PLACE CAPACITY ID SEEN AGE of each
//   office recovery.rates    1 then OFFICE RATE of each: what it carries for all, warm
//
// Owns: nothing. Must never: throw on what it reads. Threads: none.
#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/recovery/recovery_types.h"

namespace reeltack::fleet::recovery {

inline constexpr std::size_t kMaxValueOffices = 2048;
inline constexpr std::size_t kMaxFleetSize = 100'000;  // members that a fleet may say it has
inline constexpr const char* kStageRecord = "recovery.stage";
inline constexpr const char* kListRecord = "recovery.list";
inline constexpr const char* kRatesRecord = "recovery.rates";

struct StageValue {
  Stage stage = Stage::dark;
  bool recovering = false;
  Duration full_for{};  // since service was whole; nought in other stages
  Duration up{};        // since the process's start
  std::size_t agreed = 1, largest = 1;
  // Service had been whole before this start, by the own store; as a record: this life included. Where an
  // older program does not say so it is taken to have been.
  bool served = false;
};
struct ListValue {
  bool live = false;
  ListId id;
  bool operator==(const ListValue&) const = default;
};
struct Observation {
  OfficeState state{};
  Duration age{};
};
struct OfficeValue {
  Office office;
  std::optional<Observation> observed, listed;
  std::optional<Duration> uptime;  // it had run for so long at least
};
using Rates = std::map<ServerId, double>;

std::string write(const StageValue& value);
std::string write(const ListValue& value);
std::string write(const OfficeValue& value);
std::string write(const Rates& rates);
std::optional<StageValue> read_stage(std::string_view text);
std::optional<ListValue> read_list(std::string_view text);
std::optional<OfficeValue> read_office(ServerId id, std::string_view text);
std::optional<Rates> read_rates(std::string_view text);

std::string write_stored_list(ListId list, const std::vector<Evidence>& offices);

// A record as the store gave it back; ages since it was written. Records of other keys are passed over. None:
// no record of recovery is there that can be read.
struct Record {
  std::string key, value;
  // The true one, which no step of a wall clock has moved; none where it is not known, as across a boot.
  std::optional<Duration> age;
  // By the wall clock, which may have been stepped since; none where it is in the future. It ranks what is
  // remembered, and proves nothing to be fresh.
  std::optional<Duration> wall_clock_age = std::nullopt;
};
std::optional<PersistedState> read_stored_state(std::span<const Record> records, bool other_fleet);

}  // namespace reeltack::fleet::recovery
