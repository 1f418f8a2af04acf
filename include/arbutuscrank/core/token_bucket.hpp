#pragma once

#include <arbutuscrank/core/types.hpp>

/// \file
/// \brief Token bucket of one holder's share, with room set aside for tokens that are out on loan.

namespace arbutuscrank {

/// \brief Token bucket whose level plus its outstanding loans never exceed its burst.
///
/// It starts empty. Times must not decrease from call to call.
///
/// \code
/// TokenBucket bucket;
/// bucket.setShare(10 * oneToken, 5 * oneToken, now);
/// if (bucket.trySpend(oneToken, now + std::chrono::milliseconds(100)))
///     admit();
/// \endcode
class TokenBucket {
public:
    /// \brief Changes the share. Tokens earned so far count at the old rate; tokens above the new burst are dropped.
    /// \param rate micro-tokens per second, 0 or more
    /// \param burst micro-tokens, 0 or more
    void setShare(MicroTokens rate, MicroTokens burst, TimePoint now) noexcept;

    /// \brief Spends tokens if there are enough.
    [[nodiscard]] bool trySpend(MicroTokens tokens, TimePoint now) noexcept;

    /// \brief Takes tokens for a loan if there are enough, and keeps as much of the burst free until \ref settle.
    [[nodiscard]] bool tryLend(MicroTokens tokens, TimePoint now) noexcept;

    /// \brief A loan of this size can no longer be spent.
    void settle(MicroTokens tokens, TimePoint now) noexcept;

    /// \brief Tokens that can be spent now.
    [[nodiscard]] MicroTokens level(TimePoint now) noexcept;

    /// \brief Time until \p tokens can be spent if nothing else is; Duration::max() if that never happens.
    [[nodiscard]] Duration timeUntil(MicroTokens tokens, TimePoint now) noexcept;

    [[nodiscard]] MicroTokens rate() const noexcept { return m_rate; }
    [[nodiscard]] MicroTokens burst() const noexcept { return m_burst; }
    /// \brief Sum of the loans that are not settled.
    [[nodiscard]] MicroTokens lent() const noexcept { return m_lent; }

private:
    void refill(TimePoint now) noexcept;

    MicroTokens m_rate = 0;
    MicroTokens m_burst = 0;
    MicroTokens m_level = 0;
    MicroTokens m_lent = 0;
    std::int64_t m_fraction = 0; ///< earned part of a micro-token, in millionths
    TimePoint m_refilledAt;
};

} // namespace arbutuscrank
