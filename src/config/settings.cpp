#include "config/settings.h"

#include <charconv>
#include <cmath>
#include <limits>
#include <map>
#include <string_view>

namespace reeltack::wire {
namespace {

class Pairs {
 public:
  explicit Pairs(std::string_view text) {
    while (!text.empty()) {
      const auto end = text.find('\n');
      const auto line = text.substr(0, end);
      if (const auto eq = line.find('='); eq != std::string_view::npos) {
        values_[std::string(line.substr(0, eq))] = std::string(line.substr(eq + 1));
      }
      text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
    }
  }
  [[nodiscard]] const std::string* find(const std::string& key) const {
    const auto it = values_.find(key);
    return it == values_.end() ? nullptr : &it->second;
  }
  [[nodiscard]] double number(const std::string& key, double absent) const {
    const std::string* text = find(key);
    return text == nullptr ? absent : parse(key, *text);
  }
  [[nodiscard]] double required(const std::string& key) const {
    const std::string* text = find(key);
    if (text == nullptr) throw SettingsError("setting " + key + " is missing (value: none)");
    return parse(key, *text);
  }
  [[nodiscard]] std::uint32_t count(const std::string& key, double absent) const {
    return whole(key, number(key, absent));
  }
  [[nodiscard]] Duration duration(const std::string& key) const { return to_duration(key, number(key, 0.0)); }
  [[nodiscard]] Duration required_duration(const std::string& key) const {
    return to_duration(key, required(key));
  }
  [[nodiscard]] bool flag(const std::string& key) const {
    const std::string* text = find(key);
    if (text == nullptr || *text == "false" || *text == "0") return false;
    if (*text == "true" || *text == "1") return true;
    fail(key, *text);
  }
  [[nodiscard]] std::string word(const std::string& key, const std::string& absent) const {
    const std::string* text = find(key);
    return text == nullptr ? absent : *text;
  }
  [[nodiscard]] std::vector<std::string> words(const std::string& key) const {
    std::vector<std::string> parts;
    const std::string* text = find(key);
    if (text == nullptr || text->empty()) return parts;
    std::size_t start = 0;
    while (true) {
      const auto comma = text->find(',', start);
      parts.push_back(text->substr(start, comma == std::string::npos ? comma : comma - start));
      if (comma == std::string::npos) return parts;
      start = comma + 1;
    }
  }
  [[nodiscard]] std::uint32_t whole(const std::string& key, double value) const {
    if (value < 0.0 || value > 4294967295.0 || value != std::floor(value)) fail(key, word(key, "none"));
    return static_cast<std::uint32_t>(value);
  }
  [[noreturn]] static void fail(const std::string& key, const std::string& value) {
    throw SettingsError("setting " + key + " has a value that cannot be read: " + value);
  }
  static double parse(const std::string& key, const std::string& text) {
    double value = 0.0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value)) fail(key, text);
    return value;
  }

 private:
  [[nodiscard]] Duration to_duration(const std::string& key, double ns) const {
    if (ns < 0.0 || ns > 9.0e18) fail(key, word(key, "none"));
    return Duration{static_cast<Duration::rep>(ns)};
  }
  std::map<std::string, std::string> values_;
};

Effect effect_of(const std::string& key, const std::string& word) {
  if (word == "repeatable") return Effect::repeatable;
  if (word == "by_key") return Effect::by_key;
  if (word == "once") return Effect::once;
  Pairs::fail(key, word);
}

ClassSettings read_class(const Pairs& pairs, std::uint32_t index) {
  const std::string at = "Classes." + std::to_string(index) + ".";
  ClassSettings out;
  out.aim = pairs.required_duration(at + "GoalTimeNs");
  out.deadline = pairs.required_duration(at + "DeadlineNs");
  out.aim_stretch = pairs.number(at + "AimStretch", 0.0);
  out.worth = pairs.number(at + "Points", 1.0);
  out.late_worth = pairs.number(at + "LateValue", 0.0);
  out.effect = effect_of(at + "Effect", pairs.word(at + "Effect", "repeatable"));
  const std::string places = "Domain.ClassCells." + std::to_string(index);
  for (const std::string& place : pairs.words(places)) {
    out.places.push_back(pairs.whole(places, Pairs::parse(places, place)));
  }
  return out;
}

}  // namespace

ParsedSettings parse_settings(const std::string& params) {
  const Pairs pairs(params);
  ParsedSettings parsed;
  Settings& out = parsed.settings;
  out.gateways = pairs.whole("Balancers", pairs.required("Balancers"));
  if (out.gateways == 0) Pairs::fail("Balancers", "0");  // shares of the fleet are counted by it
  const auto classes = pairs.whole("Classes.count", pairs.required("Classes.count"));
  constexpr std::uint32_t kMostParts = 65536;  // class and tenant are 16-bit numbers on the wire
  if (classes > kMostParts) Pairs::fail("Classes.count", pairs.word("Classes.count", ""));
  for (std::uint32_t i = 0; i < classes; ++i) out.classes.push_back(read_class(pairs, i));
  const auto tenants = pairs.count("Customers.count", 0);
  if (tenants > kMostParts) Pairs::fail("Customers.count", pairs.word("Customers.count", ""));
  for (std::uint32_t i = 0; i < tenants; ++i) {
    out.tenants.push_back({pairs.number("Customers." + std::to_string(i) + ".QuotaRps", 0.0)});
  }
  out.over_share_worth = pairs.number("OverShareWorth", 1.0);
  const std::string shape = pairs.word("Domain.Shape", "pools");
  if (shape != "pools" && shape != "mesh") Pairs::fail("Domain.Shape", shape);
  out.shape = shape == "mesh" ? Shape::mesh : Shape::pools;
  out.own_place = static_cast<std::int64_t>(pairs.number("Domain.SelfNo", -1.0));
  out.redials_marked = pairs.flag("Clients.MarksRetry");
  out.tick = pairs.duration("TickNs");
  out.release_guard = pairs.duration("Domain.ReleaseGuardNs");
  out.cold_from = pairs.number("Obligations.ColdFrom", 1.0);
  out.ramp = pairs.duration("Obligations.RampTimeNs");
  out.fall_multiple = pairs.number("Obligations.FallMultiple", 0.0);
  out.fall_span = pairs.duration("Obligations.FallNs");
  out.attempts_cap = pairs.count("PolicyLimits.AttemptsCap", 1);
  out.may_cancel = pairs.flag("PolicyLimits.Cancel");
  out.may_probe = pairs.flag("PolicyLimits.Probing");
  out.may_tell_peers = pairs.flag("PolicyLimits.Peers");
  out.may_advise_retry = pairs.flag("PolicyLimits.RetryAfter");
  out.retry_advice_cap = pairs.duration("PolicyLimits.MaxRetryAfterNs");
  const std::string mode = pairs.word("MembershipMode", "push");
  if (mode != "push" && mode != "ask") Pairs::fail("MembershipMode", mode);
  out.must_ask_for_list = mode == "ask";
  out.must_ask_in = pairs.duration("Obligations.MustAskInNs");
  parsed.report_columns = pairs.words("LoadReport.Columns");
  return parsed;
}

}  // namespace reeltack::wire
