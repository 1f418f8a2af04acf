#include <arbutuscrank/entry/retry_limit.hpp>

namespace arbutuscrank::entry {

namespace {

    /// Fraction of the retry budget that is used. The rest covers windows that start at other times: a request and its
    /// retry may fall into different ones.
    constexpr double usedFraction = 0.8;

} // namespace

void RetryLimit::expire(Counts& counts, TimePoint now) const
{
    const auto oldest = now - m_window;
    while (!counts.requests.empty() && counts.requests.front() < oldest)
        counts.requests.pop_front();
    while (!counts.retries.empty() && counts.retries.front() < oldest)
        counts.retries.pop_front();
}

void RetryLimit::countRequest(const std::string& service, TimePoint now)
{
    auto& counts = m_services[service];
    expire(counts, now);
    counts.requests.push_back(now);
}

bool RetryLimit::tryTakeRetry(const std::string& service, TimePoint now)
{
    auto& counts = m_services[service];
    expire(counts, now);
    const double limit
        = usedFraction * (m_ratio * static_cast<double>(counts.requests.size()) + m_slack / static_cast<double>(m_vms));
    if (static_cast<double>(counts.retries.size()) + 1 > limit)
        return false;
    counts.retries.push_back(now);
    return true;
}

} // namespace arbutuscrank::entry
