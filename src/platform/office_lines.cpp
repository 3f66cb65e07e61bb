#include "platform/office_lines.h"

#include <algorithm>

#include "base/json.h"

namespace reeltack::platform {

using base::Json;

// A report with a figure out of range is ignored completely.
LoadReport read_report(std::string_view text) {
  constexpr double kMax = 1.0e7;
  LoadReport out;
  bool valid = true;
  base::each_figure(text, [&out, &valid](std::string_view name, double value) {
    valid = valid && value >= -1.0 && value <= kMax;
    if (name == "x0" || name == "free") out.free_lines = value;
    if (name == "x1" || name == "size") out.lines = value;
    if (name == "latency_ms" || name == "recent_ms") out.wait_ms = value;
    if (name == "eps" || name == "hold_back") out.hold_back = value;
  });
  if (!valid || (out.lines >= 0.0 && out.free_lines > out.lines)) return {};
  return out;
}

OfficeLine read_line(std::string_view text) {
  using Verb = OfficeLine::Verb;
  const Json line = Json::parse(text);
  const auto field_of = [&line](const char* key) {
    const Json* field = line.find(key);
    const std::string* s = field == nullptr ? nullptr : field->string();
    return s == nullptr ? std::string() : *s;
  };
  const auto fail = [](const char* what) { throw base::JsonError(std::string("a line with ") + what); };
  const std::string verb = field_of("verb");
  const auto tag = base::parse_hex16(field_of("tag"));
  const Json* opts = line.find("opts");
  const auto opt = [opts](const char* key) {
    const Json* field = opts == nullptr ? nullptr : opts->find(key);
    return field == nullptr ? std::string() : field->plain().value_or("");
  };
  OfficeLine out;
  out.report = read_report(opt("load"));
  if (verb == "LOAD") return out.verb = Verb::load, out;
  if (verb == "PENDING" || verb == "FINISHED" || verb == "ECHOED") return out;
  if (!tag) fail("no tag");
  out.call = CallId{tag.value_or(0)};
  if (verb == "STARTED") {
    const Json* blob = line.find("blob");
    if (blob == nullptr || blob->string() == nullptr) fail("an answer without a description");
    out.verb = Verb::started;
    out.blob = field_of("blob");
  } else if (verb == "FINISH") {
    const Json* rc = line.find("rc");
    const auto cause = rc == nullptr ? std::nullopt : rc->numeric();
    if (!cause || *cause < 0.0 || *cause > 127.0) fail("no cause");
    out.verb = Verb::finish;
    out.cause = static_cast<int>(cause.value_or(0.0));
    out.note = opt("note");
  } else {
    fail("an unknown verb");
  }
  return out;
}

std::int64_t whole_ms_left(Time give_up, Time at) {
  return std::chrono::floor<std::chrono::milliseconds>(give_up - at).count();
}

std::string start_line(const core::SetUp& set_up, const std::string& class_name, std::int64_t left_ms) {
  return R"({"verb":"START","tag":")" + base::hex16(static_cast<std::uint64_t>(set_up.call)) +
         R"(","opts":{"class":)" + base::quoted(class_name) + R"(,"key":")" +
         base::hex16(static_cast<std::uint64_t>(set_up.number)) + R"(","left":")" + std::to_string(left_ms) +
         R"("},"blob":)" + base::quoted(set_up.description) + "}\n";
}

std::string finish_line(CallId call) {
  return R"({"verb":"FINISH","tag":")" + base::hex16(static_cast<std::uint64_t>(call)) +
         "\",\"opts\":{},\"rc\":" + std::to_string(core::kNormalClearing) + "}\n";
}

}  // namespace reeltack::platform
