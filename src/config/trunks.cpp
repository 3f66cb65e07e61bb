#include "config/trunks.h"

#include <set>

#include "yaml/document.h"
#include "yaml/field_reader.h"
#include "yaml/span.h"

namespace reeltack::config {

extern const char* const kTrunksSchema;
const char* trunks_schema() { return kTrunksSchema; }

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

// The platform's rule on callers: they must be notified within 8 s of a call that is over.
constexpr Duration kLongestSilence = 7s;
constexpr const char* kWantedAddress = "an address as 127.0.0.1:2905";

class Reader : yaml::FieldReader {
 public:
  explicit Reader(const yaml::Document& document) : FieldReader(document) {}

  std::vector<trunk::TrunkSettings> read() {
    std::vector<trunk::TrunkSettings> out;
    const json& trunks = value()["trunks"];
    for (std::size_t i = 0; i < trunks.size(); ++i)
      out.push_back(read_one(trunks[i], "/trunks/" + std::to_string(i)));
    finish();
    return out;
  }

 private:
  trunk::TrunkSettings read_one(const json& t, const std::string& at) {
    trunk::TrunkSettings out;
    out.name = t["name"];
    if (!names_.insert(out.name).second) fail(at + "/name", "names a group twice");
    out.office = net::parse_office_name(std::string(t["office"])).value_or(ServerId{});
    if (!offices_.insert(out.office).second) fail(at + "/office", "is the office of another group too");
    out.place = t.value("place", 0U);
    out.far_place = t.value("far_place", out.place);
    out.capacity = t.value("capacity", 1.0);
    out.dial = address(t, at, "dial", kWantedAddress);
    out.listen = address(t, at, "listen", kWantedAddress);
    if (t.contains("dial") == t.contains("listen"))
      fail(at, "needs one of dial and listen: one end dials, the other listens");
    circuits::GroupSettings& g = out.group;
    g.size = t["circuits"];
    g.own = t["point_code"];
    g.far = t["far_point_code"];
    if (g.own == g.far)
      fail(at + "/far_point_code",
           "must differ from point_code: the higher one decides who controls which circuit");
    const std::string hunting = t.value("hunting", "opposite");
    g.hunting = hunting == "priority" ? circuits::Hunting::priority
                : hunting == "same"   ? circuits::Hunting::same
                                      : circuits::Hunting::opposite;
    const json audit = t.value("audit", json::object());
    const std::string inside = at + "/audit";
    g.audit_period = span_above_zero(audit, inside, "period", g.audit_period);
    g.confirm_after = span_above_zero(audit, inside, "confirm", g.confirm_after);
    g.audit_range = audit.value("range", g.audit_range);
    g.settle_batch = audit.value("batch", g.settle_batch);
    g.settle_gap = span_above_zero(audit, inside, "gap", g.settle_gap);
    const Duration bound = span_above_zero(audit, inside, "bound", 10s);
    const Duration reached = circuits::max_settle_time(g);
    if (reached > bound)
      fail(inside, "frees a stuck circuit of " + std::to_string(g.size) + " only after " +
                       yaml::show_span(reached) + ", later than its bound of " + yaml::show_span(bound) +
                       ": period + confirm + gap for each batch; shorten them or make batch larger");
    g.release_again = span_above_zero(t, at, "release_again", g.release_again);
    g.max_silence = span_above_zero(t, at, "silence", g.max_silence);
    if (g.max_silence > kLongestSilence)
      fail(at + "/silence", "must be at most 7s: callers must hear within 8 s that their call is over");
    return out;
  }
  std::set<std::string> names_;
  std::set<ServerId> offices_;
};

std::vector<trunk::TrunkSettings> read(const yaml::Document& document) {
  document.check(json::parse(kTrunksSchema));
  return Reader(document).read();
}

}  // namespace

std::vector<trunk::TrunkSettings> read_trunks(const std::string& path) {
  return read(yaml::Document::read(path));
}
std::vector<trunk::TrunkSettings> parse_trunks(const std::string& text, const std::string& file) {
  return read(yaml::Document::parse(text, file));
}

}  // namespace reeltack::config
