#include <arbutuscrank/core/token_bucket.hpp>

#include <algorithm>

namespace arbutuscrank {

namespace {

    /// 128 bits, because the product of a link's rate in micro-tokens (5e14 for 4 Gbit/s) and a time in microseconds
    /// overflows 64 bits.
    __extension__ using Int128 = __int128;

    constexpr std::int64_t microsPerSecond = 1'000'000;

} // namespace

void TokenBucket::refill(TimePoint now) noexcept
{
    const auto elapsed = (now - m_refilledAt).count();
    if (elapsed <= 0)
        return;
    m_refilledAt = now;
    const auto capacity = std::max<MicroTokens>(0, m_burst - m_lent);
    const Int128 earned = Int128(m_rate) * elapsed + m_microTokenMillionths;
    const Int128 level = Int128(m_level) + earned / microsPerSecond;
    m_microTokenMillionths = level < capacity ? static_cast<std::int64_t>(earned % microsPerSecond) : 0;
    m_level = static_cast<MicroTokens>(std::min<Int128>(level, capacity));
}

void TokenBucket::setShare(MicroTokens rate, MicroTokens burst, TimePoint now) noexcept
{
    refill(now);
    m_rate = rate;
    m_burst = burst;
    m_level = std::min(m_level, std::max<MicroTokens>(0, m_burst - m_lent));
}

bool TokenBucket::trySpend(MicroTokens tokens, TimePoint now) noexcept
{
    refill(now);
    if (m_level < tokens)
        return false;
    m_level -= tokens;
    return true;
}

bool TokenBucket::tryLend(MicroTokens tokens, TimePoint now) noexcept
{
    if (!trySpend(tokens, now))
        return false;
    m_lent += tokens;
    return true;
}

void TokenBucket::releaseLoan(MicroTokens tokens, TimePoint now) noexcept
{
    refill(now); // the loan has limited the capacity until now
    m_lent -= tokens;
}

MicroTokens TokenBucket::level(TimePoint now) noexcept
{
    refill(now);
    return m_level;
}

Duration TokenBucket::timeUntil(MicroTokens tokens, TimePoint now) noexcept
{
    refill(now);
    if (m_level >= tokens)
        return Duration::zero();
    if (m_rate <= 0 || tokens > m_burst)
        return Duration::max();
    const Int128 missing = Int128(tokens - m_level) * microsPerSecond;
    const Int128 micros = (missing + m_rate - 1) / m_rate;
    return Duration(static_cast<std::int64_t>(std::min<Int128>(micros, Duration::max().count())));
}

} // namespace arbutuscrank
