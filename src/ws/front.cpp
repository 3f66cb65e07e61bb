#include "ws/front.h"

#include "ws/connection.h"

namespace reeltack::ws {
namespace {

// A connection whose handshake is not complete counts as a client's.
bool is_client(const net::Peer& peer) { return !static_cast<const Connection&>(peer).serves_endpoint(); }

}  // namespace

Frontend::Frontend(core::Core& core, core::OfficeList& list, Setup setup)
    : core_(core), list_(list), setup_(std::move(setup)), listener_(setup_.connections, [this](net::Fd fd) {
        return std::make_shared<Connection>(*this, std::move(fd));
      }) {}

void Frontend::close_clients() { listener_.close_idle(is_client); }
void Frontend::close_clients_now() { listener_.close_now(is_client); }
bool Frontend::clients_closed() { return listener_.closed(is_client); }

}  // namespace reeltack::ws
