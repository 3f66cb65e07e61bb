// Fuzzing of what a peer may send: the first byte says whether a datagram or a frame follows. What is taken
// is taken again, as the same bytes, once it was written.
#include <cstddef>
#include <cstdint>
#include <cstdlib>

#include "fleet/link/codec.h"

namespace {

template <class Decode>
void there_and_back(std::string_view bytes, std::size_t skip, Decode decode) {
  using namespace reeltack::fleet;
  std::string again;
  try {
    const auto read = decode(bytes);
    if (read.envelope.version != kNewestVersion) return;  // the envelope alone was read
    again = link::encode(read).substr(skip);
  } catch (const link::CodecError&) {
    return;  // no message, or longer than is sent
  }
  if (link::encode(decode(again)).substr(skip) != again) std::abort();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace reeltack::fleet;
  if (size == 0) return 0;
  const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
  if ((data[0] & 1U) == 0 && link::is_push(bytes))
    there_and_back(bytes, 0, link::decode_push);
  else if ((data[0] & 1U) == 0)
    there_and_back(bytes, 0, link::decode_message);
  else
    there_and_back(bytes, link::kFrameLengthBytes, link::decode_exchange);
  return 0;
}
