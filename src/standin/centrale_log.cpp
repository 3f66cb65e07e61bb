#include "standin/centrale_log.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "base/base.h"

namespace reeltack::standin {

using nlohmann::json;

std::string as_json(const load::OfficeEvent& e) {
  std::string out = R"({"at_us":)" + std::to_string(e.at.time_since_epoch().count() / 1000);
  if (e.earliest) out += R"(,"earliest_us":)" + std::to_string(e.earliest->time_since_epoch().count() / 1000);
  out += std::string(R"(,"what":")") + load::name_of(e.what) + R"(","office":")" +
         base::office_name(ServerId{e.office}) + "\"";
  if (e.call != 0) out += R"(,"call":")" + base::hex16(e.call) + R"(","from":)" + std::to_string(e.from);
  if (e.cause != 0) out += ",\"cause\":" + std::to_string(e.cause);
  return out + "}";
}

std::vector<load::OfficeEvent> read_log(const std::string& path) {
  using What = load::OfficeEvent::What;
  std::ifstream in(path);
  if (!in) throw std::runtime_error(path + ": cannot be read");
  std::vector<load::OfficeEvent> out;
  std::string line;
  for (std::size_t number = 1; std::getline(in, line); ++number) {
    const json object = json::parse(line, nullptr, false);
    const auto fail = [&](const char* what) {
      throw std::runtime_error(path + ":" + std::to_string(number) + ": " + what);
    };
    if (!object.is_object()) fail("is no JSON object");
    load::OfficeEvent event;
    event.at = Time{std::chrono::microseconds(object.value("at_us", std::int64_t{0}))};
    if (object.contains("earliest_us"))
      event.earliest = Time{std::chrono::microseconds(object.value("earliest_us", std::int64_t{0}))};
    const auto office = base::parse_office_name(object.value("office", ""));
    if (!office) fail("names no office");
    event.office = static_cast<std::uint32_t>(*office);
    event.call = base::parse_hex16(object.value("call", "")).value_or(0);
    event.from = object.value("from", std::uint64_t{0});
    event.cause = object.value("cause", 0);
    const std::string what = object.value("what", "");
    bool known = false;
    for (const What w : {What::set_up, What::answered, What::ended, What::given_up, What::broken,
                         What::in_service, What::draining, What::gone}) {
      if (what != load::name_of(w)) continue;
      event.what = w;
      known = true;
    }
    if (!known) fail("has no known event");
    out.push_back(event);
  }
  return out;
}

}  // namespace reeltack::standin
