#pragma once

#include <arbutuscrank/core/context.hpp>
#include <arbutuscrank/core/forward.hpp>

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Topic "membership": which daemons exist, which are trusted, and who takes which role.

namespace arbutuscrank {

/// \brief What this daemon knows of another one.
struct MemberRecord {
    Member member;
    std::optional<TimePoint> lastHeard; ///< of a heartbeat received directly
    std::optional<TimePoint> missingSince; ///< since when the VM list leaves the VM out
    bool suspected = true; ///< true until heard
    bool gone = false; ///< positive evidence that this incarnation no longer runs
    std::uint32_t heartbeatsSinceSuspicion = 0;
};

/// \brief State of the topic; written only by the functions below.
struct MembershipState {
    std::map<VmId, MemberRecord, std::less<>> members; ///< other VMs; this one is not in it
    bool selfLeaving = false;
    TimePoint nextHeartbeat;
    TimePoint nextList;
    bool listOpen = false;
    std::vector<PeerEndpoint> peers; ///< as last given in \ref SetPeers
};

namespace membership {

    /// \brief Record of another VM, or null.
    [[nodiscard]] const MemberRecord* find(const State& state, std::string_view vm);

    /// \brief Whether a VM may be given work: this VM itself, or one heard lately.
    [[nodiscard]] bool isTrusted(const State& state, std::string_view vm);

    /// \brief Positive evidence that an incarnation no longer runs. Silence is not evidence.
    [[nodiscard]] bool isGone(const State& state, const ProcessId& process);

    /// \brief Trusted members that are not leaving, this one included if it is not leaving, ordered by VM name.
    /// \param region empty for all regions
    [[nodiscard]] std::vector<Member> activeMembers(const State& state, std::string_view region);

    /// \brief This daemon as others see it.
    [[nodiscard]] Member selfMember(const State& state);

    /// \brief Whether a VM is one of the relays of its failure domain.
    [[nodiscard]] bool isRelay(const State& state, std::string_view vm);

    /// \brief Whether this daemon hears a majority of the regions of the document, its own included.
    [[nodiscard]] bool hearsMajorityOfRegions(const State& state, TimePoint now);

    /// \brief Share of the other active or suspected members of this region that are heard now, 0 to 1; 1 if alone.
    [[nodiscard]] double heardShareOfRegion(const State& state);

    /// \brief VMs in rendezvous order for a key: the first is the owner, the others follow if it is lost.
    [[nodiscard]] std::vector<VmId> rendezvousOrder(std::string_view key, std::span<const VmId> vms);

    void onTick(State& state, Context& context);
    void onVmListRead(State& state, const VmListRead& event, Context& context);
    void onVmListFailed(State& state, const VmListFailed& event, Context& context);
    void onHeartbeat(State& state, const Heartbeat& message, Context& context);
    void onPeerConnectionLost(State& state, const PeerConnectionLost& event, Context& context);
    void onConfigurationApplied(State& state, const ConfigurationApplied& event, Context& context);
    /// \brief Marks this daemon as leaving and tells its peers.
    void startLeaving(State& state, Context& context);

} // namespace membership

} // namespace arbutuscrank
