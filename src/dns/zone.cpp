#include "dns/zone.h"

#include <utility>

#include "dns/numbers.h"

namespace reeltack::dns {

Zone::Zone(std::string origin) : origin_(std::move(origin)) {}

std::string Zone::text() const {
  std::string out;
  const auto line = [&out](const std::string& name, std::uint16_t type, const RecordSet& set) {
    for (const auto& [word, number] : type_names()) {
      if (number != type) continue;
      for (const std::string& data : set.data)
        out.append(name)
            .append(" ")
            .append(std::to_string(set.ttl))
            .append(" IN ")
            .append(word)
            .append(" ")
            .append(data_to_text(type, data) + "\n");
    }
  };
  line(origin_, kSoa, names_.at(origin_).at(kSoa));  // the SOA comes first
  for (const auto& [name, sets] : names_) {
    for (const auto& [type, set] : sets) {
      if (type != kSoa) line(name, type, set);
    }
  }
  return out;
}

bool Zone::has_name(const std::string& name) const { return names_.contains(name); }

const RecordSet* Zone::find(const std::string& name, std::uint16_t type) const {
  const auto sets = names_.find(name);
  if (sets == names_.end()) return nullptr;
  const auto set = sets->second.find(type);
  return set == sets->second.end() ? nullptr : &set->second;
}

void Zone::add(const std::string& name, std::uint16_t type, std::uint32_t ttl, const std::string& data) {
  RecordSet& set = names_[name][type];
  if (type == kSoa || type == kCname) set.data.clear();  // at most one of these may exist
  set.ttl = ttl;
  set.data.insert(data);
}

void Zone::remove(const std::string& name, std::uint16_t type) {
  const auto sets = names_.find(name);
  if (sets == names_.end()) return;
  if (type == kAny) {
    sets->second.clear();
  } else {
    sets->second.erase(type);
  }
  if (sets->second.empty()) names_.erase(sets);
}

void Zone::remove(const std::string& name, std::uint16_t type, const std::string& data) {
  const RecordSet* set = find(name, type);
  if (set == nullptr) return;
  names_[name][type].data.erase(data);
  if (set->data.empty()) remove(name, type);
}

std::uint32_t Zone::serial() const {
  const std::string& soa = *names_.at(origin_).at(kSoa).data.begin();
  return read_number(soa, soa.size() - 20, 4);
}

void Zone::raise_serial() {
  RecordSet& set = names_.at(origin_).at(kSoa);
  std::string soa = *set.data.begin();
  std::string next;
  append32(next, serial() + 1U == 0 ? 1 : serial() + 1U);
  soa.replace(soa.size() - 20, 4, next);
  set.data = {soa};
}

}  // namespace reeltack::dns
