#pragma once

#include <cstdint>

/// \file
/// \brief The core's only source of randomness: a seeded generator that is part of the state.

namespace arbutuscrank {

/// \brief SplitMix64 generator (Steele, Lea, Flood, "Fast Splittable Pseudorandom Number Generators", 2014).
class Random {
public:
    explicit Random(std::uint64_t seed) noexcept
        : m_state(seed)
    {
    }

    /// \brief Next 64 random bits.
    std::uint64_t next() noexcept
    {
        m_state += 0x9e3779b97f4a7c15ULL;
        std::uint64_t z = m_state;
        z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
        z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
        return z ^ (z >> 31U);
    }

    /// \brief Number in [0, bound). \param bound at least 1
    std::uint64_t below(std::uint64_t bound) noexcept { return next() % bound; }

    /// \brief Number in [0, 1).
    double unit() noexcept { return static_cast<double>(next() >> 11U) * 0x1.0p-53; }

private:
    std::uint64_t m_state;
};

} // namespace arbutuscrank
