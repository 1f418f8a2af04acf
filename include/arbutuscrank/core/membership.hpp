#pragma once

#include <arbutuscrank/core/context.hpp>
#include <arbutuscrank/core/forward.hpp>

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Topic "membership": which daemons exist, which are trusted, and who takes which role.

namespace arbutuscrank {

/// \brief What this daemon knows of another one.
struct MemberRecord {
    Member member; ///< of the newest incarnation known; incarnation 0 if only the VM list named it
    std::optional<TimePoint> lastHeard; ///< of a heartbeat of this incarnation received directly
    std::optional<TimePoint> missingSince; ///< since when the VM list leaves the VM out
    bool suspected = true; ///< true until heard
    bool gone = false; ///< positive evidence that this incarnation no longer runs
    std::uint32_t heartbeatsSinceSuspicion = 0;
    Incarnation goneThrough = 0; ///< this incarnation and all earlier ones are gone
    std::optional<TimePoint> goneSince; ///< when the VM list's evidence was complete
    std::optional<TimePoint> recoveryFrom; ///< first heartbeat of those in \ref heartbeatsSinceSuspicion
    std::optional<TimePoint> peerSince; ///< since when it is in the peer set
    TimePoint avoidUntil; ///< a silent peer of another region is not chosen again before
    TimePoint lastSent; ///< of the last heartbeat to it
    TimePoint introducedAt; ///< of the last heartbeat to it that named this daemon's place; {}: none it can know of
    std::uint64_t relayWeight = 0; ///< rendezvous weight within its failure domain
    bool announcedLeaving = false; ///< by this incarnation itself
    bool listedLeaving = false; ///< by the VM list
};

/// \brief State of the topic; written only by the functions below.
struct MembershipState {
    /// Other members up to which every daemon keeps a session to every other. 63 heartbeats of about 100 bytes a second
    /// stay inside a daemon's 11 KB/s, and requests with idempotency keys and loans find their session at once.
    std::size_t fullMeshMembers = 63;
    std::map<VmId, MemberRecord, std::less<>> members; ///< other VMs; this one is not in it
    bool selfLeaving = false;
    TimePoint nextHeartbeat;
    TimePoint nextList;
    bool listOpen = false;
    std::vector<PeerEndpoint> peers; ///< as last given in \ref SetPeers
    TimePoint listSentAt;
    TimePoint listReadAt; ///< of the last answer
    TimePoint listUnpairedUntil; ///< an answer to a call given up may still arrive until then
    bool listFailing = false; ///< the failure was logged
    TimePoint nextCheck; ///< of suspicions
    std::optional<TimePoint> lastTick;
    std::optional<TimePoint> pausedFrom; ///< last tick before the latest pause of this process
    TimePoint drainUntil; ///< messages until then may have been buffered during the pause
    TimePoint graceFrom; ///< silence counts from here at the earliest
    bool rolesChanged = true; ///< relays and peers must be computed again
    std::set<VmId, std::less<>> relays; ///< of every failure domain
    std::map<std::string, TimePoint, std::less<>> regionHeard; ///< last heartbeat from each region
};

namespace membership {

    /// Time between heartbeats to a peer.
    inline constexpr Duration heartbeatInterval = std::chrono::seconds(1);
    /// The same in fleets of more than \ref largeFleet other members, where a region has about 90 daemons that all
    /// hear each other. Must stay below \ref suspicionTime.
    inline constexpr Duration largeFleetHeartbeatInterval = std::chrono::seconds(2);
    inline constexpr std::size_t largeFleet = 200;
    /// Silence after which a member is suspected.
    inline constexpr Duration suspicionTime = std::chrono::seconds(3);
    /// Heartbeats within \ref suspicionTime that end a suspicion.
    inline constexpr std::uint32_t heartbeatsToTrust = 2;
    /// Most that the VM list lags behind.
    inline constexpr Duration vmListLag = std::chrono::seconds(30);
    /// Relays of each failure domain.
    inline constexpr std::size_t relaysPerFailureDomain = 2;

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

    /// \brief Time to which news that arrives now is dated: now, or the start of a pause of this process if the news
    /// may have been buffered while it lasted.
    [[nodiscard]] TimePoint evidenceTime(const State& state, TimePoint now) noexcept;

    /// \brief Makes an incarnation known that some other record (such as a ledger) names, so that the VM list can give
    /// evidence about it. Does not count as having heard it. The evidence needs \ref vmListLag from here on.
    void noteProcess(State& state, const ProcessId& process, Context& context);

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
