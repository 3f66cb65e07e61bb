// An object of the configuration and where it stands, so that every message can name the key.
//
// Owns: the checks of one value of the JSON, for the readers of this module only.
// Must never: keep the JSON alive; the reader holds it for as long as a section is used.
// Errors: ConfigError, with the path of the key.
#pragma once

#include <algorithm>
#include <initializer_list>
#include <optional>
#include <sstream>
#include <string>
#include <utility>

#include "config/config.h"

namespace reeltack::config {

class Section {
 public:
  Section(const base::Json* json, std::string path) : json_(json), path_(std::move(path)) {}

  [[noreturn]] void fail(const std::string& key, const std::string& what) const {
    throw ConfigError(path_ + (key.empty() ? "" : "." + key) + ": " + what);
  }
  [[nodiscard]] const base::Json* find(const std::string& key) const {
    return json_ == nullptr ? nullptr : json_->find(key);
  }
  [[nodiscard]] Section at(const std::string& key) const {
    const base::Json* found = find(key);
    if (found != nullptr && found->object() == nullptr) fail(key, "must be an object");
    return {found, path_ + "." + key};
  }
  [[nodiscard]] bool given() const { return json_ != nullptr; }
  [[nodiscard]] std::string text(const std::string& key, std::optional<std::string> fallback = {}) const {
    const base::Json* found = find(key);
    if (found == nullptr) return fallback ? *fallback : (fail(key, "is missing"), "");
    if (found->string() == nullptr) fail(key, "must be a string");
    return *found->string();
  }
  [[nodiscard]] double number(const std::string& key, double least, double most,
                              std::optional<double> fallback = {}) const {
    const base::Json* found = find(key);
    if (found == nullptr) return fallback ? *fallback : (fail(key, "is missing"), 0.0);
    const auto value = found->number();
    if (!value || *value < least || *value > most) {
      std::ostringstream range;
      range << "must be a number from " << least << " to " << most;
      fail(key, range.str());
    }
    return *value;
  }
  [[nodiscard]] bool flag(const std::string& key, bool fallback) const {
    const base::Json* found = find(key);
    if (found != nullptr && !found->boolean()) fail(key, "must be true or false");
    return found == nullptr ? fallback : *found->boolean();
  }
  [[nodiscard]] std::optional<base::Address> address(const std::string& key) const {
    if (find(key) == nullptr) return std::nullopt;
    auto out = base::parse_address(text(key));
    if (!out) fail(key, "must be an address as 127.0.0.1:2905, not '" + text(key) + "'");
    return out;
  }
  void only(std::initializer_list<const char*> known) const {
    if (json_ == nullptr) return;
    for (const auto& [key, value] : *json_->object()) {
      if (std::none_of(known.begin(), known.end(), [&key = key](const char* k) { return key == k; }))
        fail(key, "is not a key of this object");
    }
  }
  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  const base::Json* json_;
  std::string path_;
};

}  // namespace reeltack::config
