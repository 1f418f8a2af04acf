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
/// \brief Latency histograms and counters of a process, in the Prometheus text exposition format.

namespace arbutuscrank {

/// \brief Escapes the value of a label for the text format.
[[nodiscard]] std::string escapeLabel(std::string_view value);

/// \brief Histogram of latencies from 50 us to 100 s with bins on a logarithmic scale.
class LatencyHistogram {
public:
    LatencyHistogram();

    void record(double seconds);

    /// \brief Estimates a quantile by the upper edge of its bin, in seconds.
    /// \param q from 0 to 1
    /// \returns 0 if the histogram is empty
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

/// \brief Metrics of one process. Thread-safe.
class Metrics {
public:
    /// \brief Records a target's response that was sent to a caller.
    /// \param seconds latency
    /// \param isComplete false if the response was cut short
    void recordAnswer(std::string_view account, std::string_view service, double seconds, bool isComplete);

    /// \brief Records a refused request.
    /// \param reason value of X-Refusal-Reason, see docs/api.md
    void recordRefusal(std::string_view account, std::string_view service, std::string_view reason);

    /// \brief Records an answered look-up.
    void recordLookup() noexcept { m_lookups.fetch_add(1, std::memory_order_relaxed); }

    /// \brief Records the duration of the drain of a target.
    void recordDrain(double seconds);

    /// \brief Records how late the event loop ran a periodic timer.
    void recordLoopDelay(double seconds);

    /// \brief All metrics in the Prometheus text exposition format.
    [[nodiscard]] std::string toText() const;

private:
    struct Series {
        LatencyHistogram latency;
        std::uint64_t truncatedResponses = 0;
        std::map<std::string, std::uint64_t, std::less<>> refusals; ///< by reason
    };

    [[nodiscard]] Series& findOrAddSeries(std::string_view account, std::string_view service);

    mutable std::mutex m_mutex;
    std::map<std::pair<std::string, std::string>, Series> m_series; ///< by account and service
    LatencyHistogram m_drainDurations;
    LatencyHistogram m_loopDelays;
    double m_maxLoopDelaySeconds = 0;
    std::atomic<std::uint64_t> m_lookups { 0 };
};

} // namespace arbutuscrank
