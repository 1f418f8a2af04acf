#pragma once

#include <arbutuscrank/entry/fleet_messages.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief The entry VMs: who is registered in the store, and who was heard lately.

namespace arbutuscrank::entry {

/// \brief What a VM registers in the store about itself.
struct MemberRecord {
    ProcessId process;
    std::string region;
    std::string failureDomain;
    std::string callerAddress; ///< "ip:port" that callers connect to
    std::string reportAddress; ///< "ip:port" for datagrams
    double capacity = 0; ///< processor cores that it may use
};

/// \brief One other VM.
struct Member {
    MemberRecord record;
    std::optional<Report> report; ///< the newest one, if this VM coordinates its failure domain
    bool ready = false; ///< takes callers
    bool leaving = false; ///< was told to stop
    std::optional<TimePoint> heardAt; ///< by this VM or by a coordinator
    TimePoint knownSince {}; ///< first registration that this process has read
    std::optional<TimePoint> forgottenAt; ///< when its removal was last asked for
};

/// \brief The other VMs of the fleet.
class MemberTable {
public:
    /// A VM that was silent for this long is left out of look-ups. Reports and digests come five times a second.
    static constexpr Duration silenceLimit = std::chrono::milliseconds(1800);
    /// A coordinator passes on the VMs that it has heard itself within this time.
    static constexpr Duration reportLimit = std::chrono::milliseconds(900);

    explicit MemberTable(MemberRecord self)
        : m_self(std::move(self))
    {
    }

    [[nodiscard]] const MemberRecord& self() const noexcept { return m_self; }

    /// \brief Adds or replaces a registration.
    void applyRecord(const MemberRecord& record, TimePoint now);
    void applyRemoval(std::string_view vm);
    /// \brief Removes all VMs that are not in the list.
    void applySnapshot(const std::vector<MemberRecord>& records, TimePoint now);

    /// \brief Takes in a report. \returns false if it is old, or if its sender is not registered
    bool applyReport(const Report& report, TimePoint now);

    /// \brief Takes in what a coordinator says of a VM. Unknown VMs are ignored.
    void applyStatus(const VmStatus& status, TimePoint now);

    /// \brief Whether a VM was silent for so long that its registration should be removed.
    /// \returns true at most once in each span of \p silence
    [[nodiscard]] bool takeForgetTurn(const VmId& vm, Duration silence, TimePoint now);

    /// \brief Whether a VM was heard lately.
    [[nodiscard]] static bool isHeard(const Member& member, TimePoint now, Duration limit = silenceLimit) noexcept;

    [[nodiscard]] const std::map<VmId, Member>& others() const noexcept { return m_members; }
    /// \brief Registered VMs, this one counted.
    [[nodiscard]] std::size_t fleetSize() const noexcept { return m_members.size() + 1; }
    /// \brief Registered VMs of a region in the order of their names, this one counted.
    [[nodiscard]] std::vector<VmId> vmsOfRegion(std::string_view region) const;

private:
    MemberRecord m_self;
    std::map<VmId, Member> m_members;
};

/// \brief Answer to a look-up.
struct LookupAnswer {
    std::vector<std::string> addresses; ///< "ip:port" of VMs that take callers
    Duration lifetime {};
};

/// \brief Chooses the VMs that a caller should use: of its failure domain, else of its region, else of any region.
/// \param homes regions that may see the request; empty means all
/// \param selfReady whether this VM takes callers
[[nodiscard]] LookupAnswer answerLookup(const MemberTable& members, std::string_view region,
    std::string_view failureDomain, const std::vector<std::string>& homes, bool selfReady, Duration maxLifetime,
    TimePoint now);

} // namespace arbutuscrank::entry
