// Dynamic updates (RFC 2136) over TCP, to the one zone that is served.
//
// Owns: the zone once it is loaded, each update as a whole or not at all, the zone's file, and what the
//   endpoint list hears of it. An endpoint that leaves the zone drains. An update is confirmed once the
//   zone's file is durable, and refused (SERVFAIL) where it cannot be written; the zone goes on as it was.
//   How one update is read and carried out: dns/update_message.h.
// Must never: answer queries, take half an update, or take one from another machine.
#pragma once

#include "base/outage.h"
#include "core/office_list.h"
#include "dns/update_message.h"
#include "dns/zone.h"
#include "net/door.h"
#include "net/net.h"

namespace reeltack::dns {

class UpdateServer {
 public:
  // The zone's endpoints are notified at once. `file`: where changes are kept; empty: nowhere.
  UpdateServer(core::OfficeList& list, Zone zone, std::string service, std::string file);
  void open(const net::Address& at) { door_.open(at); }  // throws std::runtime_error
  void close_all() { door_.close_all(); }
  std::string answer(std::string_view message);  // a whole message in, its answer out

 private:
  void tell();
  bool keep(const Zone& zone);
  core::OfficeList& list_;
  const std::string service_;
  const std::string file_;
  std::mutex lock_;
  base::Outage outage_;  // of the zone's file
  Zone zone_;
  std::map<ServerId, core::OfficeEntry> told_;
  net::ConnectionListener door_;
};

}  // namespace reeltack::dns
