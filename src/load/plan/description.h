// The session descriptions that fake endpoints answer with, which tell whether an answer reached the right
// caller.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace reeltack::load {

// 16 lower-case hex digits, as ids stand on the wire.
std::string hex16(std::uint64_t value);
// What a fake endpoint writes into the description of an answer, and what the generator looks for.
std::string endpoint_description(std::uint64_t call, std::string_view endpoint, std::uint64_t number);
// Empty: sound, and the endpoint is named in `endpoint`. Else: what is wrong with it.
std::string check_description(std::string_view text, std::uint64_t call, std::string* endpoint = nullptr);

}  // namespace reeltack::load
