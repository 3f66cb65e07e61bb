#include "fleet/recovery/values.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace reeltack::fleet::recovery {
namespace {
using std::chrono::milliseconds;

constexpr std::uint64_t kMaxMilliseconds = 1ULL << 42U;  // 139 years
constexpr std::uint64_t kMaxThousandths = 1'000'000'000'000ULL;
constexpr auto kLastState = static_cast<std::uint64_t>(OfficeState::absent);

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
    return add(std::min(static_cast<std::uint64_t>(ms), kMaxMilliseconds));
  }
  Writer& thousandths(double value) {
    const double max = static_cast<double>(kMaxThousandths);
    return add(static_cast<std::uint64_t>(std::clamp(std::round(value * 1000.0), 0.0, max)));
  }
  Writer& office(const Office& o) {
    return add(o.start).add(o.at.address).add(o.at.port).add(o.place).thousandths(o.capacity);
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
  std::uint64_t number(std::uint64_t max, std::uint64_t min = 0) {
    const std::string_view token = next();
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(token.data(), token.data() + token.size(), value);
    good_ =
        good_ && error == std::errc{} && end == token.data() + token.size() && value >= min && value <= max;
    return good_ ? value : min;
  }
  Duration age() { return milliseconds(static_cast<std::int64_t>(number(kMaxMilliseconds))); }
  double thousandths() { return static_cast<double>(number(kMaxThousandths)) / 1000.0; }
  bool skip_none() {  // true if the next number is absent
    if (rest_ != "-" && !rest_.starts_with("- ")) return false;
    next();
    return true;
  }
  OfficeState state() { return static_cast<OfficeState>(number(kLastState)); }
  std::optional<Observation> observation() {
    if (skip_none()) return skip_none() ? std::nullopt : (good_ = false, std::nullopt);
    const OfficeState found = state();
    return Observation{found, age()};
  }
  Office office(ServerId id) {
    Office o;
    o.id = id;
    o.start = number(~std::uint64_t{0});
    o.at.address = static_cast<std::uint32_t>(number(0xffffffffU));
    o.at.port = static_cast<std::uint16_t>(number(0xffffU));
    o.place = static_cast<std::uint32_t>(number(0xffffffffU));
    o.capacity = thousandths();
    return o;
  }
  ServerId id() { return ServerId{static_cast<std::uint32_t>(number(0xffffffffU))}; }

 private:
  std::string_view next() {
    const std::size_t end = std::min(rest_.find(' '), rest_.size());
    const std::string_view token = rest_.substr(0, end);
    if (end + 1 == rest_.size()) good_ = false;  // a space at the end
    rest_.remove_prefix(std::min(end + 1, rest_.size()));
    return token;
  }
  std::string_view rest_;
  bool good_ = true;
};

void add(Writer& writer, const std::optional<Observation>& observation) {
  if (observation)
    writer.add(static_cast<std::uint64_t>(observation->state)).age(observation->age);
  else
    writer.none().none();
}

void read_stored_list(const Record& record, bool other_fleet, PersistedState& stored) {
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
    e.state = reader.state();
    const std::optional<Duration> age_when_stored =
        reader.skip_none() ? std::nullopt : std::optional(reader.age());
    if (!reader.skip_none()) e.uptime = reader.age();
    if (age_when_stored && age && *age >= Duration{} && !other_fleet) e.age = *age + *age_when_stored;
    offices.push_back(e);
  }
  if (!reader.done()) return;  // a torn record is ignored as a whole
  stored.list_epoch = epoch;
  stored.list_number = number;
  stored.offices = std::move(offices);
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
  for (const auto& [office, rate] : rates) writer.add(static_cast<std::uint64_t>(office)).thousandths(rate);
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
  v.observed = reader.observation();
  v.listed = reader.observation();
  if (!reader.skip_none()) v.uptime = reader.age();
  return reader.done() ? std::optional(v) : std::nullopt;
}
std::optional<Rates> read_rates(std::string_view text) {
  Reader reader(text);
  Rates rates;
  while (reader.good() && !reader.done() && rates.size() < kMaxValueOffices) {
    const ServerId office = reader.id();
    rates[office] = reader.thousandths();
  }
  return reader.done() ? std::optional(rates) : std::nullopt;
}

std::optional<PersistedState> read_stored_state(std::span<const Record> records, bool other_fleet) {
  PersistedState stored;
  stored.other_fleet = other_fleet;
  bool any = false;
  for (const Record& record : records) {
    if (record.key == kListRecord) {
      read_stored_list(record, other_fleet, stored);
      any = true;
    } else if (record.key == kRatesRecord) {
      stored.rates = read_rates(record.value).value_or(Rates{});
    } else if (record.key == kStageRecord) {
      const std::optional<StageValue> stage = read_stage(record.value);
      if (!stage) continue;
      any = true;
      stored.stage = stage->stage;
      stored.agreed = stage->agreed;
      stored.largest = stage->largest;
      stored.served = stage->served;
      if (record.age && *record.age >= Duration{} && !other_fleet) stored.age = record.age;
    }
  }
  return any ? std::optional(std::move(stored)) : std::nullopt;
}

}  // namespace reeltack::fleet::recovery
