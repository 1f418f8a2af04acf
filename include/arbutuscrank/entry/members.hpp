#pragma once

#include <arbutuscrank/entry/fleet_messages.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Membership of the entry VMs: registrations in the store and liveness.

namespace arbutuscrank::entry {

/// \brief Registration of a VM in the store.
struct MemberRecord {
    ProcessId process;
    std::string region;
    std::string failureDomain;
    std::string callerAddress; ///< "ip:port" for connections of callers
    std::string reportAddress; ///< "ip:port" for datagrams
    double capacity = 0; ///< processor cores available to the VM
};

/// \brief What is known of another VM.
struct Member {
    MemberRecord record;
    std::optional<VmReport> report; ///< newest report; set only if this VM coordinates the other VM's failure domain
    bool ready = false; ///< look-ups may return the VM, see \ref VmStatus::ready
    bool leaving = false; ///< is shutting down
    std::optional<TimePoint> lastSeenAt; ///< newest report, received by this VM or relayed by a coordinator
    TimePoint registrationReadAt {}; ///< when this process first read the registration
    std::optional<TimePoint> removalRequestedAt; ///< when the removal of the registration was last requested
    bool isMissing = false; ///< the newest list of registrations lacks it, but may come from an older copy of the store
};

/// \brief The other VMs of the fleet.
class MemberTable {
public:
    /// Age of the newest report after which a VM counts as unresponsive and look-ups omit it. Reports and digests
    /// arrive every 200 ms.
    static constexpr Duration livenessTimeout = std::chrono::milliseconds(1800);
    /// Maximum age of a VM's report up to which its coordinator includes the VM in its own messages.
    static constexpr Duration relayMaxAge = std::chrono::milliseconds(900);

    explicit MemberTable(MemberRecord self);

    [[nodiscard]] const MemberRecord& self() const noexcept { return m_self; }

    /// \brief Adds or replaces a registration.
    void applyRecord(const MemberRecord& record, TimePoint now);
    void applyRemoval(std::string_view vm);
    /// \brief Replaces all registrations. VMs that are not in the list are removed.
    /// \param keepsMissing whether they are kept until \ref removeMissing, because the list may come from an older copy
    void applySnapshot(const std::vector<MemberRecord>& records, TimePoint now, bool keepsMissing = false);
    /// \brief Adds or replaces the registrations of an incomplete list. The other VMs stay as they are.
    void applyIncompleteList(const std::vector<MemberRecord>& records, TimePoint now);
    /// \brief Removes the VMs that the newest list lacked and that have not registered since. \returns their names
    std::vector<VmId> removeMissing();

    /// \brief Stores a report.
    /// \returns false if the report is outdated or its sender is not registered
    bool applyReport(const VmReport& report, TimePoint now);

    /// \brief Stores the status of a VM as relayed by a coordinator. Unregistered VMs are ignored.
    void applyStatus(const VmStatus& status, TimePoint now);

    /// \brief Whether the registration of a VM should be removed because the VM has been unresponsive for \p timeout.
    /// Records the removal as requested if so.
    /// \returns true at most once in each span of \p timeout
    [[nodiscard]] bool claimRemoval(const VmId& vm, Duration timeout, TimePoint now);

    /// \brief Whether the newest report of a VM is younger than \p maxAge.
    [[nodiscard]] static bool isResponsive(
        const Member& member, TimePoint now, Duration maxAge = livenessTimeout) noexcept;

    [[nodiscard]] const std::map<VmId, Member>& others() const noexcept { return m_members; }
    /// \brief Number of registered VMs, including this one.
    [[nodiscard]] std::size_t fleetSize() const noexcept { return m_members.size() + 1; }
    /// \brief Hash of a VM's name, for rendezvous hashing.
    [[nodiscard]] static std::uint64_t hashOf(const VmId& vm) noexcept;
    /// \brief Hashes of the registered VMs of a region, including this one, in no particular order.
    [[nodiscard]] std::span<const std::uint64_t> vmHashesOfRegion(std::string_view region) const;
    /// \brief Hashes of all registered VMs, including this one, in no particular order.
    [[nodiscard]] std::span<const std::uint64_t> vmHashes() const noexcept { return m_vmHashes; }
    /// \brief Changes whenever the VMs of a region change; never 0.
    [[nodiscard]] std::uint64_t regionsVersion() const noexcept { return m_regionsVersion; }

private:
    /// \returns whether a VM was added or moved to another region
    bool storeRecord(const MemberRecord& record, TimePoint now);
    /// \returns whether \ref storeRecord returned true for one of them
    bool storeRecords(const std::vector<MemberRecord>& records, TimePoint now);
    void updateRegions();

    MemberRecord m_self;
    std::map<VmId, Member> m_members;
    std::vector<std::uint64_t> m_vmHashes;
    std::map<std::string, std::vector<std::uint64_t>, std::less<>> m_vmHashesByRegion;
    std::uint64_t m_regionsVersion = 0;
};

/// \brief Answer to a look-up of VM addresses.
struct LookupAnswer {
    std::vector<std::string> addresses; ///< "ip:port" of VMs that accept callers
    Duration ttl {}; ///< time for which the caller may cache the answer
};

/// \brief Chooses the VMs that a caller should use.
///
/// Returns the VMs of the caller's failure domain that accept callers, plus those of its region if the domain has fewer
/// than two. If there are none, returns those of the allowed regions, and if there are none either, all VMs that accept
/// callers. VMs of the caller's region are returned whether or not the region is allowed.
/// \param allowedRegions regions that may process the request; empty means all
/// \param selfReady whether this VM accepts callers
/// \param maxTtl upper limit of \ref LookupAnswer::ttl
[[nodiscard]] LookupAnswer answerLookup(const MemberTable& members, std::string_view region,
    std::string_view failureDomain, const std::vector<std::string>& allowedRegions, bool selfReady, Duration maxTtl,
    TimePoint now);

} // namespace arbutuscrank::entry
