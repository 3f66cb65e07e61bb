// Linked into the program itself (reeltack_start_faults): the n-th call of a kind fails from the start on, as
// the environment says, and the program's end tells on standard error how many calls were failed.
//
// REELTACK_FAULT: "CALL NUMBER ERRNO", as "bind 2 98".
#include <cstdlib>
#include <iostream>
#include <sstream>

#include "system_calls/faults.h"

namespace reeltack::test::faults {
namespace {

class FaultOfTheEnvironment {
 public:
  FaultOfTheEnvironment() {
    const char* text = std::getenv("REELTACK_FAULT");
    if (text == nullptr) return;
    std::istringstream words(text);
    std::string name;
    Fault fault;
    words >> name >> fault.first >> fault.error;
    for (std::size_t n = 0; n < kCalls; ++n) {
      if (name == name_of(static_cast<Call>(n))) fault.call = static_cast<Call>(n);
    }
    arm(fault);
  }
  ~FaultOfTheEnvironment() { std::cerr << "calls failed: " << failed() << "\n"; }
  FaultOfTheEnvironment(const FaultOfTheEnvironment&) = delete;
  FaultOfTheEnvironment& operator=(const FaultOfTheEnvironment&) = delete;
};

const std::ios_base::Init streams;  // outlive it
const FaultOfTheEnvironment fault_of_the_environment;

}  // namespace
}  // namespace reeltack::test::faults
