#pragma once

#include <boost/histogram.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

/// \file
/// \brief Latency histograms and counters of this process, as text in the Prometheus exposition format.

namespace arbutuscrank {

/// \brief Latencies from 50 microseconds to 100 seconds on a logarithmic scale.
class LatencyHistogram {
public:
    LatencyHistogram();

    void record(double seconds);

    /// \brief Upper edge of the bin that holds a quantile, in seconds; 0 if empty. \param q 0 to 1
    [[nodiscard]] double quantile(double q) const;

    [[nodiscard]] std::uint64_t count() const noexcept { return m_count; }
    [[nodiscard]] double sum() const noexcept { return m_sum; }

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

    Histogram m_histogram;
    std::uint64_t m_count = 0;
    double m_sum = 0;
};

/// \brief Metrics of one process. Safe from any thread.
class Metrics {
public:
    /// \brief An answer of a target went to a caller (whole or cut short).
    void recordAnswer(std::string_view account, std::string_view service, double seconds, bool whole);

    /// \brief A request was refused. \param reason word from docs/api.md
    void recordRefusal(std::string_view account, std::string_view service, std::string_view reason);

    /// \brief A look-up was answered.
    void recordLookup() noexcept { m_lookups.fetch_add(1, std::memory_order_relaxed); }

    /// \brief The drain of a target took that long.
    void recordDrain(double seconds);

    /// \brief All metrics as text.
    [[nodiscard]] std::string toText() const;

private:
    struct Series {
        LatencyHistogram latency;
        std::uint64_t cutShort = 0;
        std::map<std::string, std::uint64_t, std::less<>> refusals; ///< by reason
    };

    [[nodiscard]] Series& find(std::string_view account, std::string_view service);

    mutable std::mutex m_mutex;
    std::map<std::pair<std::string, std::string>, Series> m_series; ///< by account and service
    LatencyHistogram m_drains;
    std::atomic<std::uint64_t> m_lookups { 0 };
};

} // namespace arbutuscrank
