#pragma once

// Asio with the one warning of its own silenced that GCC's thread sanitizer build gives: the fence
// in its atomic helpers, which the sanitizer does not model.
#if defined(__GNUC__) && !defined(__clang__)
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wtsan"
#endif
#include <asio.hpp>
#if defined(__GNUC__) && !defined(__clang__)
#pragma GCC diagnostic pop
#endif
