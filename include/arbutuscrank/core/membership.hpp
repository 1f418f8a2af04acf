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
/// \brief Topic "membership": which daemons exist, which of them are trusted, and which role each of them has.

namespace arbutuscrank {

/// \brief What this daemon knows about another daemon.
struct MemberRecord {
    /// Newest known incarnation. It is 0 if only the VM list has named the VM, or has named it again after it was gone.
    Member member;
    /// Earliest possible send time of the last heartbeat that came directly from this incarnation.
    std::optional<TimePoint> lastHeartbeatAt;
    /// When a VM list first left the VM out since a list or a heartbeat, its own or one that relays it, last named it.
    std::optional<TimePoint> unlistedSince;
    /// The member is gone, no heartbeat of this incarnation has arrived yet, or none has arrived for longer than
    /// \ref membership::suspicionTime. \ref membership::heartbeatsToEndSuspicion describes how a suspicion ends.
    bool suspected = true;
    bool gone = false; ///< positive evidence shows that this incarnation no longer runs
    std::uint32_t heartbeatsSinceSuspicion = 0;
    Incarnation lastGoneIncarnation = 0; ///< this incarnation and all earlier ones no longer run
    std::optional<TimePoint> goneSince; ///< when the VM list proved that the VM no longer exists
    std::optional<TimePoint> recoveryStartedAt; ///< first heartbeat counted in \ref heartbeatsSinceSuspicion
    std::optional<TimePoint> peerSince; ///< when the member entered the peer set
    TimePoint avoidUntil; ///< a silent peer of another region is not preferred again before this time
    TimePoint lastHeartbeatSentAt; ///< when this daemon last sent it a heartbeat
    /// When this daemon last sent it a heartbeat with its own location and addresses; {} if the member may not have
    /// received one, for example after a restart.
    TimePoint lastFullHeartbeatSentAt;
    std::uint64_t relayWeight = 0; ///< rendezvous weight within its failure domain; 0 if not computed yet
    /// A heartbeat, its own or one that relays it, said that this incarnation is leaving.
    bool announcedLeaving = false;
    bool listedLeaving = false; ///< the VM list says that the VM is leaving
};

/// \brief State of the topic "membership". Only the functions below write to it.
struct MembershipState {
    /// Largest number of other members with which all daemons form a full mesh of sessions. 63 heartbeats of about 100
    /// bytes a second stay below the limit of 11 KB/s of control traffic per daemon. In a full mesh, no session has to
    /// be opened for a loan or for a request with an idempotency key.
    std::size_t maxFullMeshMembers = 63;
    std::map<VmId, MemberRecord, std::less<>> members; ///< all other VMs, without this one
    bool selfLeaving = false;
    TimePoint nextHeartbeatAt;
    TimePoint nextListCallAt;
    bool isListCallOpen = false;
    std::vector<PeerEndpoint> peers; ///< content of the last \ref SetPeers, ordered by VM name
    TimePoint listCallSentAt;
    TimePoint lastListAt; ///< when the last VM list arrived
    /// Until this time an answer to an abandoned call may still arrive, so an answer cannot be matched to its call.
    TimePoint lateListAnswerUntil;
    std::size_t namelessListEntries = 0; ///< in the last VM list; a change is logged
    bool isListFailing = false; ///< the last list call failed, and the failure was logged
    TimePoint nextSuspicionCheckAt;
    std::optional<TimePoint> lastTickAt;
    std::optional<TimePoint> pausedFrom; ///< last tick before the latest pause of this process
    TimePoint bufferedMessagesUntil; ///< messages that arrive before this time may have been buffered during the pause
    /// End of the last pause of this process that was longer than \ref membership::suspicionTime. Earlier silence of a
    /// member is ignored.
    TimePoint silenceIgnoredBefore;
    bool areRolesOutdated = true; ///< relays and peers must be computed again
    std::set<VmId, std::less<>> relays; ///< the relays of all failure domains
    /// Earliest possible send time of the last heartbeat from each region.
    std::map<std::string, TimePoint, std::less<>> lastHeartbeatByRegion;
};

namespace membership {

