// The file of the network between controllers: read, held to its schema, and told apart.
//
// Owns: what each key means.
// Must never: open a socket.
#include <stdexcept>

#include "standin/between/between.h"
#include "yaml/document.h"
#include "yaml/field_reader.h"

namespace reeltack::standin {

extern const char* const kBetweenSchema;
const char* between_schema() { return kBetweenSchema; }

namespace {

using nlohmann::json;

class BetweenReader : yaml::FieldReader {
 public:
  explicit BetweenReader(const yaml::Document& document) : FieldReader(document) {}

  BetweenSettings read() {
    const json& top = value();
    BetweenSettings out;
    out.seed = top.value("seed", std::uint64_t{1});
    out.relays = loopback(top, "", "relays");
    const json& members = top["members"];
    for (std::size_t i = 0; i < members.size(); ++i) {
      const std::string at = "/members/" + std::to_string(i);
      out.members.push_back({members[i]["name"], loopback(members[i], at, "at")});
      for (const std::string group : members[i].value("groups", json::array()))
        out.groups[group].push_back(out.members.back().name);
    }
    if (out.relays.port + members.size() * members.size() > 65'536)
      fail("/relays", "leaves no room for " + std::to_string(members.size() * members.size()) + " ports");
    held("/members", [&out] { (void)plan(out); });
    const json faults = top.value("faults", json::array());
    for (std::size_t i = 0; i < faults.size() && !failed(); ++i)
      read_fault(faults[i], "/faults/" + std::to_string(i), out);
    finish();
    return out;
  }

 private:
  static FaultPlan plan(const BetweenSettings& s) {
    std::vector<std::string> names;
    for (const BetweenMember& m : s.members) names.push_back(m.name);
    return {names, s.groups, {}};
  }
  // What `what` refuses is said of this place.
  template <typename What>
  void held(const std::string& pointer, What what) {
    try {
      what();
    } catch (const std::invalid_argument& error) {
      fail(pointer, error.what());
    }
  }
  base::Address loopback(const json& at, const std::string& pointer, const char* key) {
    return address(at, pointer, key, "a loopback address as 127.0.1.1:7000")
        .value_or(base::Address{"127.0.0.1", 1});
  }
  void read_fault(const json& f, const std::string& at, BetweenSettings& out) {
    ScheduledFault one;
    one.at = span(f, at, "at", {});
    one.lasts = span(f, at, "lasts", {});
    if (one.lasts <= Duration{}) fail(at + "/lasts", "must be above 0");
    LinkSet& on = one.links;
    on.from = f.value("from", on.from);
    on.to = f.value("to", on.to);
    on.both = f.value("both", false);
    held(at + "/from", [&] { (void)plan(out).links({on.from, {"*"}, false}); });
    held(at + "/to", [&] { (void)plan(out).links({on.to, {"*"}, false}); });
    Fault& fault = one.fault;
    fault.drop = f.value("drop", 0.0);
    fault.delay = span(f, at, "delay", {});
    fault.jitter = span(f, at, "jitter", {});
    fault.duplicate = f.value("duplicate", 0.0);
    fault.reorder = f.value("reorder", 0.0);
    fault.hold = span(f, at, "hold", {});
    fault.corrupt = f.value("corrupt", 0.0);
    fault.cut = f.value("cut", false);
    fault.reset = f.value("reset", false);
    fault.refuse = f.value("refuse", false);
    fault.throttle = f.value("throttle", std::uint64_t{0});
    if (f.contains("cut_after")) fault.cut_after = f["cut_after"].get<std::uint64_t>();
    if (const std::string wrong = check_fault(fault); !wrong.empty()) fail(at, wrong);
    if (fault == Fault{}) fail(at, "names no fault: drop, delay, cut or another");
    out.schedule.push_back(std::move(one));
  }
};

BetweenSettings read(const yaml::Document& document) {
  document.check(json::parse(kBetweenSchema));
  return BetweenReader(document).read();
}

}  // namespace

BetweenSettings read_between(const std::string& path) { return read(yaml::Document::read(path)); }
BetweenSettings parse_between(const std::string& text, const std::string& file) {
  return read(yaml::Document::parse(text, file));
}

}  // namespace reeltack::standin
