// Reads batches from standard input and writes one reply to each on standard output until the input ends.
// Messages go to standard error; the exit status is 1 after malformed input or a failed write.
#include <cstdio>
#include <exception>

#include "host.h"

namespace {

using reeltack::wire::Bytes;

// Returns the number of bytes read; fewer than `count` only at the end of the input.
std::size_t read_up_to(std::uint8_t* to, std::size_t count) { return std::fread(to, 1, count, stdin); }

// Appends `length` bytes to the frame; false if the input ends before. Reads in chunks, so that a length
// beyond the end of the input allocates no more memory than the input has, up to one chunk.
bool read_body(Bytes& frame, std::size_t length) {
  constexpr std::size_t kChunkBytes = 1U << 20U;
  while (length > 0) {
    const std::size_t chunk = length < kChunkBytes ? length : kChunkBytes;
    const std::size_t start = frame.size();
    frame.resize(start + chunk);
    const std::size_t got = read_up_to(frame.data() + start, chunk);
    if (got < chunk) {
      frame.resize(start + got);
      return false;
    }
    length -= chunk;
  }
  return true;
}

int run() {
  using namespace reeltack::wire;
  Host host([](const std::string& line) { std::fprintf(stderr, "reeltack: %s\n", line.c_str()); });
  for (unsigned long long batch = 0;; ++batch) {
    Bytes frame(kBatchHeaderBytes);
    const std::size_t got = read_up_to(frame.data(), frame.size());
    if (got == 0) return 0;
    if (got < frame.size()) {
      std::fprintf(stderr, "reeltack: input ends within the header of frame %llu, at byte %zu\n", batch, got);
      return 1;
    }
    try {
      if (!read_body(frame, body_length(frame))) {
        std::fprintf(stderr, "reeltack: input ends within frame %llu, at byte %zu\n", batch, frame.size());
        return 1;
      }
      const Bytes reply = host.answer(frame);
      if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() || std::fflush(stdout) != 0) {
        std::fprintf(stderr, "reeltack: cannot write the reply to frame %llu\n", batch);
        return 1;
      }
    } catch (const WireError& error) {
      std::fprintf(stderr, "reeltack: frame %llu: %s\n", batch, error.what());
      return 1;
    }
  }
}

}  // namespace

int main() {
  try {
    return run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "reeltack: %s\n", error.what());
    return 1;
  }
}
