#pragma once

#include <arbutuscrank/core/types.hpp>

#include <deque>
#include <map>
#include <string>

/// \file
/// \brief This VM's part of the retry budget of the fleet.

namespace arbutuscrank::entry {

/// \brief Counts the requests and retries of each service over a sliding window.
///
/// The fleet may send at most ratio x requests + slack retries and hedged requests in a window. Each VM limits itself
/// to 0.8 x (ratio x its own requests + slack / VMs). The sum therefore stays within the budget without any
/// communication, also in windows that start at other times.
class RetryLimit {
public:
    RetryLimit(Duration window, double ratio, double slack) noexcept
        : m_window(window)
        , m_ratio(ratio)
        , m_slack(slack)
    {
    }

    /// \param vms number of VMs that share the slack, at least 1
    void setFleetSize(std::size_t vms) noexcept { m_vms = vms == 0 ? 1 : vms; }

    /// \brief Counts one request, which adds to the budget of its service.
    void countRequest(const std::string& service, TimePoint now);

    /// \brief Counts one retry or hedged request if the budget allows it.
    /// \returns false if the budget is exhausted
    [[nodiscard]] bool tryTakeRetry(const std::string& service, TimePoint now);

private:
    struct Counts {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> retries;
    };
    void expire(Counts& counts, TimePoint now) const;

    Duration m_window;
    double m_ratio;
    double m_slack;
    std::size_t m_vms = 1;
    std::map<std::string, Counts> m_services;
};

} // namespace arbutuscrank::entry
