// A stable hash, equal in every process and release.
#pragma once

#include <cstdint>
#include <string_view>

namespace plantaindoor {

/// Hashes bytes with a seed. Thread-safe; the same value on every machine.
[[nodiscard]] std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0) noexcept;

} // namespace plantaindoor
