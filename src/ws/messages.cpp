#include "ws/messages.h"

namespace reeltack::ws {

using base::Json;
using base::quoted;
using core::FailureReason;
using core::Phase;

const char* name_text(FailureReason why) {
  static constexpr const char* kNames[] = {
      "none", "overload", "tried-in-vain", "deadline-passed", "duplicate-id", "unknown-class", "given-up"};
  return kNames[static_cast<std::size_t>(why)];
}
const char* name_text(Phase phase) {
  static constexpr const char* kNames[] = {"unknown", "open",     "stands", "refused",
                                           "failed",  "given-up", "over"};
  return kNames[static_cast<std::size_t>(phase)];
}
// The named result of a final answer.
const char* result_text(FailureReason why) {
  return why == FailureReason::refused ? "refused" : why == FailureReason::cancelled ? "given-up" : "failed";
}

std::string id_text(CallId call) { return base::hex16(static_cast<std::uint64_t>(call)); }
std::string text_field(const Json& message, const char* key) {
  const Json* field = message.find(key);
  const std::string* s = field == nullptr ? nullptr : field->string();
  return s == nullptr ? std::string() : *s;
}
std::optional<double> number_field(const Json& message, const char* key) {
  const Json* field = message.find(key);
  return field == nullptr ? std::nullopt : field->number();
}
std::string error_message(const char* reason, const std::string& call) {
  return std::string(R"({"type":"error","reason":")") + reason + "\"" +
         (call.empty() ? "" : ",\"call\":" + quoted(call)) + "}";
}
std::string release_message(CallId call) {
  return R"({"type":"release","call":")" + id_text(call) + R"(","cause":16})";
}
LoadReport load_report(const Json& message) {
  LoadReport out;
  const Json* load = message.find("load");
  if (load == nullptr) return out;
  out.free_lines = number_field(*load, "free").value_or(-1.0);
  out.lines = number_field(*load, "lines").value_or(-1.0);
  return out;
}

}  // namespace reeltack::ws
