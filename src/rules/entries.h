// Builds the entries of a catalogue: how a value is formatted and parsed, by the value's own type.
#pragma once

#include <limits>
#include <type_traits>
#include <utility>

#include "rules/catalogue.h"

namespace reeltack::rules {

template <class T>
struct ValueFormat {
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
struct ValueFormat<Duration> {
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
struct ValueFormat<double> {
  static constexpr Type kType = Type::number;
  static std::string of(const double& value) { return to_canonical(value); }
  static bool read(std::string_view text, double& out) {
    const auto value = read_number(text);
    if (value) out = *value;
    return value.has_value();
  }
};
template <>
struct ValueFormat<bool> {
  static constexpr Type kType = Type::flag;
  static std::string of(const bool& value) { return to_canonical(value); }
  static bool read(std::string_view text, bool& out) {
    const auto value = read_flag(text);
    if (value) out = *value;
    return value.has_value();
  }
};

// Follows a chain of member pointers from `of`.
template <auto First, auto... Rest, class Of>
auto& member_of(Of& of) {
  if constexpr (sizeof...(Rest) == 0) {
    return of.*First;
  } else {
    return member_of<Rest...>(of.*First);
  }
}

// The entry of a member of `Of`, or of a member's member: entry<Of, &Of::part, &Part::value>("name").
template <class Of, auto... Members>
Entry<Of> entry(const char* name, Severity severity = Severity::major) {
  using Value = std::remove_cvref_t<decltype(member_of<Members...>(std::declval<Of&>()))>;
  return {name, ValueFormat<Value>::kType, severity,
          [](const Of& of) { return ValueFormat<Value>::of(member_of<Members...>(of)); },
          [](Of& of, std::string_view text) {
            return ValueFormat<Value>::read(text, member_of<Members...>(of));
          }};
}

}  // namespace reeltack::rules
