// Endpoints described by the records of a zone: SRV gives port and capacity, A the address, TXT the place
// ("place=N").
#include <algorithm>

#include "dns/numbers.h"
#include "dns/zone.h"

namespace reeltack::dns {

namespace {

constexpr std::string_view kPlaceKey = "place=";

}  // namespace

ServerId derived_id(std::string_view text) {  // FNV-1a
  std::uint32_t h = 2166136261U;
  for (const char c : text) h = (h ^ static_cast<unsigned char>(c)) * 16777619U;
  return ServerId{h};
}

std::vector<core::OfficeEntry> Zone::offices(const std::string& service,
                                             std::vector<std::string>* missing) const {
  std::vector<core::OfficeEntry> out;
  const RecordSet* set = find(service, kSrv);
  if (set == nullptr) return out;
  for (const std::string& data : set->data) {
    std::size_t at = 6;
    const std::string target = name_from_wire(data, at).value_or(".");
    if (target == ".") continue;  // RFC 2782: the service is not offered
    const RecordSet* addresses = find(target, kA);
    if (addresses == nullptr) {
      if (missing != nullptr) missing->push_back(target);
      continue;
    }
    core::OfficeEntry endpoint;
    const std::uint32_t port = read_number(data, 4, 2);
    endpoint.address = data_to_text(kA, *addresses->data.begin()) + ":" + std::to_string(port);
    const auto named = base::parse_office_name(target.substr(0, target.find('.')));
    endpoint.entry.server = named ? *named : derived_id(target + std::to_string(port));
    endpoint.entry.capacity = std::max<double>(read_number(data, 2, 2), 1.0);
    if (const RecordSet* notes = find(target, kTxt)) {
      for (const std::string& note : notes->data) {
        const std::string_view first = std::string_view(note).substr(1, read_number(note, 0, 1));
        const auto place = first.starts_with(kPlaceKey) ? parse_integer(first.substr(kPlaceKey.size()), 65535)
                                                        : std::nullopt;
        if (place) endpoint.entry.place = static_cast<std::uint32_t>(*place);
      }
    }
    out.push_back(endpoint);
  }
  return out;
}

}  // namespace reeltack::dns
