// Boost.Asio, with what its headers forget to include before it.
//
// Owns: nothing.
// Must never: be included by what is linked into reeltack.
#pragma once

// clang-format off
#include <utility>
#include <boost/asio.hpp>
// clang-format on
