#include "standin/centrales_file.h"

#include <charconv>

#include "yaml/document.h"
#include "yaml/field_reader.h"

namespace reeltack::standin {

extern const char* const kCentralesSchema;
const char* centrales_schema() { return kCentralesSchema; }

namespace {

using nlohmann::json;

class Reader : yaml::FieldReader {
 public:
  explicit Reader(const yaml::Document& document) : FieldReader(document) {}

  CentralesSettings read() {
    const json& top = value();
    CentralesSettings out;
    out.seed = top.value("seed", std::uint64_t{1});
    if (top.contains("bulletin")) out.bulletin = loopback(top, "", "bulletin");
    out.bulletin_delay = span(top, "", "bulletin_delay", {});
    for (std::size_t i = 0; i < top["centrales"].size(); ++i)
      read_centrales(top["centrales"][i], "/centrales/" + std::to_string(i), out);
    const json troubles = top.value("troubles", json::array());
    for (std::size_t i = 0; i < troubles.size(); ++i)
      read_trouble(troubles[i], "/troubles/" + std::to_string(i), out);
    finish();
    return out;
  }

 private:
  base::Address loopback(const json& at, const std::string& pointer, const char* key) {
    return address(at, pointer, key, "a loopback address as 127.0.1.1:2905")
        .value_or(base::Address{"127.0.0.1", 1});
  }

  void read_centrales(const json& c, const std::string& at, CentralesSettings& out) {
    CentraleSettings one;
    one.at = loopback(c, at, "at");
    one.wire = c.value("wire", "lines") == "ws" ? CentraleWire::ws : CentraleWire::lines;
    one.place = c.value("place", 0U);
    one.capacity = c.value("capacity", 1.0);
    one.lines = c.value("lines", one.lines);
    one.hold = span(c, at, "hold", {});
    one.works_on_given_up = c.value("works_on_given_up", true);
    const json p = c.value("processor", json::object());
    const std::string inside = at + "/processor";
    ProcessorSettings& s = one.processor;
    s.set_up = span(p, inside, "set_up", {});
    s.answer = span(p, inside, "answer", {});
    s.release = span(p, inside, "release", {});
    s.refuse = span(p, inside, "refuse", {});
    s.finish_first = p.value("finish_first", false);
    s.turn_away = span(p, inside, "turn_away", s.turn_away);
    s.resend = span(p, inside, "resend", s.resend);
    s.repeat = span(p, inside, "repeat", {});
    s.cold_from = p.value("cold_from", 1.0);
    s.ramp = span(p, inside, "ramp", {});
    s.fall_multiple = p.value("fall_multiple", 0.0);
    s.fall_span = span(p, inside, "fall_span", s.fall_span);
    if (s.fall_multiple > 0.0 && s.ramp <= Duration{})
      fail(inside + "/fall_multiple", "needs a ramp: only a cold processor falls");
    const int count = c.value("count", 1);
    if (count > 1 && !c.contains("place")) one.place = 0;
    for (int i = 0; i < count; ++i) {
      CentraleSettings next = one;
      next.id = static_cast<std::uint32_t>(out.centrales.size() + 1);
      // Those that are alike stand at places of their own and, where they listen, at hosts of their own.
      next.place = one.place + static_cast<std::uint32_t>(i);
      if (one.wire == CentraleWire::lines) next.at.host = later_host(one.at.host, i);
      for (const CentraleSettings& o : out.centrales) {
        if (o.wire == CentraleWire::lines && next.wire == CentraleWire::lines &&
            base::to_text(o.at) == base::to_text(next.at))
          fail(at + "/at", "is taken by another centrale: " + base::to_text(next.at));
      }
      out.centrales.push_back(next);
    }
  }
  static std::string later_host(const std::string& host, int by) {
    std::uint32_t value = 0;
    std::size_t at = 0;
    for (int i = 0; i < 4; ++i) {
      const std::size_t dot = std::min(host.find('.', at), host.size());
      std::uint32_t part = 0;
      std::from_chars(host.data() + at, host.data() + dot, part);
      value = value << 8U | part;
      at = dot + 1;
    }
    value += static_cast<std::uint32_t>(by);
    return std::to_string(value >> 24U) + "." + std::to_string(value >> 16U & 255U) + "." +
           std::to_string(value >> 8U & 255U) + "." + std::to_string(value & 255U);
  }

  void read_trouble(const json& t, const std::string& at, CentralesSettings& out) {
    static constexpr std::pair<const char*, Trouble::Kind> kKinds[] = {
        {"pause", Trouble::Kind::pause},           {"slow", Trouble::Kind::slow},
        {"lose_lines", Trouble::Kind::lose_lines}, {"drain", Trouble::Kind::drain},
        {"replace", Trouble::Kind::replace},       {"die", Trouble::Kind::die},
        {"silent", Trouble::Kind::silent},         {"restart", Trouble::Kind::restart}};
    Trouble one;
    for (const auto& [name, kind] : kKinds) {
      if (t["do"] == name) one.kind = kind;
    }
    one.at = span(t, at, "at", {});
    one.lasts = span(t, at, "lasts", {});
    one.factor = t.value("factor", one.kind == Trouble::Kind::lose_lines ? 0.5 : 2.0);
    if (one.kind != Trouble::Kind::die && one.lasts <= Duration{})
      fail(at + "/lasts", "is missing: how long it lasts");
    if (one.kind == Trouble::Kind::lose_lines && one.factor > 1.0)
      fail(at + "/factor", "must be at most 1: the part that is lost");
    if (one.kind == Trouble::Kind::slow && one.factor <= 0.0) fail(at + "/factor", "must be above 0");
    for (const json& c : t["centrales"]) {
      const std::size_t index = c;
      if (index >= out.centrales.size())
        fail(at + "/centrales",
             "names centrale " + std::to_string(index) + " of " + std::to_string(out.centrales.size()));
      one.centrales.push_back(index);
    }
    out.troubles.push_back(std::move(one));
  }
};

CentralesSettings read(const yaml::Document& document) {
  document.check(json::parse(kCentralesSchema));
  return Reader(document).read();
}

}  // namespace

CentralesSettings read_centrales(const std::string& path) { return read(yaml::Document::read(path)); }
CentralesSettings parse_centrales(const std::string& text, const std::string& file) {
  return read(yaml::Document::parse(text, file));
}

}  // namespace reeltack::standin
