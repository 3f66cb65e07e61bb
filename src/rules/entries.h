// How an entry of a catalogue reads and writes one value, by the value's own type.
//
// Owns: nothing. Must never: know a key. Threads: none.
#pragma once

#include <limits>
#include <type_traits>
#include <utility>

#include "rules/catalogue.h"

namespace reeltack::rules {

template <class T>
struct Spelling {
  static_assert(std::is_unsigned_v<T>);
  static constexpr Type kType = Type::count;
  static std::string of(const T& value) { return to_canonical(std::uint64_t{value}); }
  static bool read(std::string_view text, T& out) {
    const auto value = read_count(text);
    if (!value || *value > std::numeric_limits<T>::max()) return false;
    out = static_cast<T>(*value);
    return true;
  }
};
template <>
struct Spelling<Duration> {
  static constexpr Type kType = Type::duration;
  static std::string of(const Duration& value) { return to_canonical(value); }
  static bool read(std::string_view text, Duration& out) {
    const auto value = read_duration(text);
    if (!value || *value < Duration{}) return false;
    out = *value;
    return true;
  }
};
template <>
struct Spelling<double> {
  static constexpr Type kType = Type::number;
  static std::string of(const double& value) { return to_canonical(value); }
  static bool read(std::string_view text, double& out) {
    const auto value = read_number(text);
    if (value) out = *value;
    return value.has_value();
  }
};
template <>
struct Spelling<bool> {
  static constexpr Type kType = Type::flag;
  static std::string of(const bool& value) { return to_canonical(value); }
  static bool read(std::string_view text, bool& out) {
    const auto value = read_flag(text);
    if (value) out = *value;
    return value.has_value();
  }
};

// What stands in `of` behind one member after the other.
template <auto First, auto... Rest, class Of>
auto& behind(Of& of) {
  if constexpr (sizeof...(Rest) == 0) {
    return of.*First;
  } else {
    return behind<Rest...>(of.*First);
  }
}

// The entry of `Of`'s member, or of a member's member: entry<Of, &Of::part, &Part::value>("name").
template <class Of, auto... Members>
Entry<Of> entry(const char* name, Severity severity = Severity::major) {
  using Value = std::remove_cvref_t<decltype(behind<Members...>(std::declval<Of&>()))>;
  return {name, Spelling<Value>::kType, severity,
          [](const Of& of) { return Spelling<Value>::of(behind<Members...>(of)); },
          [](Of& of, std::string_view text) { return Spelling<Value>::read(text, behind<Members...>(of)); }};
}

}  // namespace reeltack::rules
