// Text encoding of recovery's facts and of its records in the store, and bounds-checked decoding.
//
// A value is a line of decimal numbers, separated by single spaces and headed by the version of its form (1).
// Ages are in milliseconds, capacities and rates in thousandths; `-` stands for an absent number. A value of
// another version, or with a number that is missing, surplus or out of bounds, reads as none: the reader
// counts it and continues. Decoding does not throw. Not synchronised.
//
//   fact    key               value
//   stage   0                 1 STAGE RECOVERING FULL_FOR UP AGREED LARGEST SERVED
//   list    0                 1 LIVE EPOCH NUMBER DIGEST
//   office  id of the office  1 START ADDRESS PORT PLACE CAPACITY OBSERVED AGE LISTED AGE UPTIME
//                             (OBSERVED and LISTED are an OfficeState, or - with - as AGE)
//   lease   0                 1, then OFFICE RATE of each: set-ups per second that it carries for this member
//
//   record          value
//   recovery.stage  the fact `stage`; written at least every 5 s, so that its age is the age of the store
//   recovery.list   1 EPOCH NUMBER, then START ADDRESS PORT PLACE CAPACITY ID STATE AGE UPTIME of each office
//   recovery.rates  1, then OFFICE RATE of each: what it carries for all members, warm
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
inline constexpr std::size_t kMaxFleetSize = 100'000;  // the largest size that is accepted
inline constexpr const char* kStageRecord = "recovery.stage";
inline constexpr const char* kListRecord = "recovery.list";
inline constexpr const char* kRatesRecord = "recovery.rates";

struct StageValue {
  Stage stage = Stage::dark;
  bool recovering = false;
  Duration full_for{};  // time in full service; 0 in other stages
  Duration up{};        // since the process's start
  std::size_t agreed = 1, largest = 1;
  // By the own store, service was full in an earlier run of the process; in the record: or in this one. A
  // value from an older version lacks it and counts as true.
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
  std::optional<Duration> uptime;  // lower bound
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

// A record as read from the store.
struct Record {
  std::string key, value;
  // The true age since it was written, unaffected by steps of a wall clock; none where unknown, as across a
  // boot.
  std::optional<Duration> age;
  // The age by the wall clock, which may have been stepped since; none where the record is from the future.
  // It ranks stored evidence and never proves it fresh.
  std::optional<Duration> wall_clock_age = std::nullopt;
};
// Ignores records of other keys. None: there is no readable record of recovery.
std::optional<PersistedState> read_stored_state(std::span<const Record> records, bool other_fleet);

}  // namespace reeltack::fleet::recovery
