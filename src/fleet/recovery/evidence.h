// What is known of an office from one source: the instance, its state, who says so and when.
#pragma once

#include <cstdint>
#include <optional>

#include "fleet/members/ids.h"

namespace reeltack::fleet::recovery {

// One instance of an office. `start` is the reported start of its process in Unix milliseconds (0: unknown,
// long ago). The office assigns it, so it is comparable only with other starts of the same office.
struct Office {
  ServerId id{};
  std::uint64_t start = 0;
  Endpoint at{};
  std::uint32_t place = 0;
  double capacity = 1.0;
  auto operator<=>(const Office&) const = default;
};
enum class Rank : std::uint8_t { listed, survivor, own, peer, stored };
// absent: a complete list does not name it; bars the office only while that list is current.
enum class OfficeState : std::uint8_t { ready, answered, draining, gone, refused, silent, absent };
// Identifies a list of offices. Of two lists the higher takes precedence, on every member.
struct ListId {
  std::uint64_t epoch = 0, number = 0, digest = 0;
  auto operator<=>(const ListId&) const = default;
};
struct Evidence {
  Office office;
  Rank rank{};
  OfficeState state{};
  MemberId source{};                    // the member it comes from, which may be this process
  std::optional<Duration> age;          // none: unknown, counts as the oldest
  ListId list{};                        // for rank listed: the list it is from
  std::optional<Duration> uptime = {};  // of the office at that time, where known
};

}  // namespace reeltack::fleet::recovery
