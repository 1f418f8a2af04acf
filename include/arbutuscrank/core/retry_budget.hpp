#pragma once

#include <algorithm>
#include <cstdint>

/// \file
/// \brief Limits retries to a share of first tries, so that retries cannot multiply an overload.

namespace arbutuscrank {

/// \brief Token counter of one service.
class RetryBudget {
public:
    /// Retries that may be saved up.
    static constexpr std::uint32_t maxSaved = 10;
    /// Retries at the start, so that a service without traffic can retry its first request.
    static constexpr std::uint32_t initial = 3;

    /// \brief Retries per hundred first tries.
    void setPercent(std::uint32_t percent) noexcept { m_percent = percent; }

    void countFirstTry() noexcept { m_hundredths = std::min(m_hundredths + m_percent, maxSaved * oneRetry); }

    /// \brief Takes one retry. \returns false if there is none
    [[nodiscard]] bool take() noexcept
    {
        if (m_hundredths < oneRetry)
            return false;
        m_hundredths -= oneRetry;
        return true;
    }

private:
    static constexpr std::uint32_t oneRetry = 100;

    std::uint32_t m_percent = 10;
    std::uint32_t m_hundredths = initial * oneRetry;
};

} // namespace arbutuscrank
