// Calls that stand at an endpoint whose connections the test holds, and time that passes for its link.
#pragma once

#include "crossings/endpoint_world.h"

namespace reeltack::test {

class EstablishedCalls : public EndpointWorld {
 protected:
  // The set-up comes on that connection, and the endpoint answers it there.
  void establish(CallId call, const net::Fd& connection) {
    request(call);
    ASSERT_TRUE(is(line(connection), "START", call));
    say(connection, started_line(call));
    turns();
    ASSERT_TRUE(callers_.await(call, 1));
  }
  void turn_for(Duration span) {
    for (const Time by = net::now() + span; net::now() < by;) {
      turn();
      net::pause_until(net::now() + 5ms);
    }
  }
};

}  // namespace reeltack::test
