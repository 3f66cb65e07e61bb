// The Q.850 causes that a trunk group sends and understands, as the far end's core and ours mean them.
#pragma once

namespace reeltack::trunk {

constexpr int kBusy = 17;
constexpr int kFull = 34;
constexpr int kCongestion = 42;  // the far controller had no room: its processors, not its circuits
constexpr int kNotAvailable = 44;
constexpr int kFailed = 47;

}  // namespace reeltack::trunk
