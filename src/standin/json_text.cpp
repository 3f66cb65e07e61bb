#include "standin/json_text.h"

namespace reeltack::standin {

std::string text_of(const base::Json& json, const char* key) {
  const base::Json* field = json.find(key);
  const std::string* s = field == nullptr ? nullptr : field->string();
  return s == nullptr ? std::string() : *s;
}

}  // namespace reeltack::standin
