#pragma once

#include <algorithm>
#include <cstdint>

/// \file
/// \brief Limits retries to a percentage of the first attempts, so that retries cannot amplify an overload.

namespace arbutuscrank {

/// \brief Retry budget of one service. Each first attempt adds a fraction of a retry; each retry takes a whole one.
class RetryBudget {
public:
    /// Maximum number of unused retries that accumulate.
    static constexpr std::uint32_t maxSavedRetries = 10;
    /// Retries at the start, so that a service without traffic can retry its first request.
    static constexpr std::uint32_t initialRetries = 3;

    /// \brief Sets the number of retries per hundred first attempts.
    void setPercent(std::uint32_t percent) noexcept { m_percent = percent; }

    /// \brief Adds the fraction of a retry that a first attempt earns.
    void countFirstTry() noexcept
    {
        m_retryHundredths = std::min(m_retryHundredths + m_percent, maxSavedRetries * hundredthsPerRetry);
    }

    /// \brief Takes one retry from the budget.
    /// \returns false if less than one retry is left
    [[nodiscard]] bool tryTake() noexcept
    {
        if (m_retryHundredths < hundredthsPerRetry)
            return false;
        m_retryHundredths -= hundredthsPerRetry;
        return true;
    }

private:
    static constexpr std::uint32_t hundredthsPerRetry = 100;

    std::uint32_t m_percent = 10;
    std::uint32_t m_retryHundredths = initialRetries * hundredthsPerRetry;
};

} // namespace arbutuscrank
