#pragma once

#include <arbutuscrank/core/types.hpp>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <optional>
#include <tuple>
#include <vector>

/// \file
/// \brief Distribution of the work that the requests of a route need.

namespace arbutuscrank::entry {

/// \brief Seconds that targets work on the requests of one route, without the wait for a free slot. The round trip to
/// the target is included, since it cannot be told from the work. Old samples lose weight with a time constant of
/// 10 s.
class RouteWork {
public:
    RouteWork();

    /// \brief Records one answered attempt.
    /// \param seconds work in seconds
    void record(double seconds, TimePoint now);

    /// \brief Mean in seconds; 0 if there is no sample.
    [[nodiscard]] double mean() const noexcept { return m_weight > 0 ? m_sum / m_weight : 0; }
    /// \brief Estimates a quantile by the middle of its bin, in seconds; 0 if there is no sample.
    /// \param q from 0 to 1
    [[nodiscard]] double quantile(double q) const;
    /// \brief Sum of the weights of the samples; a new sample weighs 1.
    [[nodiscard]] double weight() const noexcept { return m_weight; }

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram
        = boost::histogram::histogram<std::tuple<Axis>, boost::histogram::storage_adaptor<std::vector<double>>>;

    Histogram m_histogram;
    double m_weight = 0;
    double m_sum = 0;
    std::optional<TimePoint> m_decayedAt;
};

} // namespace arbutuscrank::entry
