#include "ws/front.h"

#include "ws/connection.h"

namespace reeltack::ws {

Front::Front(core::Core& core, core::OfficeList& list, Setup setup)
    : core_(core), list_(list), setup_(std::move(setup)), door_(setup_.connections, [this](net::Fd fd) {
        return std::make_shared<Connection>(*this, std::move(fd));
      }) {}

}  // namespace reeltack::ws
