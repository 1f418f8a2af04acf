#pragma once

#include <cstdint>
#include <tuple>

/// \file
/// \brief Order of urgency of requests.

namespace arbutuscrank::entry {

/// \brief Rank of a request, compared by the priority that applies to it and then by its route's priority. Lower ranks
/// are more urgent.
///
/// The priority of an account takes precedence over that of the route. The route still decides among requests of the
/// same priority, because otherwise all routes of an account that names a priority would be equally urgent.
struct RequestRank {
    constexpr RequestRank() = default;
    /// Implicit, because a priority alone is the rank of a request whose route has the highest priority.
    constexpr RequestRank(std::uint32_t applied, std::uint32_t ofRoute = 0) noexcept
        : priority(applied)
        , routePriority(ofRoute)
    {
    }

    std::uint32_t priority = 0; ///< of the account if it has one, otherwise of the route; 0 is the highest
    std::uint32_t routePriority = 0;

    friend bool operator==(const RequestRank&, const RequestRank&) = default;
    friend bool operator<(const RequestRank& a, const RequestRank& b) noexcept
    {
        return std::tie(a.priority, a.routePriority) < std::tie(b.priority, b.routePriority);
    }
};

} // namespace arbutuscrank::entry
