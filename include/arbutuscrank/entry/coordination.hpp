#pragma once

#include <arbutuscrank/entry/fleet_messages.hpp>
#include <arbutuscrank/entry/members.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Which VM coordinates a failure domain, and what the coordinators have told.

namespace arbutuscrank::entry {

/// \brief The newest report of each failure domain's coordinator.
class DomainTable {
public:
    struct Entry {
        DomainReport report;
        TimePoint heardAt {};
    };

    /// \brief Takes in a report. \returns false if it is older than what is known of its process
    bool apply(const DomainReport& report, TimePoint now);

    /// \brief Forgets domains that were silent for so long that nothing of them counts any more.
    void expire(TimePoint now);

    [[nodiscard]] const std::map<std::string, Entry>& all() const noexcept { return m_domains; }
    [[nodiscard]] static bool isHeard(const Entry& entry, TimePoint now) noexcept;

private:
    std::map<std::string, Entry> m_domains;
};

/// \brief Decides whom this VM follows.
///
/// The VMs of a failure domain are ranked by capacity, then by name. A VM follows the first of those above it that it
/// hears as coordinator; it coordinates itself when it has heard none of them for a while. Lower ranks wait longer, so
/// that one VM takes over. A coordinator that goes on hearing a lower one speak is not heard itself, and one that no
/// longer hears the reports of its failure domain is deaf: both are silent for a while and let a lower one take over.
/// Two coordinators at a time are possible for a moment; admissions are counted for each of them.
class Coordination {
public:
    explicit Coordination(MemberRecord self)
        : m_self(std::move(self))
    {
    }

    /// \brief A VM of this failure domain spoke as coordinator.
    void heard(const VmId& vm, bool leaving, TimePoint now);

    /// \brief A VM of this failure domain reported to this one.
    void heardReport(TimePoint now) noexcept { m_reportHeardAt = now; }

    /// \brief Decides anew. \returns true if this VM has just become the coordinator
    bool update(const MemberTable& members, TimePoint now);

    /// \brief Whether this VM coordinates its failure domain.
    [[nodiscard]] bool isCoordinator() const noexcept { return m_isCoordinator; }
    /// \brief The VM that is followed; empty if there is none at the moment.
    [[nodiscard]] const VmId& followed() const noexcept { return m_followed; }

    /// \brief VMs of a failure domain in the order in which they would coordinate it.
    [[nodiscard]] static std::vector<VmId> ranking(const MemberTable& members, std::string_view failureDomain);

private:
    /// Whether another coordinator should take this VM's place.
    [[nodiscard]] bool shouldYield(std::optional<TimePoint> lowerHeardAt, TimePoint now);

    struct Voice {
        TimePoint heardAt {};
        bool leaving = false;
    };

    MemberRecord m_self;
    std::map<VmId, Voice> m_voices;
    std::optional<TimePoint> m_startedAt;
    std::optional<TimePoint>
        m_contestedSince; ///< since when a VM of a lower rank speaks as coordinator beside this one
    std::optional<TimePoint> m_yieldsUntil; ///< until when lower ranks are followed
    TimePoint m_higherHeardAt {}; ///< when a VM of a higher rank was last heard as coordinator
    VmId m_followed;
    bool m_isCoordinator = false;
    std::optional<TimePoint> m_reportHeardAt; ///< last report of another VM of the failure domain
};

} // namespace arbutuscrank::entry
