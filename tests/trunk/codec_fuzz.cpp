// Fuzzing of what a far end may send: the decoder, and the state behind it. Whatever comes, the books add up.
#include <cstddef>
#include <cstdint>
#include <cstdlib>

#include "circuits/group.h"
#include "trunk/codec.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace reeltack;
  circuits::GroupSettings settings;
  settings.size = 8;
  settings.own = 2;
  settings.far = 1;
  circuits::Group group(settings);
  circuits::GroupActions actions;
  Time now{std::chrono::seconds(1000)};
  group.connected(now, actions);
  std::string_view bytes(reinterpret_cast<const char*>(data), size);
  std::uint64_t calls = 0;
  try {
    for (std::size_t used = 0;; bytes.remove_prefix(used)) {
      const auto frame = trunk::decode(bytes, used);
      if (!frame) break;
      if (!frame->signal) continue;
      if (!group.receive(now, frame->signal->message, actions)) {
        group.disconnected(now, actions);
        group.connected(now, actions);
      }
      // This end has calls of its own meanwhile, and answers what it is offered.
      for (std::size_t i = 0, n = actions.size(); i < n; ++i) {
        if (const auto* o = std::get_if<circuits::Offered>(&actions[i])) group.answer(now, o->call, actions);
      }
      group.seize(now, 0xa000 + ++calls, actions);
      actions.clear();
      now += std::chrono::milliseconds(200);
      group.fire(now, actions);
      group.check();
    }
  } catch (const trunk::CodecError&) {
    return 0;
  }
  return 0;
}
