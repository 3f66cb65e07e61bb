#include "trunk/commands.h"

#include "base/json.h"

namespace reeltack::trunk {
namespace {

Trunk& trunk_of(const Trunks& trunks, const base::Json& request) {
  const base::Json* name = request.find("trunk");
  std::string known;
  for (const auto& t : trunks) {
    if (name != nullptr && name->string() != nullptr && *name->string() == t->settings().name) return *t;
    known += (known.empty() ? "" : ", ") + t->settings().name;
  }
  throw admin::CommandError("no such trunk group; there are: " + (known.empty() ? "none" : known));
}
// A range of circuits that the request names; all of them if it names none.
std::pair<circuits::Cic, std::uint32_t> range_of(const Trunk& t, const base::Json& request) {
  const std::uint32_t size = t.settings().group.size;
  const auto figure = [&](const char* key, double fallback) {
    const base::Json* field = request.find(key);
    if (field == nullptr) return fallback;
    const auto value = field->number();
    if (!value || *value < 0.0 || *value > size || *value != static_cast<std::uint32_t>(*value))
      throw admin::CommandError(std::string(key) + ": must be a whole number from 0 to " +
                                std::to_string(size));
    return *value;
  };
  const auto first = static_cast<circuits::Cic>(figure("first", 0.0));
  const auto count = static_cast<std::uint32_t>(figure("count", size - first));
  if (first >= size || count == 0 || count > size - first)
    throw admin::CommandError("the group has circuits 0 to " + std::to_string(size - 1));
  return {first, count};
}
bool flag_of(const base::Json& request, const char* key) {
  const base::Json* field = request.find(key);
  return field != nullptr && field->boolean().value_or(false);
}

}  // namespace

void add_commands(admin::Server& operators, const Trunks& trunks) {
  operators.add("trunk.status", [&trunks](const base::Json& request) {
    if (request.find("trunk") != nullptr)
      return "[" + trunk_of(trunks, request).status(flag_of(request, "circuits")) + "]";
    std::string out;
    for (const auto& t : trunks) out += (out.empty() ? "" : ",") + t->status(false);
    return "[" + out + "]";
  });
  operators.add("trunk.audit", [&trunks](const base::Json& request) {
    trunk_of(trunks, request).audit();
    return std::string("true");
  });
  operators.add("trunk.block", [&trunks](const base::Json& request) {
    Trunk& t = trunk_of(trunks, request);
    const auto [first, count] = range_of(t, request);
    t.block(first, count, flag_of(request, "now"));
    return std::string("true");
  });
  operators.add("trunk.unblock", [&trunks](const base::Json& request) {
    Trunk& t = trunk_of(trunks, request);
    const auto [first, count] = range_of(t, request);
    t.unblock(first, count);
    return std::string("true");
  });
  operators.add("trunk.lines",
                [&trunks](const base::Json& request) {  // the circuits themselves are lost, or back
                  Trunk& t = trunk_of(trunks, request);
                  const auto [first, count] = range_of(t, request);
                  t.lose(first, count, flag_of(request, "lost"));
                  return std::string("true");
                });
}

}  // namespace reeltack::trunk
