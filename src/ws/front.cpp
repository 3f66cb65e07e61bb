#include "ws/front.h"

#include "ws/connection.h"

namespace reeltack::ws {
namespace {

// One that has not asked for a path yet may be a client's.
bool is_client(const net::Peer& peer) { return !static_cast<const Connection&>(peer).serves_endpoint(); }

}  // namespace

Frontend::Frontend(core::Core& core, core::OfficeList& list, Setup setup)
    : core_(core), list_(list), setup_(std::move(setup)), door_(setup_.connections, [this](net::Fd fd) {
        return std::make_shared<Connection>(*this, std::move(fd));
      }) {}

void Frontend::close_clients() { door_.close_idle(is_client); }
void Frontend::close_clients_now() { door_.close_now(is_client); }
bool Frontend::clients_closed() { return door_.closed(is_client); }

}  // namespace reeltack::ws
