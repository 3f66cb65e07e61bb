// The fronts beside the two wires: what their file says, checked.
//
// Owns: reading `fronts` (WebSocket, zone, trunks, admin, fleet).
// Must never: open a socket or a file; it is given the JSON.
#include "config/section.h"

namespace reeltack::config {

using base::Json;

Fronts read_fronts(const Json& json, const std::string& source) {
  const Section top(&json, source);
  top.only({"websocket", "zone", "trunks", "admin", "fleet"});
  Fronts out;
  const Section websocket = top.at("websocket");
  websocket.only({"on", "listen", "connections", "origins"});
  if (websocket.flag("on", false)) {
    out.websocket = websocket.address("listen");
    if (!out.websocket) websocket.fail("listen", "is missing");
    if (const Json* origins = websocket.find("origins")) {
      if (origins->array() == nullptr) websocket.fail("origins", "must be a list of strings");
      for (const Json& origin : *origins->array()) {
        if (origin.string() == nullptr) websocket.fail("origins", "must be a list of strings");
        out.websocket_origins.push_back(*origin.string());
      }
    }
    out.websocket_connections = static_cast<std::size_t>(websocket.number("connections", 1, 100000, 128.0));
  }
  const Section trunks = top.at("trunks");
  trunks.only({"on", "file"});
  if (trunks.flag("on", false)) out.trunks_file = trunks.text("file");
  const Section fleet = top.at("fleet");
  fleet.only({"on", "file"});
  if (fleet.flag("on", false)) out.fleet_file = fleet.text("file");
  const Section admin = top.at("admin");
  admin.only({"on", "socket"});
  if (admin.flag("on", false)) {
    out.admin_socket = admin.text("socket");
    constexpr std::size_t kMostPath = 100;  // sockaddr_un holds 108 bytes
    if (out.admin_socket.empty() || out.admin_socket.size() > kMostPath)
      admin.fail("socket", "must be a path of 1 to 100 bytes");
  }
  const Section zone = top.at("zone");
  zone.only({"on", "file", "service", "updates"});
  if (zone.flag("on", false)) {
    out.zone_file = zone.text("file");
    out.zone_service = zone.text("service");
    if (out.zone_service.empty() || out.zone_service.back() != '.')
      zone.fail("service", "must be a whole domain name that ends in a dot");
    out.updates = zone.address("updates");
    // Updates carry no signature here, so only this machine may send them.
    if (out.updates && out.updates->host.rfind("127.", 0) != 0)
      zone.fail("updates", "must be a loopback address");
  }
  return out;
}

}  // namespace reeltack::config