    /// Time between heartbeats to a peer.
    inline constexpr Duration heartbeatInterval = std::chrono::seconds(1);
    /// Time between heartbeats to a peer if there are more than \ref largeFleetMembers other members. It limits the
    /// heartbeat traffic within a region, where every daemon sends to every other (about 90 daemons in a large fleet).
    /// Must stay below \ref suspicionTime.
    inline constexpr Duration largeFleetHeartbeatInterval = std::chrono::seconds(2);
    /// Number of other members above which \ref largeFleetHeartbeatInterval applies.
    inline constexpr std::size_t largeFleetMembers = 200;
    /// A member without a heartbeat for longer than this is suspected.
    inline constexpr Duration suspicionTime = std::chrono::seconds(3);
    /// Number of heartbeats within \ref suspicionTime that end a suspicion. The first heartbeat of an incarnation is
    /// enough, unless it may have been sent before a long pause of this process (\ref earliestSendTime).
    inline constexpr std::uint32_t heartbeatsToEndSuspicion = 2;
    /// Upper bound on the staleness of the VM list.
    inline constexpr Duration maxVmListLag = std::chrono::seconds(30);
    /// Number of relays in each failure domain. Relays connect to the relays of all other failure domains, and push new
    /// manifests to those and to the members of their own failure domain. The role is unrelated to the members that
    /// every daemon relays in its heartbeats.
    inline constexpr std::size_t relaysPerFailureDomain = 2;

    /// \brief Finds the record of another VM.
    /// \returns null if there is none
    [[nodiscard]] const MemberRecord* find(const State& state, std::string_view vm);

    /// \brief Whether a VM is this one or a member that is not suspected. It may be leaving; see \ref activeMembers.
    [[nodiscard]] bool isTrusted(const State& state, std::string_view vm);

    /// \brief Whether positive evidence shows that an incarnation no longer runs. Silence is not evidence.
    [[nodiscard]] bool isGone(const State& state, const ProcessId& process);

    /// \brief Trusted members that are not leaving, ordered by VM name. Includes this daemon unless it is leaving.
    /// \param region only members of this region; empty for all regions
    [[nodiscard]] std::vector<Member> activeMembers(const State& state, std::string_view region);

    /// \brief This daemon as its heartbeats describe it.
    [[nodiscard]] Member selfMember(const State& state);

    /// \brief Whether a VM is one of the relays of its failure domain.
    [[nodiscard]] bool isRelay(const State& state, std::string_view vm);

    /// \brief Whether heartbeats arrive from a majority of the regions in the active document. The own region counts
    /// as reached.
    [[nodiscard]] bool reachesMajorityOfRegions(const State& state, TimePoint now);

    /// \brief Fraction of the other members of this region that are trusted. Members that are gone or leaving don't
    /// count.
    /// \returns 0 to 1; 1 if there are no other members
    [[nodiscard]] double trustedShareOfRegion(const State& state);

    /// \brief Orders VMs for a key by rendezvous hashing: the first is the owner, the next one takes over if it is
    /// lost.
    [[nodiscard]] std::vector<VmId> rendezvousOrder(std::string_view key, std::span<const VmId> vms);

    /// \brief Earliest time at which a message that arrives now may have been sent. This is \p now, or the start of a
    /// pause of this process if the message may have been buffered during the pause.
    [[nodiscard]] TimePoint earliestSendTime(const State& state, TimePoint now) noexcept;

    /// \brief Adds an incarnation that another source names, such as a ledger, so that the VM list can prove later that
    /// it is gone. This takes at least \ref maxVmListLag from the call on. The call does not make the incarnation
    /// trusted.
    void registerProcess(State& state, const ProcessId& process, Context& context);

    void onTick(State& state, Context& context);
    void onVmListRead(State& state, const VmListRead& event, Context& context);
    void onVmListFailed(State& state, const VmListFailed& event, Context& context);
    void onHeartbeat(State& state, const Heartbeat& message, Context& context);
    void onPeerConnectionLost(State& state, const PeerConnectionLost& event, Context& context);
    void onConfigurationApplied(State& state, const ConfigurationApplied& event, Context& context);
    /// \brief Marks this daemon as leaving and sends heartbeats that say so at once.
    void startLeaving(State& state, Context& context);

} // namespace membership

} // namespace arbutuscrank
