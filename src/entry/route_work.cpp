#include <arbutuscrank/entry/route_work.hpp>

#include <boost/histogram/indexed.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace arbutuscrank::entry {

namespace {

    constexpr unsigned binCount = 64;
    constexpr double minSeconds = 1e-3;
    constexpr double maxSeconds = 100;
    constexpr double decaySeconds = 10;
    /// The weights are reduced at most this often, because each time all bins are multiplied.
    constexpr Duration decayInterval = std::chrono::milliseconds(500);

} // namespace

RouteWork::RouteWork()
    : m_histogram(std::make_tuple(Axis(binCount, minSeconds, maxSeconds)))
{
}

void RouteWork::record(double seconds, TimePoint now)
{
    if (!m_decayedAt)
        m_decayedAt = now;
    if (const auto elapsed = now - *m_decayedAt; elapsed >= decayInterval) {
        const double factor = std::exp(-std::chrono::duration<double>(elapsed).count() / decaySeconds);
        m_histogram *= factor;
        m_weight *= factor;
        m_sum *= factor;
        m_decayedAt = now;
    }
    // The axis excludes its upper edge.
    m_histogram(std::clamp(seconds, minSeconds, maxSeconds * 0.999));
    m_weight += 1;
    m_sum += seconds;
}

double RouteWork::quantile(double q) const
{
    const double wanted = q * m_weight;
    double cumulative = 0;
    double last = 0;
    for (auto&& bin : boost::histogram::indexed(m_histogram)) {
        if (*bin <= 0)
            continue;
        last = std::sqrt(bin.bin().lower() * bin.bin().upper());
        cumulative += *bin;
        if (cumulative >= wanted)
            break;
    }
    return last;
}

} // namespace arbutuscrank::entry
