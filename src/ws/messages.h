// Fields and enumeration texts of the JSON messages of docs/call-control.md. Pure functions without state.
#pragma once

#include <optional>
#include <string>

#include "base/json.h"
#include "core/core.h"

namespace reeltack::ws {

const char* name_text(core::FailureReason why);
const char* name_text(core::Phase phase);
const char* result_text(core::FailureReason why);  // the named result of a final answer
std::string id_text(CallId call);

std::string text_field(const base::Json& message, const char* key);  // empty: missing, or not a string
std::optional<double> number_field(const base::Json& message, const char* key);
LoadReport load_report(const base::Json& message);
std::string release_message(CallId call);  // to an endpoint
std::string error_message(const char* reason, const std::string& call = "");

}  // namespace reeltack::ws
