// Lines of decimal numbers: written, and read with every bound held.
//
// Owns: nothing. Must never: throw on what it reads.
#include "fleet/recovery/values.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace reeltack::fleet::recovery {
namespace {
using std::chrono::milliseconds;

constexpr std::uint64_t kMostMilliseconds = 1ULL << 42U;  // 139 years
constexpr std::uint64_t kMostThousandths = 1'000'000'000'000ULL;
constexpr auto kLastSeen = static_cast<std::uint64_t>(OfficeState::absent);

class Writer {
 public:
  Writer& add(std::uint64_t number) {
    text_ += ' ';
    text_ += std::to_string(number);
    return *this;
  }
  Writer& none() {
    text_ += " -";
    return *this;
  }
  Writer& age(Duration age) {
    const auto ms = std::chrono::duration_cast<milliseconds>(std::max(age, Duration{})).count();
    return add(std::min(static_cast<std::uint64_t>(ms), kMostMilliseconds));
  }
  Writer& part(double value) {
    const double most = static_cast<double>(kMostThousandths);
    return add(static_cast<std::uint64_t>(std::clamp(std::round(value * 1000.0), 0.0, most)));
  }
  Writer& office(const Office& o) {
    return add(o.start).add(o.at.address).add(o.at.port).add(o.place).part(o.capacity);
  }
  [[nodiscard]] std::string take() { return std::move(text_); }

 private:
  std::string text_ = "1";
};

class Reader {
 public:
  explicit Reader(std::string_view text) : rest_(text) { number(1, 1); }
  [[nodiscard]] bool good() const { return good_; }
  [[nodiscard]] bool done() const { return good_ && rest_.empty(); }
  std::uint64_t number(std::uint64_t most, std::uint64_t least = 0) {
    const std::string_view word = next();
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(word.data(), word.data() + word.size(), value);
    good_ =
        good_ && error == std::errc{} && end == word.data() + word.size() && value >= least && value <= most;
    return good_ ? value : least;
  }
  Duration age() { return milliseconds(static_cast<std::int64_t>(number(kMostMilliseconds))); }
  double part() { return static_cast<double>(number(kMostThousandths)) / 1000.0; }
  bool none() {  // and passes it
    if (rest_ != "-" && !rest_.starts_with("- ")) return false;
    next();
    return true;
  }
  OfficeState seen() { return static_cast<OfficeState>(number(kLastSeen)); }
  std::optional<Observation> sight() {
    if (none()) return none() ? std::nullopt : (good_ = false, std::nullopt);
    const OfficeState what = seen();
    return Observation{what, age()};
  }
  Office office(ServerId id) {
    Office o;
    o.id = id;
    o.start = number(~std::uint64_t{0});
    o.at.address = static_cast<std::uint32_t>(number(0xffffffffU));
    o.at.port = static_cast<std::uint16_t>(number(0xffffU));
    o.place = static_cast<std::uint32_t>(number(0xffffffffU));
    o.capacity = part();
    return o;
  }
  ServerId id() { return ServerId{static_cast<std::uint32_t>(number(0xffffffffU))}; }

 private:
  std::string_view next() {
    const std::size_t end = std::min(rest_.find(' '), rest_.size());
    const std::string_view word = rest_.substr(0, end);
    if (end + 1 == rest_.size()) good_ = false;  // a space at the end
    rest_.remove_prefix(std::min(end + 1, rest_.size()));
    return word;
  }
  std::string_view rest_;
  bool good_ = true;
};

void add(Writer& writer, const std::optional<Observation>& sight) {
  if (sight)
    writer.add(static_cast<std::uint64_t>(sight->state)).age(sight->age);
  else
    writer.none().none();
}

void read_kept_list(const Record& record, bool other_fleet, PersistedState& kept) {
  Reader reader(record.value);
  const std::uint64_t epoch = reader.number(~std::uint64_t{0});
  const std::uint64_t number = reader.number(~std::uint64_t{0});
  const std::optional<Duration> age = record.age ? record.age : record.wall_clock_age;
  std::vector<Evidence> offices;
  while (reader.good() && !reader.done() && offices.size() < kMaxValueOffices) {
    Evidence e;
    e.office = reader.office(ServerId{});
    e.office.id = reader.id();
    e.rank = Rank::stored;
    e.state = reader.seen();
    const std::optional<Duration> within = reader.none() ? std::nullopt : std::optional(reader.age());
    if (!reader.none()) e.uptime = reader.age();
    if (within && age && *age >= Duration{} && !other_fleet) e.age = *age + *within;
    offices.push_back(e);
  }
  if (!reader.done()) return;  // not a part of it is taken
  kept.list_epoch = epoch;
  kept.list_number = number;
  kept.offices = std::move(offices);
}

}  // namespace

