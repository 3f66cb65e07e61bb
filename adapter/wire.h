// The wire between the platform and the adapter: batches of records in, replies out. Encoding and decoding
// only. Integers are big-endian; times and durations are in nanoseconds.
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

// Malformed input; the text names the fault and the byte of the frame.
class WireError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

inline constexpr std::size_t kBatchHeaderBytes = 20;
inline constexpr std::size_t kReplyHeaderBytes = 12;

// Names the instance to which the records that follow belong.
struct About {
  std::uint32_t instance = 0;
};
// Starts an instance; `params` is the text of its settings.
struct Launch {
  std::uint64_t seed = 0;
  std::string params;
};
// Ends an instance.
struct Teardown {};
// Defines a list of servers, to which announcements refer by number.
struct List {
  std::uint8_t number = 0;
  std::vector<ServerEntry> entries;
};
enum class AnnounceForm : std::uint8_t { delta = 0, full = 1, cached = 2, failed = 3 };
// A list of servers was received, or could not be obtained.
struct Announce {
  std::uint64_t version = 0;
  AnnounceForm form = AnnounceForm::delta;
  std::uint8_t list = 0;
};
// Events with the raw values of a load report; their meaning depends on the columns in the instance's
// settings.
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

// The number of bytes that follow the header of a batch.
std::uint32_t body_length(std::span<const std::uint8_t> header);
// Decodes a complete frame, header and body. Records with unknown codes are skipped.
Batch decode_batch(std::span<const std::uint8_t> frame);

// Collects the records of one reply.
class ReplyWriter {
 public:
  explicit ReplyWriter(std::uint32_t number) : number_(number) {}
  // The actions that follow are those of this instance.
  void about(std::uint32_t instance);
  void action(const Action& action);
  // The instance cannot run; `line` tells the cause.
  void die(const std::string& line);
  // Returns the complete frame.
  [[nodiscard]] Bytes finish() const;

 private:
  std::uint32_t number_;
  std::uint32_t records_ = 0;
  Bytes body_;
};

}  // namespace reeltack::wire
