#pragma once

#include <arbutuscrank/core/random.hpp>
#include <arbutuscrank/core/types.hpp>
#include <arbutuscrank/entry/request_rank.hpp>
#include <arbutuscrank/entry/route_work.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

/// \file
/// \brief Decides which requests are run, wait or are rejected while the targets of a service have too little room.

namespace arbutuscrank::entry {

/// \brief Work by rank, in slots that it keeps busy.
using WorkByRank = std::map<RequestRank, double>;

/// \brief Fraction of the requests of each rank that may be admitted, from 0 to 1.
using AdmittedFractions = std::map<RequestRank, double>;

/// \brief Shares the room of a service among ranks, from the most urgent one down. Each keeps a floor.
///
/// The fractions are 1 if the work fits in the slots or has one rank only. The fraction of a rank is never
/// below that of a less urgent one, and the admitted work never exceeds the slots. Without any slot they are 1, because
/// such requests are refused for lack of a target.
/// \param slots slots of the targets that take requests
/// \param work work asked for over all VMs, rejected requests included
[[nodiscard]] AdmittedFractions shareRoom(double slots, const WorkByRank& work);

/// \brief Load per slot up to which a request queues at a target while the service has room.
[[nodiscard]] double defaultMaxLoad(std::uint32_t priority) noexcept;

/// \brief A request that a decision is asked for.
struct RoomAsk {
    std::string_view service;
    std::string_view route;
    RequestRank rank;
    Duration objectiveLeft {}; ///< time left of the latency objective; may be negative
    Duration timeLeft {}; ///< time left until the deadline
    double loadPerSlot = 1; ///< load per slot of the chosen target, the request included
};

/// \brief The request is sent to a target. It runs now, or waits in the target's queue.
struct Admit {
    double maxLoad = 1; ///< load per slot of the target up to which it may wait there
};

/// \brief The request is rejected at once.
struct RejectForRoom {
    std::string_view cause; ///< "share" or "deadline", for the log
    Duration retryAfter {}; ///< time until room is expected
};

using RoomDecision = std::variant<Admit, RejectForRoom>;

/// \brief A service whose room has begun or ceased to be shared.
struct SharingChange {
    bool isShared = false;
    std::uint64_t rejected = 0; ///< requests rejected at this VM since sharing began
};

/// \brief Shares the room of services among requests of different rank, deadline and work.
///
/// Answers the load in which callers ask for more work of a service than its targets have slots for. The fractions by
/// rank follow from reports that all VMs receive, so no VM has to ask another one. Within a rank, each VM prefers
/// requests that can be answered within their objective, then those of routes that need less work. A request that
/// displaces nothing at its target is admitted whatever the fraction.
///
/// \code
/// sharing.update("cart", slots, work, elapsedSeconds);
/// const auto decision = sharing.decide({ .service = "cart", .route = "read", .rank = { 1, 2 } }, random);
/// if (const auto* rejected = std::get_if<RejectForRoom>(&decision))
///     refuse(rejected->retryAfter);
/// \endcode
class RoomSharing {
public:
    /// \brief Records the work of an answered attempt.
    /// \param taken time from sending the request to the answer
    /// \param loadPerSlot load of the target per slot when the request was sent, the request included. Above 1 the
    /// request has waited, and the wait is not part of its work.
    void recordAttempt(std::string_view route, Duration taken, double loadPerSlot, TimePoint now);

    /// \brief Mean work of the requests of a route in seconds; 0 if it is unknown.
    [[nodiscard]] double meanWork(std::string_view route) const;
    /// \brief Mean work of the requests for a service at this VM in seconds; 0 if it is unknown.
    [[nodiscard]] double meanServiceWork(std::string_view service) const;

    /// \brief Updates the shares of a service.
    /// \param slots see \ref shareRoom
    /// \param work see \ref shareRoom; empty if it is unknown, and then all requests are admitted
    /// \param elapsedSeconds time since the last update
    /// \returns a change to be logged
    std::optional<SharingChange> update(
        std::string_view service, double slots, const WorkByRank& work, double elapsedSeconds);

    /// \brief Decides about the first attempt of a request.
    [[nodiscard]] RoomDecision decide(const RoomAsk& ask, Random& random);

    /// \brief Load per slot up to which a request may wait at a target.
    [[nodiscard]] double maxLoad(const RoomAsk& ask) const;

    /// \brief Whether a retry or hedged request may use room. While requests of its rank are rejected, it may not if it
    /// would be answered too late and displace others.
    [[nodiscard]] bool permitsFurtherAttempt(const RoomAsk& ask) const;

    /// \brief Fractions of a service; empty if its room is not shared.
    [[nodiscard]] AdmittedFractions fractions(std::string_view service) const;
    /// \brief Number of services whose room is shared.
    [[nodiscard]] std::size_t sharedServiceCount() const noexcept;
    /// \brief Least fraction over all services and ranks; 1 if no room is shared.
    [[nodiscard]] double leastFraction() const noexcept;

private:
    /// Requests of a rank that are preferred or rejected together.
    struct Class {
        double requestsPerSecond = 0; ///< smoothed
        std::uint32_t requestsSinceUpdate = 0;
        double fraction = 1; ///< of its requests that is admitted
        /// Sum of the fractions of past requests less the admitted ones, from 0 to 1
        std::optional<double> credit;
    };
    /// Late classes come after those that can meet their objective.
    using ClassKey = std::pair<bool, std::string>;
    using Classes = std::map<ClassKey, Class>;
    struct Service {
        std::map<RequestRank, Classes> classes;
        AdmittedFractions fractions;
        double floor = 1;
        bool isShared = false;
        double secondsWithRoom = 0; ///< since sharing was last needed
        std::uint64_t rejected = 0;
    };

    [[nodiscard]] const RouteWork* findWork(std::string_view route) const;
    /// Whether a request is likely to miss its latency objective even if it runs at once.
    [[nodiscard]] bool isLate(const RoomAsk& ask) const;
    void updateClasses(Classes& classes, double fraction, double floor) const;

    std::map<std::string, RouteWork, std::less<>> m_work; ///< by route
    std::map<std::string, Service, std::less<>> m_services;
};

} // namespace arbutuscrank::entry