std::string write(const StageValue& v) {
  Writer writer;
  writer.add(static_cast<std::uint64_t>(v.stage)).add(v.recovering ? 1 : 0).age(v.full_for).age(v.up);
  return writer.add(std::min(v.agreed, kMaxFleetSize))
      .add(std::min(v.largest, kMaxFleetSize))
      .add(v.served ? 1 : 0)
      .take();
}
std::string write(const ListValue& v) {
  return Writer().add(v.live ? 1 : 0).add(v.id.epoch).add(v.id.number).add(v.id.digest).take();
}
std::string write(const OfficeValue& v) {
  Writer writer;
  writer.office(v.office);
  add(writer, v.observed);
  add(writer, v.listed);
  return (v.uptime ? writer.age(*v.uptime) : writer.none()).take();
}
std::string write(const Rates& rates) {
  Writer writer;
  for (const auto& [office, rate] : rates) writer.add(static_cast<std::uint64_t>(office)).part(rate);
  return writer.take();
}
std::string write_stored_list(ListId list, const std::vector<Evidence>& offices) {
  Writer writer;
  writer.add(list.epoch).add(list.number);
  for (const Evidence& e : offices) {
    writer.office(e.office).add(static_cast<std::uint64_t>(e.office.id));
    writer.add(static_cast<std::uint64_t>(e.state));
    if (e.age)
      writer.age(*e.age);
    else
      writer.none();
    if (e.uptime)
      writer.age(*e.uptime);
    else
      writer.none();
  }
  return writer.take();
}

std::optional<StageValue> read_stage(std::string_view text) {
  Reader reader(text);
  StageValue v;
  v.stage = static_cast<Stage>(reader.number(static_cast<std::uint64_t>(Stage::full)));
  v.recovering = reader.number(1) == 1;
  v.full_for = reader.age();
  v.up = reader.age();
  v.agreed = reader.number(kMaxFleetSize, 1);
  v.largest = reader.number(kMaxFleetSize, 1);
  v.served = reader.done() || reader.number(1) == 1;
  return reader.done() ? std::optional(v) : std::nullopt;
}
std::optional<ListValue> read_list(std::string_view text) {
  Reader reader(text);
  constexpr std::uint64_t kAny = ~std::uint64_t{0};
  ListValue v;
  v.live = reader.number(1) == 1;
  v.id.epoch = reader.number(kAny);
  v.id.number = reader.number(kAny);
  v.id.digest = reader.number(kAny);
  return reader.done() ? std::optional(v) : std::nullopt;
}
std::optional<OfficeValue> read_office(ServerId id, std::string_view text) {
  Reader reader(text);
  OfficeValue v;
  v.office = reader.office(id);
  v.observed = reader.sight();
  v.listed = reader.sight();
  if (!reader.none()) v.uptime = reader.age();
  return reader.done() ? std::optional(v) : std::nullopt;
}
std::optional<Rates> read_rates(std::string_view text) {
  Reader reader(text);
  Rates rates;
  while (reader.good() && !reader.done() && rates.size() < kMaxValueOffices) {
    const ServerId office = reader.id();
    rates[office] = reader.part();
  }
  return reader.done() ? std::optional(rates) : std::nullopt;
}

std::optional<PersistedState> read_stored_state(std::span<const Record> records, bool other_fleet) {
  PersistedState kept;
  kept.other_fleet = other_fleet;
  bool any = false;
  for (const Record& record : records) {
    if (record.key == kListRecord) {
      read_kept_list(record, other_fleet, kept);
      any = true;
    } else if (record.key == kRatesRecord) {
      kept.rates = read_rates(record.value).value_or(Rates{});
    } else if (record.key == kStageRecord) {
      const std::optional<StageValue> stage = read_stage(record.value);
      if (!stage) continue;
      any = true;
      kept.stage = stage->stage;
      kept.agreed = stage->agreed;
      kept.largest = stage->largest;
      kept.served = stage->served;
      if (record.age && *record.age >= Duration{} && !other_fleet) kept.age = record.age;
    }
  }
  return any ? std::optional(std::move(kept)) : std::nullopt;
}

}  // namespace reeltack::fleet::recovery
