#pragma once

#include <arbutuscrank/core/types.hpp>

#include <deque>
#include <map>
#include <string>

/// \file
/// \brief This VM's part of the fleet's retry budget.

namespace arbutuscrank::entry {

/// \brief Counts requests and repeated sends of each service over a sliding window.
///
/// The fleet's bound is ratio x requests + slack. Each VM keeps to ratio x its own requests + slack / VMs, so the sum
/// keeps to the bound without any exchange.
class RetryLimit {
public:
    RetryLimit(Duration window, double ratio, double slack) noexcept
        : m_window(window)
        , m_ratio(ratio)
        , m_slack(slack)
    {
    }

    /// \param vms VMs that share the slack, at least 1
    void setFleetSize(std::size_t vms) noexcept { m_vms = vms == 0 ? 1 : vms; }

    void countRequest(const std::string& service, TimePoint now);

    /// \brief Takes one repeated send. \returns false if the budget is used up
    [[nodiscard]] bool take(const std::string& service, TimePoint now);

private:
    struct Counts {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> repeats;
    };
    void expire(Counts& counts, TimePoint now) const;

    Duration m_window;
    double m_ratio;
    double m_slack;
    std::size_t m_vms = 1;
    std::map<std::string, Counts> m_services;
};

} // namespace arbutuscrank::entry
