// Fuzzes what a peer may send. The first byte selects datagram or frame. What is decoded must encode to bytes
// that decode and encode to the same bytes again.
#include <cstddef>
#include <cstdint>
#include <cstdlib>

#include "fleet/link/codec.h"

namespace {

template <class Decode>
void check_round_trip(std::string_view bytes, std::size_t skip, Decode decode) {
  using namespace reeltack::fleet;
  std::string again;
  try {
    const auto read = decode(bytes);
    if (read.envelope.version != kNewestVersion) return;  // the envelope alone was read
    again = link::encode(read).substr(skip);
  } catch (const link::CodecError&) {
    return;  // invalid, or too long to be sent
  }
  if (link::encode(decode(again)).substr(skip) != again) std::abort();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace reeltack::fleet;
  if (size == 0) return 0;
  const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
  if ((data[0] & 1U) == 0 && link::is_push(bytes))
    check_round_trip(bytes, 0, link::decode_push);
  else if ((data[0] & 1U) == 0)
    check_round_trip(bytes, 0, link::decode_message);
  else
    check_round_trip(bytes, link::kFrameLengthBytes, link::decode_exchange);
  return 0;
}
