#pragma once

#include <arbutuscrank/core/random.hpp>

#include <cstdint>

/// \file
/// \brief Hash for rendezvous hashing.

namespace arbutuscrank::entry {

/// \brief Mixes two hashes. The order of the arguments matters.
[[nodiscard]] inline std::uint64_t mixHashes(std::uint64_t a, std::uint64_t b) noexcept
{
    return Random(a ^ (b * 0x9e3779b97f4a7c15ULL)).next();
}

} // namespace arbutuscrank::entry
