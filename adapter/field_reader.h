// Reads the fields of a frame, big-endian, and names the byte where they end too early.
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

// Reads bytes that it does not own, in order. Every take throws WireError where too few are left.
class FieldReader {
 public:
  // `offset`: of the first byte in the frame; `what` these bytes are, for errors.
  FieldReader(std::span<const std::uint8_t> bytes, std::size_t offset, const char* what)
      : bytes_(bytes), offset_(offset), what_(what) {}

  template <typename Int>
  Int take() {
    need(sizeof(Int));
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(Int); ++i) value = value << 8U | bytes_[at_ + i];
    at_ += sizeof(Int);
    return static_cast<Int>(value);
  }
  float take_float() { return std::bit_cast<float>(take<std::uint32_t>()); }
  Duration take_duration() {
    const auto ns = take<std::uint64_t>();
    return Duration{static_cast<Duration::rep>(std::min<std::uint64_t>(ns, INT64_MAX))};
  }
  Time take_time() { return Time{take_duration()}; }
  std::span<const std::uint8_t> take_bytes(std::size_t count) {
    need(count);
    const auto part = bytes_.subspan(at_, count);
    at_ += count;
    return part;
  }
  std::vector<float> take_floats() {
    std::vector<float> values(take<std::uint8_t>());
    for (float& value : values) value = take_float();
    return values;
  }
  [[nodiscard]] std::size_t left() const { return bytes_.size() - at_; }
  [[nodiscard]] std::size_t offset() const { return offset_ + at_; }

 private:
  void need(std::size_t count) const {
    if (left() >= count) return;
    throw WireError(std::string(what_) + " cut short at byte " + std::to_string(offset()) + ": " +
                    std::to_string(count) + " bytes wanted, " + std::to_string(left()) + " left");
  }
  std::span<const std::uint8_t> bytes_;
  std::size_t offset_;
  const char* what_;
  std::size_t at_ = 0;
};

}  // namespace reeltack::wire
