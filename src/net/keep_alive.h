// Has the kernel find out whether the far end of a quiet connection still exists.
#pragma once

#include "net/net.h"

namespace reeltack::net {

// From now on the kernel asks the far end's kernel whether it still has this connection: tcp(7),
// SO_KEEPALIVE. One that does not know the connection resets it, and one that answers nothing for some
// seconds ends it with ETIMEDOUT. Costs the program at the far end nothing. A failure is ignored: the
// connection stays as it was.
void keep_alive(const Fd& connection);

}  // namespace reeltack::net
