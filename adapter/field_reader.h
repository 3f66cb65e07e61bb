// Reads the big-endian fields of a frame; an error names the byte at which the input ends too early.
#pragma once

#include <algorithm>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "wire.h"

namespace reeltack::wire {

// Reads bytes that it does not own, in order. Each take function throws WireError if too few bytes remain.
class FieldReader {
 public:
  // `offset`: position of the first of these bytes in the frame; `what`: their name in error texts.
  FieldReader(std::span<const std::uint8_t> bytes, std::size_t offset, const char* what)
      : bytes_(bytes), offset_(offset), what_(what) {}

  template <typename Int>
  Int take() {
    require(sizeof(Int));
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(Int); ++i) value = value << 8U | bytes_[position_ + i];
    position_ += sizeof(Int);
    return static_cast<Int>(value);
  }
  float take_float() { return std::bit_cast<float>(take<std::uint32_t>()); }
  Duration take_duration() {
    const auto ns = take<std::uint64_t>();
    return Duration{static_cast<Duration::rep>(std::min<std::uint64_t>(ns, INT64_MAX))};
  }
  Time take_time() { return Time{take_duration()}; }
  std::span<const std::uint8_t> take_bytes(std::size_t count) {
    require(count);
    const auto taken = bytes_.subspan(position_, count);
    position_ += count;
    return taken;
  }
  std::vector<float> take_floats() {
    std::vector<float> values(take<std::uint8_t>());
    for (float& value : values) value = take_float();
    return values;
  }
  [[nodiscard]] std::size_t remaining() const { return bytes_.size() - position_; }
  [[nodiscard]] std::size_t offset() const { return offset_ + position_; }

 private:
  void require(std::size_t count) const {
    if (remaining() >= count) return;
    throw WireError(std::string(what_) + " cut short at byte " + std::to_string(offset()) + ": " +
                    std::to_string(count) + " bytes expected, " + std::to_string(remaining()) + " left");
  }
  std::span<const std::uint8_t> bytes_;
  std::size_t offset_;
  const char* what_;
  std::size_t position_ = 0;
};

}  // namespace reeltack::wire
