#include <arbutuscrank/core/state.hpp>

#include <algorithm>
#include <utility>

namespace arbutuscrank::idempotency {

namespace {

    using Holder = IdempotencyState::Holder;
    using Reservation = IdempotencyState::Reservation;

    /// Range of the exponential backoff between retransmissions of a NotRun outcome.
    constexpr Duration minRetransmitInterval = std::chrono::seconds(1);
    constexpr Duration maxRetransmitInterval = std::chrono::seconds(8);

    /// Sets the start of recording at the first event of this process.
    void setRecordingSince(State& state, TimePoint now)
    {
        if (!state.idempotency.recordingSince)
            state.idempotency.recordingSince = now;
    }

    /// Whether this process has run for a record lifetime, so that a restart cannot have lost a valid record.
    bool hasCompleteTable(const State& state, TimePoint now)
    {
        return now - *state.idempotency.recordingSince >= recordLifetime;
    }

    // --- Messages ----------------------------------------------------------------------------------------------------

    void sendOutcome(State& state, const Reservation& reservation, RecordState outcome, Context& context)
    {
        const RecordOutcome message { reservation.reservationId, reservation.account, reservation.key, outcome };
        auto& retransmissions = state.idempotency.retransmissions;
        for (const auto& it : reservation.holders) {
            if (it.vm == state.self.process.vm) {
                applyOutcome(state, state.self.process, message, context.now);
                continue;
            }
            context.send(it.vm, message);
            // A lost removal would block the key for the lifetime of the record.
            if (outcome == RecordState::NotRun && retransmissions.size() < maxRetransmissions)
                retransmissions.emplace(context.now + minRetransmitInterval,
                    IdempotencyState::Retransmission { it.vm, message, minRetransmitInterval });
        }
    }

    void retransmitOutcomes(State& state, Context& context)
    {
        auto& retransmissions = state.idempotency.retransmissions;
        while (!retransmissions.empty() && retransmissions.begin()->first <= context.now) {
            auto it = std::move(retransmissions.extract(retransmissions.begin()).mapped());
            context.send(it.to, it.message);
            it.interval *= 2;
            if (it.interval <= maxRetransmitInterval)
                retransmissions.emplace(context.now + it.interval, std::move(it));
        }
    }

    /// Sends the request to the other holders that have not answered. If this VM is a holder, it is not sent a message.
    void sendReserveRequests(State& state, Reservation& reservation, Context& context)
    {
        reservation.nextSendAt = context.now + reserveRetransmitInterval;
        const ReserveRequest request { reservation.reservationId, reservation.account, reservation.key };
        for (const auto& it : reservation.holders) {
            if (!it.answered && it.vm != state.self.process.vm)
                context.send(it.vm, request);
        }
    }

    // --- Decisions ---------------------------------------------------------------------------------------------------

    /// Ends a pending reservation and raises \ref ReservationResolved.
    void resolve(State& state, RequestId id, bool available, RecordState outcome, Context& context)
    {
        auto& own = state.idempotency;
        auto reservation = std::move(own.pending.extract(id).mapped());
        own.requestsByReservation.erase(reservation.reservationId);
        if (available && outcome == RecordState::New)
            own.granted.emplace(id, std::move(reservation));
        else
            sendOutcome(state, reservation, RecordState::NotRun, context);
        context.followUp(ReservationResolved { id, available, outcome });
    }

    /// Whether the answers received so far allow the request to run (see the rule in idempotency.hpp).
    bool mayRun(const State& state, const Reservation& reservation)
    {
        std::size_t answers = 0;
        std::size_t completeTables = 0;
        for (const auto& it : reservation.holders) {
            if (it.answered) {
                ++answers;
                completeTables += it.isTableComplete ? 1 : 0;
            } else if (membership::isTrusted(state, it.vm)) {
                return false;
            }
        }
        const auto requiredAnswers = std::min<std::size_t>(reservation.holders.size(), 2);
        return answers >= requiredAnswers
            && (answers == reservation.holders.size() || completeTables >= requiredAnswers);
    }

    /// Resolves a reservation if it has timed out or its answers suffice. An answer that arrives after the timeout does
    /// not count, so that a process that was paused does not act on outdated answers.
    void resolveIfDecided(State& state, RequestId id, Context& context)
    {
        const auto& reservation = state.idempotency.pending.at(id);
        if (context.now - reservation.startedAt >= reserveTimeout)
            return resolve(state, id, false, RecordState::New, context);
        if (mayRun(state, reservation))
            resolve(state, id, true, RecordState::New, context);
    }

    void handleAnswer(State& state, RequestId id, const ProcessId& from, const ReserveReply& reply, Context& context)
    {
        auto& holders = state.idempotency.pending.at(id).holders;
        const auto it
            = std::find_if(holders.begin(), holders.end(), [&from](const Holder& h) { return h.vm == from.vm; });
        if (it == holders.end() || from.incarnation < it->incarnation)
            return;
        if (reply.state == RecordState::NotRun)
            return resolve(state, id, false, RecordState::New, context);
        if (reply.state != RecordState::New)
            return resolve(state, id, true, reply.state, context);
        it->incarnation = from.incarnation;
        it->answered = true;
        it->isTableComplete = reply.isTableComplete;
        resolveIfDecided(state, id, context);
    }

