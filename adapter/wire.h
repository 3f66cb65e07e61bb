// The wire: frames, records and their fields. Encoding and decoding only.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <stdexcept>
#include <string>
#include <variant>
#include <vector>

#include "reeltack/controller.h"

namespace reeltack::wire {

using Bytes = std::vector<std::uint8_t>;

// Malformed input; the text says what and at which byte of the frame.
class WireError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

inline constexpr std::size_t kBatchHeader = 20;
inline constexpr std::size_t kReplyHeader = 12;

// The instance that the records behind it are for.
struct About {
  std::uint32_t instance = 0;
};
// An instance begins; `params` is the text of its settings.
struct Launch {
  std::uint64_t seed = 0;
  std::string params;
};
struct Teardown {};
struct List {
  std::uint8_t number = 0;
  std::vector<ServerEntry> entries;
};
enum class AnnounceForm : std::uint8_t { delta = 0, full = 1, cached = 2, failed = 3 };
// A list of servers has come, or could not be had.
struct Announce {
  std::uint64_t version = 0;
  AnnounceForm form = AnnounceForm::delta;
  std::uint8_t list = 0;
};
// Events whose load values have still to be named by the instance's settings.
struct Finished {
  AttemptEnded ended;
  std::vector<float> values;
};
struct PingResult {
  ServerReported reported;
  std::vector<float> values;
};

using Record = std::variant<About, Launch, Teardown, List, Announce, CallArrived, CallEstablished, Finished,
                            CallerLeft, TimerFired, PingResult, PeerMessageReceived>;

struct Batch {
  std::uint32_t number = 0;
  Time now{};
  std::vector<Record> records;
};

// Bytes that follow the header of a batch.
std::uint32_t body_length(std::span<const std::uint8_t> header);
// A whole frame, header and body. Unknown codes are skipped by their length.
Batch decode_batch(std::span<const std::uint8_t> frame);

// Collects the records of one reply.
class ReplyWriter {
 public:
  explicit ReplyWriter(std::uint32_t number) : number_(number) {}
  void about(std::uint32_t instance);
  void action(const Action& action);
  void die(const std::string& line);
  [[nodiscard]] Bytes finish() const;  // the whole frame

 private:
  std::uint32_t number_;
  std::uint32_t records_ = 0;
  Bytes body_;
};

}  // namespace reeltack::wire
