#include "rules/catalogue.h"

#include <algorithm>
#include <limits>

#include "rules/entries.h"

namespace reeltack::rules {
namespace {

constexpr std::uint64_t kMaxAttempts = 5;
constexpr Duration kMinReleaseGuard = std::chrono::milliseconds(300);

constexpr const char* kEffects[] = {"repeatable", "by_key", "once"};
constexpr const char* kShapes[] = {"pools", "mesh"};
template <class Enum, std::size_t N>
bool read_name(std::string_view text, const char* const (&names)[N], Enum& out) {
  const auto found = std::find(std::begin(names), std::end(names), text);
  if (found == std::end(names)) return false;
  out = static_cast<Enum>(found - std::begin(names));
  return true;
}

std::string format_places(const std::vector<std::uint32_t>& places) {
  if (places.empty()) return "any";
  std::string out;
  for (const std::uint32_t place : places) out += (out.empty() ? "" : ",") + std::to_string(place);
  return out;
}
bool read_places(std::string_view text, std::vector<std::uint32_t>& out) {
  std::vector<std::uint32_t> read;
  for (std::string_view rest = text == "any" ? std::string_view{} : text; !rest.empty();) {
    const std::string_view one = rest.substr(0, rest.find(','));
    const auto place = read_count(one);
    if (!place || *place > std::numeric_limits<std::uint32_t>::max()) return false;
    read.push_back(static_cast<std::uint32_t>(*place));
    rest.remove_prefix(std::min(one.size() + 1, rest.size()));
  }
  if (format_places(read) != text) return false;
  out = std::move(read);
  return true;
}

using S = Settings;
const Entry<S> kModule[] = {
    entry<S, &S::attempts_cap>("attempts"),
    entry<S, &S::release_guard>("release_guard"),
    entry<S, &S::gateways>("gateways"),
    entry<S, &S::over_share_worth>("over_share_worth"),
    entry<S, &S::redials_marked>("redials_marked", Severity::notice),
    entry<S, &S::tick>("tick", Severity::notice),
    entry<S, &S::cold_from>("cold_from"),
    entry<S, &S::ramp>("ramp"),
    entry<S, &S::fall_multiple>("fall_multiple"),
    entry<S, &S::fall_span>("fall_span"),
    entry<S, &S::may_cancel>("may_cancel"),
    entry<S, &S::may_probe>("may_probe", Severity::critical),
    entry<S, &S::may_tell_peers>("may_tell_peers"),
    entry<S, &S::may_advise_retry>("may_advise_retry", Severity::notice),
    entry<S, &S::retry_advice_cap>("retry_advice_cap", Severity::notice),
    entry<S, &S::must_ask_for_list>("must_ask_for_list"),
    entry<S, &S::must_ask_in>("must_ask_in"),
    {"shape", Type::word, Severity::major,
     [](const S& s) { return std::string(kShapes[static_cast<int>(s.shape)]); },
     [](S& s, std::string_view text) { return read_name(text, kShapes, s.shape); }},
};
using C = ClassSettings;
const Entry<C> kClass[] = {
    entry<C, &C::aim>("aim"),
    entry<C, &C::deadline>("deadline"),
    entry<C, &C::aim_stretch>("aim_stretch"),
    entry<C, &C::worth>("worth"),
    entry<C, &C::late_worth>("late_worth"),
    {"effect", Type::word, Severity::critical,
     [](const C& c) { return std::string(kEffects[static_cast<int>(c.effect)]); },
     [](C& c, std::string_view text) { return read_name(text, kEffects, c.effect); }},
    {"places", Type::word, Severity::major, [](const C& c) { return format_places(c.places); },
     [](C& c, std::string_view text) { return read_places(text, c.places); }},
};
using T = TenantSettings;
const Entry<T> kTenant[] = {entry<T, &T::quota_per_second>("quota")};

template <class Of, std::size_t N>
const Entry<Of>* find_entry(const Entry<Of> (&entries)[N], std::string_view name) {
  const auto found =
      std::find_if(std::begin(entries), std::end(entries), [name](const auto& e) { return e.name == name; });
  return found == std::end(entries) ? nullptr : found;
}

std::string format_classes(std::span<const std::string> names) {
  std::string out;
  for (const std::string& name : names) out += (out.empty() ? "" : ",") + escape_name(name);
  constexpr std::size_t kMaxSize = 200;  // a longer list is represented by its digest
  if (out.empty()) return "none";
  return out.size() <= kMaxSize ? out : to_canonical(std::uint64_t{digest_of("classes", out)});
}

// The parts of a key: what kind of object it belongs to, which one, and the rule's name.
struct Parts {
  enum class Of { nothing, classes, module, one_class, tenant } of = Of::nothing;
  std::size_t index = 0;
  std::string_view name;
};
Parts parts_of(std::string_view key, std::span<const std::string> class_names, std::size_t tenants) {
  if (key == "classes") return {Parts::Of::classes, 0, key};
  const std::size_t first = key.find('.'), last = key.rfind('.');
  if (first == std::string_view::npos) return {};
  const std::string_view of = key.substr(0, first), name = key.substr(last + 1);
  if (of == "module" && first == last) return {Parts::Of::module, 0, name};
  if (first == last) return {};
  const std::string_view which = key.substr(first + 1, last - first - 1);
  if (of == "class") {
    for (std::size_t i = 0; i < class_names.size(); ++i)
      if (escape_name(class_names[i]) == which) return {Parts::Of::one_class, i, name};
  }
  if (of != "tenant") return {};
  const auto index = read_count(which);
  return index && *index < tenants ? Parts{Parts::Of::tenant, *index, name} : Parts{};
}

std::string violation(std::string key, const char* requirement, const std::string& found) {
  return key.append(requirement).append(found);
}

template <class Of>
std::string set(const Entry<Of>* entry, Of& of, std::string_view key, std::string_view value) {
  if (entry == nullptr) return std::string(key) + ": is no rule";
  if (entry->set(of, value)) return {};
  return std::string(key) + ": must be a " + name_of(entry->type) + " in its range, not '" +
         std::string(value) + "'";
}

}  // namespace

const char* name_of(Severity severity) {
  constexpr const char* kNames[] = {"notice", "major", "critical"};
  return kNames[static_cast<int>(severity)];
}

Tree rules_of(const Settings& settings, std::span<const std::string> class_names) {
  Tree out;
  bool put = out.put("classes", format_classes(class_names));
  for (const auto& e : kModule) put = out.put(std::string("module.") + e.name, e.get(settings)) && put;
  for (std::size_t i = 0; i < settings.classes.size() && i < class_names.size(); ++i) {
    const std::string at = "class." + escape_name(class_names[i]) + ".";
    for (const auto& e : kClass) put = out.put(at + e.name, e.get(settings.classes[i])) && put;
  }
  for (std::size_t i = 0; i < settings.tenants.size(); ++i)
    for (const auto& e : kTenant)
      put = out.put("tenant." + std::to_string(i) + "." + e.name, e.get(settings.tenants[i])) && put;
  // Mark an incomplete tree, so that two truncated trees are not taken for complete ones.
  if (!put) static_cast<void>(out.put("cut", "yes"));
  return out;
}

std::string apply_rule(Settings& settings, std::span<const std::string> class_names, std::string_view key,
                       std::string_view value) {
  const Parts parts = parts_of(key, class_names, settings.tenants.size());
  switch (parts.of) {
    case Parts::Of::module:
      return set(find_entry(kModule, parts.name), settings, key, value);
    case Parts::Of::one_class:
      return set(find_entry(kClass, parts.name), settings.classes.at(parts.index), key, value);
    case Parts::Of::tenant:
      return set(find_entry(kTenant, parts.name), settings.tenants.at(parts.index), key, value);
    case Parts::Of::classes:
      return value == format_classes(class_names)
                 ? std::string()
                 : "classes: are " + format_classes(class_names) +
                       " here, and no version changes that; not '" + std::string(value) + "'";
    case Parts::Of::nothing:
      break;
  }
  return std::string(key) + ": is no rule";
}

std::optional<RuleInfo> rule_info(std::string_view key, std::span<const std::string> class_names,
                                  std::size_t tenants) {
  const Parts parts = parts_of(key, class_names, tenants);
  const auto of = [](const auto* entry) {
    return entry == nullptr ? std::nullopt
                            : std::optional<RuleInfo>({entry->type, entry->severity, Activation::at_start});
  };
  switch (parts.of) {
    case Parts::Of::module:
      return of(find_entry(kModule, parts.name));
    case Parts::Of::one_class:
      return of(find_entry(kClass, parts.name));
    case Parts::Of::tenant:
      return of(find_entry(kTenant, parts.name));
    case Parts::Of::classes:
      return RuleInfo{Type::word, Severity::major, Activation::at_start};
    case Parts::Of::nothing:
      break;
  }
  return std::nullopt;
}

std::vector<std::string> violated_bounds(const Tree& tree) {
  std::vector<std::string> out;
  for (const auto& [key, value] : tree.rules()) {
    if (severity_of(key, value) == Severity::critical && key == "module.attempts")
      out.push_back(violation(key, ": must be 1 to 5, not ", value));
    if (severity_of(key, value) == Severity::critical && key == "module.release_guard")
      out.push_back(violation(key, ": must be 300 ms or more, not ", value));
    if (!key.starts_with("class.") || !key.ends_with(".aim")) continue;
    const std::string of(section_of(key));
    const auto aim = read_duration(value);
    const auto deadline = read_duration(tree.value(of + ".deadline").value_or(""));
    if (aim && deadline && *aim > *deadline)
      out.push_back(
          violation(key, ": must not be longer than ", of + ".deadline, " + to_canonical(*deadline)));
  }
  return out;
}

Severity severity_of(std::string_view key, const std::optional<std::string>& actual) {
  if (key == "module.attempts") {
    const auto cap = read_count(actual.value_or(""));
    return !cap || *cap < 1 || *cap > kMaxAttempts ? Severity::critical : Severity::major;
  }
  if (key == "module.release_guard") {
    const auto guard = read_duration(actual.value_or(""));
    return !guard || *guard < kMinReleaseGuard ? Severity::critical : Severity::major;
  }
  if (key.starts_with("module."))
    if (const auto* e = find_entry(kModule, key.substr(7))) return e->severity;
  if (key.starts_with("class."))
    if (const auto* e = find_entry(kClass, key.substr(key.rfind('.') + 1))) return e->severity;
  return key == "classes" || key.starts_with("tenant.") ? Severity::major : Severity::notice;
}

}  // namespace reeltack::rules
