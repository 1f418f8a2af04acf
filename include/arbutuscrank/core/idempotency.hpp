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
/// \brief Topic "idempotency": a non-idempotent request with an idempotency key runs at most once, even if the caller
/// repeats it at another entry (section 10 of docs/design.md).
///
/// A request runs if every trusted record holder answered New, and either all three answered, or two that have run for
/// longer than records last. Two sets of two out of three share a holder, and that one cannot have lost its record by a
/// restart. A holder that restarted lately and one that is unreachable thus make keys unavailable rather than unsafe.

namespace arbutuscrank {

/// \brief State of the topic; written only by the functions below.
struct IdempotencyState {
    // --- As record holder ---

    /// What is known of one idempotency key.
    struct Record {
        ProcessId owner; ///< entry that reserved the key
        std::uint64_t reservationId = 0;
        RecordState state = RecordState::Started; ///< NotRun: removed; kept for a while against late duplicates
        TimePoint expiresAt;
    };
    /// Records of one account. The sets refer to the keys of \ref records.
    struct Account {
        std::unordered_map<std::string, Record> records;
        std::set<std::pair<TimePoint, std::string_view>> byExpiry;
        /// Records that may go when the table is full: removed ones first, then complete ones, oldest first.
        std::set<std::tuple<bool, TimePoint, std::string_view>> forgettable;
    };
    std::map<std::string, Account, std::less<>> accounts;
    std::optional<TimePoint> startedAt; ///< of the first event; records made earlier were lost

    // --- As entry ---

    /// A record holder that was asked.
    struct Holder {
        VmId vm;
        Incarnation incarnation = 0; ///< latest one heard of
        bool answered = false; ///< that incarnation made the record
        bool isTableComplete = false; ///< as in the answer
    };
    struct Reservation {
        std::uint64_t reservationId = 0;
        std::string account;
        std::string key;
        std::vector<Holder> holders;
        TimePoint startedAt;
        TimePoint nextSend;
    };
    /// An outcome that is sent again, in case the session broke.
    struct Repeat {
        VmId to;
        RecordOutcome message;
        Duration pause {};
    };
    std::map<RequestId, Reservation> waiting;
    std::map<RequestId, Reservation> running; ///< told to run; the outcome is not known yet
    std::map<std::uint64_t, RequestId> requestOf; ///< by reservation id, of \ref waiting
    std::multimap<TimePoint, Repeat> repeats;
    std::uint64_t reservations = 0;
};

namespace idempotency {

    /// Longest idempotency key, in bytes.
    inline constexpr std::size_t maxKeyLength = 255;
    /// Record holders of a key.
    inline constexpr std::size_t holdersPerKey = 3;
    /// How long a record is kept after its last change.
    inline constexpr Duration recordLifetime = std::chrono::minutes(10);
    /// How long a removed record is kept, so that a late duplicate of its request does not make it anew.
    inline constexpr Duration removedLifetime = std::chrono::seconds(30);
    /// Records per account: 54 requests/s for 10 minutes. A record takes about 400 bytes.
    inline constexpr std::size_t maxRecordsPerAccount = 32'768;
    /// Longest wait for a trusted record holder; shorter than the 3 s after which a silent one is suspected.
    inline constexpr Duration reserveWait = std::chrono::seconds(1);
    /// Time after which an unanswered request is sent again.
    inline constexpr Duration reserveRetransmit = std::chrono::milliseconds(250);
    /// Outcomes that wait to be sent again; more are not repeated.
    inline constexpr std::size_t maxRepeats = 10'000;

    /// \brief Record holders of a key in rendezvous order, at most \ref holdersPerKey.
    [[nodiscard]] std::vector<VmId> recordHolders(const State& state, std::string_view account, std::string_view key);

    /// \brief Records a key for a reservation, as record holder.
    /// \returns New if the record was made now or belongs to this reservation; NotRun if the table is full or the
    /// reservation was given up before; otherwise what became of the request that has the key
    [[nodiscard]] RecordState record(
        State& state, const ProcessId& owner, const ReserveRequest& request, TimePoint now);

    /// \brief Notes how a recorded request ended, as record holder.
    void noteOutcome(State& state, const ProcessId& owner, const RecordOutcome& outcome, TimePoint now);

    /// \brief Drops the records whose time is over.
    void expireRecords(State& state, TimePoint now);

    /// \brief Asks the record holders; \ref ReservationResolved always follows, at once if this VM is the only holder.
    void reserve(State& state, RequestId id, std::string_view account, std::string_view key, Context& context);

    /// \brief As \ref reserve, with the record holders given in the order in which they are asked.
    void reserveAt(State& state, RequestId id, std::string_view account, std::string_view key,
        const std::vector<VmId>& holders, Context& context);

    /// \brief Gives up; no \ref ReservationResolved follows. Records already made are removed.
    void cancel(State& state, RequestId id, Context& context);

    /// \brief Tells the record holders how the request ended. \ref RecordState::NotRun removes the records.
    void recordOutcome(State& state, RequestId id, RecordState outcome, Context& context);

    void onTick(State& state, Context& context);
    void onReserveRequest(State& state, const ProcessId& from, const ReserveRequest& message, Context& context);
    void onReserveReply(State& state, const ProcessId& from, const ReserveReply& message, Context& context);
    void onRecordOutcome(State& state, const ProcessId& from, const RecordOutcome& message, Context& context);
    void onMemberChanged(State& state, const MemberChanged& event, Context& context);
    void onPeerConnectionLost(State& state, const PeerConnectionLost& event, Context& context);

} // namespace idempotency

} // namespace arbutuscrank