    /// Checks every pending reservation after a member changed or time has passed.
    void resolveAllDecided(State& state, Context& context)
    {
        std::vector<RequestId> ids;
        for (const auto& [id, reservation] : state.idempotency.pending)
            ids.push_back(id);
        for (const auto id : ids)
            resolveIfDecided(state, id, context);
    }

} // namespace

// --- Calls of other topics -------------------------------------------------------------------------------------------

std::vector<VmId> recordHolders(const State& state, std::string_view account, std::string_view key)
{
    const auto vms = quota::holders(state, quota::accountKey(account));
    auto order = membership::rendezvousOrder(std::string(account) + '\n' + std::string(key), vms);
    order.resize(std::min(order.size(), holdersPerKey));
    return order;
}

void reserve(State& state, RequestId id, std::string_view account, std::string_view key, Context& context)
{
    reserveWithHolders(state, id, account, key, recordHolders(state, account, key), context);
}

void reserveWithHolders(State& state, RequestId id, std::string_view account, std::string_view key,
    const std::vector<VmId>& holders, Context& context)
{
    setRecordingSince(state, context.now);
    auto& own = state.idempotency;
    Reservation reservation { ++own.lastReservationId, std::string(account), std::string(key), {}, context.now, {} };
    for (const auto& it : holders)
        reservation.holders.push_back({ it, 0, false, false });
    if (reservation.holders.empty())
        return context.followUp(ReservationResolved { id, false, RecordState::New });
    const auto reservationId = reservation.reservationId;
    own.requestsByReservation[reservationId] = id;
    auto& stored = own.pending[id] = std::move(reservation);
    sendReserveRequests(state, stored, context);
    const auto isSelf = [&state](const Holder& it) { return it.vm == state.self.process.vm; };
    if (std::any_of(stored.holders.begin(), stored.holders.end(), isSelf)) {
        const auto answer
            = createRecord(state, state.self.process, { reservationId, stored.account, stored.key }, context.now);
        handleAnswer(
            state, id, state.self.process, { reservationId, answer, hasCompleteTable(state, context.now) }, context);
    }
}

void cancel(State& state, RequestId id, Context& context)
{
    auto node = state.idempotency.pending.extract(id);
    if (node.empty())
        return;
    state.idempotency.requestsByReservation.erase(node.mapped().reservationId);
    sendOutcome(state, node.mapped(), RecordState::NotRun, context);
}

void reportOutcome(State& state, RequestId id, RecordState outcome, Context& context)
{
    const auto node = state.idempotency.granted.extract(id);
    if (!node.empty())
        sendOutcome(state, node.mapped(), outcome, context);
}

// --- Events ----------------------------------------------------------------------------------------------------------

void onTick(State& state, Context& context)
{
    setRecordingSince(state, context.now);
    expireRecords(state, context.now);
    retransmitOutcomes(state, context);
    resolveAllDecided(state, context);
    for (auto& [id, reservation] : state.idempotency.pending) {
        if (context.now >= reservation.nextSendAt)
            sendReserveRequests(state, reservation, context);
    }
}

void onReserveRequest(State& state, const ProcessId& from, const ReserveRequest& message, Context& context)
{
    setRecordingSince(state, context.now);
    const auto answer = createRecord(state, from, message, context.now);
    context.send(from.vm, ReserveReply { message.reservationId, answer, hasCompleteTable(state, context.now) });
}

void onReserveReply(State& state, const ProcessId& from, const ReserveReply& message, Context& context)
{
    const auto it = state.idempotency.requestsByReservation.find(message.reservationId);
    if (it != state.idempotency.requestsByReservation.end())
        handleAnswer(state, it->second, from, message, context);
}

void onRecordOutcome(State& state, const ProcessId& from, const RecordOutcome& message, Context& context)
{
    setRecordingSince(state, context.now);
    applyOutcome(state, from, message, context.now);
}

void onMemberChanged(State& state, const MemberChanged& event, Context& context)
{
    if (event.change == MemberChange::Joined) {
        // A new incarnation does not have the records of the previous one, so its answers no longer count.
        for (auto& [id, reservation] : state.idempotency.pending) {
            for (auto& it : reservation.holders) {
                if (it.vm != event.process.vm || it.incarnation >= event.process.incarnation)
                    continue;
                it.incarnation = event.process.incarnation;
                it.answered = false;
            }
        }
    }
    resolveAllDecided(state, context);
}

void onPeerConnectionLost(State& state, const PeerConnectionLost& event, Context& context)
{
    // Requests in flight on the broken session may be lost, so they are sent again on the next tick.
    for (auto& [id, reservation] : state.idempotency.pending) {
        const auto isUnanswered = [&event](const Holder& it) { return it.vm == event.vm && !it.answered; };
        if (std::any_of(reservation.holders.begin(), reservation.holders.end(), isUnanswered))
            reservation.nextSendAt = context.now;
    }
}

} // namespace arbutuscrank::idempotency
