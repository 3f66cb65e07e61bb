#include "config/controllers.h"

#include <arpa/inet.h>

#include <set>

#include "yaml/document.h"
#include "yaml/field_reader.h"
#include "yaml/span.h"

namespace reeltack::config {

extern const char* const kControllersSchema;
const char* controllers_schema() { return kControllersSchema; }

std::uint64_t hash_of(const std::string& name) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return hash == 0 ? 1 : hash;
}

fleet::Endpoint endpoint_of(const base::Address& address) {
  in_addr out{};
  ::inet_pton(AF_INET, address.host.c_str(), &out);
  return {ntohl(out.s_addr), address.port};
}

void take_platform_terms(const Settings& s, fleet::recovery::RecoverySettings& r) {
  r.offices.ramp = r.ramp = s.ramp;
  r.cold_from = s.cold_from;
  r.fall_multiple = s.fall_multiple;
  r.fall_span = s.fall_span;
  r.class_worth.clear();
  r.class_aim.clear();
  for (const ClassSettings& c : s.classes) {
    r.class_worth.push_back(c.worth);
    r.class_aim.push_back(c.aim);
  }
}

namespace {

using nlohmann::json;

constexpr const char* kWantedAddress = "an address as 127.0.0.1:7946";

class Reader : yaml::FieldReader {
 public:
  Reader(const yaml::Document& document, const Node& node) : FieldReader(document), node_(node) {}

  Controllers read() {
    const json& top = value()["fleet"];
    Controllers out;
    out.fleet = top["id"];
    out.epoch = top.value("epoch", std::uint64_t{0});
    out.zone = top.value("zone", std::string());
    out.listen = parsed(top, "listen").value_or(base::Address{});
    out.advertise = parsed(top, "advertise").value_or(out.listen);
    out.size = top["size"];
    out.store = top.value("store", std::string());
    out.rules_file = top.value("rules", std::string());
    out.turn.drift.name = node_.name;
    out.turn.drift.zone = out.zone;
    out.wall_offset = std::chrono::milliseconds(top.value("clock_offset_ms", std::int64_t{0}));
    for (std::size_t i = 0; top.contains("seeds") && i < top["seeds"].size(); ++i) {
      const std::string at = "/fleet/seeds/" + std::to_string(i);
      const auto seed = parsed(top["seeds"][i], at);
      if (!seed) continue;
      if (!seen_.insert(base::to_text(*seed)).second) fail(at, "names a controller twice");
      out.seeds.push_back(*seed);
    }
    if (top.contains("via")) {
      for (const auto& [name, text] : top["via"].items()) {
        if (name == node_.name) fail("/fleet/via/" + name, "is this controller itself");
        if (const auto to = parsed(text, "/fleet/via/" + name)) out.via[name] = *to;
      }
    }
    if (out.size > 1 && out.seeds.empty())
      fail("/fleet/seeds", "is missing: a fleet of more than one needs some to ask");
    terms(top, out);
    finish();
    return out;
  }

 private:
  void terms(const json& top, Controllers& out) {
    fleet::CoordinatorSettings& t = out.turn;
    const json probes = top.value("probes", json::object());
    t.members.period = span_above_zero(probes, "/fleet/probes", "period", t.members.period);
    t.members.probe_timeout = span_above_zero(probes, "/fleet/probes", "timeout", t.members.probe_timeout);
    t.members.indirect_probes = probes.value("indirect", t.members.indirect_probes);
    if (t.members.probe_timeout >= t.members.period)
      fail("/fleet/probes/timeout", "must be shorter than the period of " +
                                        yaml::show_span(t.members.period) +
                                        ": the probe through others needs the rest of it");
    const json exchange = top.value("exchange", json::object());
    fleet::gossip_schedule::GossipScheduleSettings& gossip = t.gossip;
    gossip.interval = span_above_zero(exchange, "/fleet/exchange", "every", gossip.interval);
    gossip.urgent_interval = span_above_zero(exchange, "/fleet/exchange", "urgent", gossip.urgent_interval);
    gossip.bytes_per_second = exchange.value("bytes", gossip.bytes_per_second);
    if (gossip.urgent_interval > gossip.interval)
      fail("/fleet/exchange/urgent", "must be no longer than every, " + yaml::show_span(gossip.interval));
    const json recovery = top.value("recovery", json::object());
    fleet::recovery::RecoverySettings& r = t.recovery;
    const std::string at = "/fleet/recovery";
    r.max_asking = span_above_zero(recovery, at, "asking", r.max_asking);
    r.max_probation = span_above_zero(recovery, at, "probation", r.max_probation);
    r.max_partial = span_above_zero(recovery, at, "partial", r.max_partial);
    r.min_opening_time = span_above_zero(recovery, at, "opening", r.min_opening_time);
    r.fresh = span_above_zero(recovery, at, "fresh", r.fresh);
    r.enough = recovery.value("enough", r.enough);
    r.too_little = recovery.value("too_little", r.too_little);
    if (r.too_little >= r.enough)
      fail(at + "/too_little", "must be below enough, or service would swing between two stages");
    r.leases.lease = span_above_zero(recovery, at, "lease", r.leases.lease);
    r.leases.min_size = out.size;
    const json half = recovery.value("half_life", json::object());
    r.offices.half_life_state = span_above_zero(half, at + "/half_life", "state", r.offices.half_life_state);
    r.offices.half_life_list = span_above_zero(half, at + "/half_life", "list", r.offices.half_life_list);
    r.offices.half_life_warm = span_above_zero(half, at + "/half_life", "warm", r.offices.half_life_warm);
    take_platform_terms(node_.settings, r);
  }
  // Where others are to send to: a port of its own.
  std::optional<base::Address> parsed(const std::string& text, const std::string& pointer) {
    auto out = parse_address(text, pointer, kWantedAddress);
    if (!out || out->port != 0) return out;
    fail(pointer, std::string("must be ") + kWantedAddress + ", not '" + text + "'");
    return std::nullopt;
  }

  std::optional<base::Address> parsed(const json& top, const char* key) {
    if (!top.contains(key)) return std::nullopt;
    return parsed(top[key], std::string("/fleet/") + key);
  }

  const Node& node_;
  std::set<std::string> seen_;
};

Controllers read(const yaml::Document& document, const Node& node) {
  document.check(json::parse(kControllersSchema));
  return Reader(document, node).read();
}

}  // namespace

Controllers read_controllers(const std::string& path, const Node& node) {
  return read(yaml::Document::read(path), node);
}
Controllers parse_controllers(const std::string& text, const std::string& file, const Node& node) {
  return read(yaml::Document::parse(text, file), node);
}

}  // namespace reeltack::config
