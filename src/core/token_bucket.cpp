#include <arbutuscrank/core/token_bucket.hpp>

#include <algorithm>

namespace arbutuscrank {

namespace {

    /// Rates of links in micro-tokens (5e14 for 4 Gbit/s) times microseconds do not fit into 64 bits.
    __extension__ using Wide = __int128;

    constexpr std::int64_t microsPerSecond = 1'000'000;

} // namespace

void TokenBucket::refill(TimePoint now) noexcept
{
    const auto elapsed = (now - m_refilledAt).count();
    if (elapsed <= 0)
        return;
    m_refilledAt = now;
    const auto capacity = std::max<MicroTokens>(0, m_burst - m_lent);
    const Wide earned = Wide(m_rate) * elapsed + m_fraction;
    const Wide level = Wide(m_level) + earned / microsPerSecond;
    m_fraction = level < capacity ? static_cast<std::int64_t>(earned % microsPerSecond) : 0;
    m_level = static_cast<MicroTokens>(std::min<Wide>(level, capacity));
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

void TokenBucket::settle(MicroTokens tokens, TimePoint now) noexcept
{
    refill(now); // until now the loan took up part of the burst
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
    const Wide missing = Wide(tokens - m_level) * microsPerSecond;
    const Wide micros = (missing + m_rate - 1) / m_rate;
    return Duration(static_cast<std::int64_t>(std::min<Wide>(micros, Duration::max().count())));
}

} // namespace arbutuscrank
