// What each function that stands in the place of the C library's asks before it calls it.
//
// Owns: nothing. Must never: be included by a test.
#pragma once

#include "system_calls/faults.h"

namespace reeltack::test::faults {

enum class Verdict { pass, fail, shortened };
// Counts one call; says whether it is to fail. `port`: of a connect.
Verdict meet(Call call, int port = 0);
int fail();  // -1, with the errno of the call that was met last
// After these a connection is over, in the kernel as well.
bool ends_connection(int error);
bool exempt_now();

}  // namespace reeltack::test::faults
