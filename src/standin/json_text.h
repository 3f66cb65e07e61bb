// Fields of the JSON messages that fakes read.
#pragma once

#include <string>

#include "base/json.h"

namespace reeltack::standin {

// The field's string; empty where there is none or it is no string.
std::string text_of(const base::Json& json, const char* key);

}  // namespace reeltack::standin
