// Server of dynamic updates (RFC 2136) over TCP, for the one zone that is served.
//
// Holds the zone once it is loaded, applies each update completely or not at all, writes the zone's file, and
// publishes the zone's endpoints to the office list. An endpoint that is removed from the zone is listed as
// draining, and removed from the list once it holds no calls (dns/leaving_offices.h). An update is confirmed
// once the zone's file is durable, and refused (SERVFAIL) if the file cannot be written; the zone then stays
// as it was. While two processes serve the zone, each follows what the other has written (dns/zone_file.h).
// Queries are not answered. Updates carry no signature, so the address that open() is given must accept
// connections of this host only. One update is applied by dns/update_message.h.
#pragma once

#include "core/office_list.h"
#include "dns/leaving_offices.h"
#include "dns/offices_in_use.h"
#include "dns/update_message.h"
#include "dns/zone.h"
#include "dns/zone_file.h"
#include "net/connection_listener.h"
#include "net/net.h"

namespace reeltack::dns {

class UpdateServer {
 public:
  // Publishes the zone's endpoints at once. `file`: where changes are stored, and those of other processes
  // are read; empty: nowhere.
  UpdateServer(core::OfficeList& list, Zone zone, std::string service, std::string file);
  void open(const net::Address& at);  // throws std::runtime_error
  // Hands new connections over to a successor process, if one listens (net::ConnectionListener::yield).
  void yield();
  void close_all() { listener_.close_all(); }
  std::string answer(std::string_view message);  // returns the answer to one complete message
  // To be called at intervals: takes over what another process has written, and removes endpoints that have
  // left the zone and hold no calls.
  void follow();

 private:
  class Follower;
  int update(std::string_view message);
  bool take_over();
  void publish();
  void list_as_draining(core::OfficeEntry& endpoint, std::vector<core::OfficeEntry>& changes);
  void remove_idle();
  void remove(const std::vector<ServerId>& endpoints);
  [[nodiscard]] ServerId id_at_address(const core::OfficeEntry& endpoint) const;
  core::OfficeList& list_;
  const std::string service_;
  std::mutex lock_;
  ZoneFile file_;
  Zone zone_;
  std::map<ServerId, core::OfficeEntry> published_;
  LeavingOffices leaving_;
  std::shared_ptr<OfficesInUse> asked_;  // while the core has been asked
  Time ask_at_{};                        // not again before
  net::ConnectionListener listener_;
};

}  // namespace reeltack::dns
