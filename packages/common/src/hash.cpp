#include "plantaindoor/common/hash.hpp"

#include <xxhash.h>

namespace plantaindoor {

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed) noexcept
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

} // namespace plantaindoor
