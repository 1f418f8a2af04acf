#pragma once

#include <cstdint>

/// \file
/// \brief The seeded random number generator of the core. It is part of the state and the core's only source of
/// randomness, so the same events and seed give the same effects.

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

    /// \brief Random number in [0, bound).
    /// \param bound at least 1
    std::uint64_t below(std::uint64_t bound) noexcept { return next() % bound; }

    /// \brief Random number in [0, 1).
    double unit() noexcept { return static_cast<double>(next() >> 11U) * 0x1.0p-53; }

private:
    std::uint64_t m_state;
};

} // namespace arbutuscrank
