#pragma once

#include <arbutuscrank/core/types.hpp>

/// \file
/// \brief Token bucket of one holder's share, with capacity reserved for outstanding loans.

namespace arbutuscrank {

/// \brief Token bucket that refills up to its burst less its outstanding loans. After \ref setShare has lowered the
/// burst, the outstanding loans alone may exceed it.
///
/// It starts empty. The times passed to it must not decrease from call to call.
///
/// \code
/// TokenBucket bucket;
/// bucket.setShare(10 * oneToken, 5 * oneToken, now);
/// if (bucket.trySpend(oneToken, now + std::chrono::milliseconds(100)))
///     admit();
/// \endcode
class TokenBucket {
public:
    /// \brief Changes the share. Time up to \p now earns at the old rate. Tokens above the new burst are dropped.
    /// \param rate micro-tokens per second, 0 or more
    /// \param burst micro-tokens, 0 or more
    void setShare(MicroTokens rate, MicroTokens burst, TimePoint now) noexcept;

    /// \brief Spends tokens if there are enough.
    /// \returns false if there are not, and then spends none
    [[nodiscard]] bool trySpend(MicroTokens tokens, TimePoint now) noexcept;

    /// \brief Takes tokens for a loan if there are enough, and reserves as much of the burst until \ref releaseLoan.
    /// \returns false if there are not enough, and then takes none
    [[nodiscard]] bool tryLend(MicroTokens tokens, TimePoint now) noexcept;

    /// \brief Frees the part of the burst that is reserved for a loan of this size, because the borrower can no longer
    /// spend it.
    void releaseLoan(MicroTokens tokens, TimePoint now) noexcept;

    /// \brief Number of micro-tokens that can be spent now.
    [[nodiscard]] MicroTokens level(TimePoint now) noexcept;

    /// \brief Time in which the rate earns the tokens that the level lacks. Ignores that outstanding loans limit the
    /// level, so the tokens may come later.
    /// \returns zero if they can be spent now; Duration::max() if the rate is 0 or \p tokens exceeds the burst
    [[nodiscard]] Duration timeUntil(MicroTokens tokens, TimePoint now) noexcept;

    [[nodiscard]] MicroTokens rate() const noexcept { return m_rate; }
    [[nodiscard]] MicroTokens burst() const noexcept { return m_burst; }
    /// \brief Sum of the outstanding loans.
    [[nodiscard]] MicroTokens lent() const noexcept { return m_lent; }

private:
    void refill(TimePoint now) noexcept;

    MicroTokens m_rate = 0;
    MicroTokens m_burst = 0;
    MicroTokens m_level = 0;
    MicroTokens m_lent = 0;
    std::int64_t m_microTokenMillionths = 0; ///< earned fraction of a micro-token, in millionths
    TimePoint m_refilledAt;
};

} // namespace arbutuscrank
