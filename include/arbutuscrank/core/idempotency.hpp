#pragma once

#include <arbutuscrank/core/context.hpp>
#include <arbutuscrank/core/forward.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

/// \file
/// \brief Topic "idempotency": a non-idempotent request of an account with an idempotency key runs at most once while
/// its record is kept, even if the caller repeats it at another entry (section 10 of docs/design.md). A record is kept
/// for \ref idempotency::recordLifetime, or for less if the table of the account is full.
///
/// An entry may run a request if every trusted record holder answered New and one of two conditions holds: all holders
/// answered (three, or fewer if fewer VMs hold the quota of the account), or at least two holders answered that have
/// been running for at least \ref idempotency::recordLifetime.
/// Any two pairs of the three holders have a holder in common, and a holder that has run this long has not lost a valid
/// record in a restart. If one holder restarted recently and another one is unreachable, the key is therefore
/// unavailable, so that a request with it is not run a second time.

namespace arbutuscrank {

/// \brief State of the topic; written only by the functions below.
struct IdempotencyState {
    // --- As record holder ---

    /// Record of one idempotency key.
    struct Record {
        ProcessId owner; ///< entry that reserved the key
        std::uint64_t reservationId = 0;
        RecordState state = RecordState::Started; ///< NotRun marks a tombstone that detects late duplicates
        TimePoint expiresAt;
    };
    /// Records of one account. The sets refer to the keys of \ref records.
    struct Account {
        std::unordered_map<std::string, Record> records;
        std::set<std::pair<TimePoint, std::string_view>> byExpiry;
        /// Records that may be evicted if the table is full, in order: tombstones, then complete ones, each oldest
        /// first. The Boolean is whether the record is complete.
        std::set<std::tuple<bool, TimePoint, std::string_view>> evictable;
    };
    std::map<std::string, Account, std::less<>> accounts;
    std::optional<TimePoint> recordingSince; ///< time of the first event; a previous incarnation lost its records

    // --- As entry ---

    /// A record holder that was sent a \ref ReserveRequest.
    struct Holder {
        VmId vm;
        Incarnation incarnation = 0; ///< latest known incarnation
        bool answered = false; ///< whether that incarnation made the record
        bool isTableComplete = false; ///< as in \ref ReserveReply
    };
    /// An idempotency key for which this entry asked the record holders.
    struct Reservation {
        std::uint64_t reservationId = 0;
        std::string account;
        std::string key;
        std::vector<Holder> holders;
        TimePoint startedAt;
        TimePoint nextSendAt;
    };
    /// A \ref RecordOutcome with NotRun that is sent again in case the message was lost. Other outcomes are sent once.
    struct Retransmission {
        VmId to;
        RecordOutcome message;
        Duration interval {};
    };
    std::map<RequestId, Reservation> pending; ///< reservations that are not decided yet
    std::map<RequestId, Reservation> granted; ///< reservations of requests that may run; their outcome is not known yet
    std::map<std::uint64_t, RequestId> requestsByReservation; ///< requests in \ref pending by reservation id
    std::multimap<TimePoint, Retransmission> retransmissions; ///< by the time at which they are due
    std::uint64_t lastReservationId = 0;
};

namespace idempotency {

    /// Length of the longest idempotency key.
    inline constexpr std::size_t maxKeyBytes = 255;
    /// Number of record holders of a key.
    inline constexpr std::size_t holdersPerKey = 3;
    /// Time for which a record is kept after its last change.
    inline constexpr Duration recordLifetime = std::chrono::minutes(10);
    /// Time for which the tombstone of a removed record is kept, so that a late duplicate of the reserve request does
    /// not create the record again.
    inline constexpr Duration removedRecordLifetime = std::chrono::seconds(30);
    /// Largest number of records per account, enough for 54 requests/s over 10 minutes. A record takes about 400 bytes.
    inline constexpr std::size_t maxRecordsPerAccount = 32'768;
    /// Time after which an undecided reservation fails. It is shorter than the 3 s without a heartbeat after which a
    /// holder is suspected, so the key is unavailable until then.
    inline constexpr Duration reserveTimeout = std::chrono::seconds(1);
    /// Time after which an unanswered \ref ReserveRequest is sent again.
    inline constexpr Duration reserveRetransmitInterval = std::chrono::milliseconds(250);
    /// Largest number of pending retransmissions. Beyond it, NotRun outcomes are sent only once too.
    inline constexpr std::size_t maxRetransmissions = 10'000;

    /// \brief Record holders of a key by rendezvous hashing, at most \ref holdersPerKey.
    [[nodiscard]] std::vector<VmId> recordHolders(const State& state, std::string_view account, std::string_view key);

    /// \brief Creates the record of a key for a reservation. Called at the record holder.
    /// \returns New if the record was created or already belongs to this reservation; NotRun if the table is full or
    /// the tombstone of this reservation is still kept; otherwise the state of the earlier request with this key
    [[nodiscard]] RecordState createRecord(
        State& state, const ProcessId& owner, const ReserveRequest& request, TimePoint now);

    /// \brief Stores the outcome of a request in its record. Called at the record holder.
    void applyOutcome(State& state, const ProcessId& owner, const RecordOutcome& outcome, TimePoint now);

    /// \brief Removes the expired records.
    void expireRecords(State& state, TimePoint now);

    /// \brief Reserves a key at its record holders. \ref ReservationResolved follows exactly once unless \ref cancel is
    /// called. It follows at once if no answer of another VM is needed.
    void reserve(State& state, RequestId id, std::string_view account, std::string_view key, Context& context);

    /// \brief As \ref reserve, with the given record holders, which are asked in this order.
    void reserveWithHolders(State& state, RequestId id, std::string_view account, std::string_view key,
        const std::vector<VmId>& holders, Context& context);

    /// \brief Cancels a pending reservation and removes its records. No \ref ReservationResolved follows.
    void cancel(State& state, RequestId id, Context& context);

    /// \brief Sends the outcome of a request to its record holders. \ref RecordState::NotRun removes the records.
    void reportOutcome(State& state, RequestId id, RecordState outcome, Context& context);

    void onTick(State& state, Context& context);
    void onReserveRequest(State& state, const ProcessId& from, const ReserveRequest& message, Context& context);
    void onReserveReply(State& state, const ProcessId& from, const ReserveReply& message, Context& context);
    void onRecordOutcome(State& state, const ProcessId& from, const RecordOutcome& message, Context& context);
    void onMemberChanged(State& state, const MemberChanged& event, Context& context);
    void onPeerConnectionLost(State& state, const PeerConnectionLost& event, Context& context);

} // namespace idempotency

} // namespace arbutuscrank
