#pragma once

#include <arbutuscrank/entry/fleet_messages.hpp>
#include <arbutuscrank/entry/members.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Election of the coordinator of a failure domain, and the reports of all coordinators.

namespace arbutuscrank::entry {

/// \brief The newest report of the coordinator of each failure domain.
class DomainReportTable {
public:
    struct Entry {
        DomainReport report;
        TimePoint receivedAt {};
    };

    /// \brief Stores a report.
    /// \returns false if the report is not newer than the stored one of the same VM
    bool apply(const DomainReport& report, TimePoint now);

    /// \brief Removes the reports of failure domains that have not reported for 12 s. Reports that are not \ref isFresh
    /// are not used, but are kept until then to recognise outdated ones.
    void expire(TimePoint now);

    [[nodiscard]] const std::map<std::string, Entry>& all() const noexcept { return m_reports; }
    /// \brief Whether a report is recent enough for its failure domain to count as reachable.
    [[nodiscard]] static bool isFresh(const Entry& entry, TimePoint now) noexcept;

private:
    std::map<std::string, Entry> m_reports;
};

/// \brief Elects the coordinator of this VM's failure domain from heartbeats.
///
/// The VMs of a failure domain are ranked by capacity, then by name. A VM follows the highest-ranked coordinator above
/// it from which it receives heartbeats. The VM of the highest rank becomes coordinator at once, or 500 ms after its
/// start if it knows no other VM. Any other VM becomes coordinator when it has received no heartbeat for a timeout. The
/// timeout grows with each of the first four ranks, so that usually a single VM takes over. A coordinator steps down
/// for a while, so that a lower rank can take over, in two cases: a lower rank keeps coordinating beside it, which
/// shows that its own heartbeats do not arrive, or the reports of its failure domain no longer reach it. Two VMs can be
/// coordinator at the same time for a short while; quota sharing counts the admissions of each of them.
class Coordination {
public:
    explicit Coordination(MemberRecord self)
        : m_self(std::move(self))
    {
    }

    /// \brief Records a heartbeat: the digest of a coordinator of this failure domain.
    /// \param leaving whether the coordinator is shutting down
    void recordHeartbeat(const VmId& vm, bool leaving, TimePoint now);

    /// \brief Records that a report of another VM of this failure domain arrived.
    void recordReport(TimePoint now) noexcept { m_reportReceivedAt = now; }

    /// \brief Repeats the election.
    /// \returns true if this VM has just become the coordinator
    bool update(const MemberTable& members, TimePoint now);

    /// \brief Whether this VM coordinates its failure domain.
    [[nodiscard]] bool isCoordinator() const noexcept { return m_isCoordinator; }
    /// \brief The coordinator that this VM follows; empty if there is none.
    [[nodiscard]] const VmId& followedCoordinator() const noexcept { return m_followedCoordinator; }

    /// \brief The VMs of a failure domain by descending rank.
    [[nodiscard]] static std::vector<VmId> ranking(const MemberTable& members, std::string_view failureDomain);

private:
    /// Whether this VM should step down as coordinator.
    /// \param lowerHeartbeatAt newest heartbeat of a coordinator of a lower rank
    [[nodiscard]] bool shouldStepDown(std::optional<TimePoint> lowerHeartbeatAt, TimePoint now);

    struct Heartbeat {
        TimePoint receivedAt {};
        bool leaving = false;
    };

    MemberRecord m_self;
    std::map<VmId, Heartbeat> m_heartbeats;
    std::optional<TimePoint> m_startedAt;
    /// First heartbeat of a coordinator of a lower rank while this VM coordinates.
    std::optional<TimePoint> m_contestedSince;
    std::optional<TimePoint> m_followsLowerUntil; ///< until then this VM follows coordinators of lower ranks
    TimePoint m_takeoverWaitSince {}; ///< newest heartbeat of a followed coordinator, or the time of stepping down
    VmId m_followedCoordinator;
    bool m_isCoordinator = false;
    std::optional<TimePoint> m_reportReceivedAt; ///< newest report of another VM of the failure domain
};

} // namespace arbutuscrank::entry
