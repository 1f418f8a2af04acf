#include <arbutuscrank/core/state.hpp>

#include <algorithm>
#include <utility>

namespace arbutuscrank::idempotency {

namespace {

    using Holder = IdempotencyState::Holder;
    using Reservation = IdempotencyState::Reservation;

    /// Pause before an outcome is sent again, and the longest one; the pause doubles each time.
    constexpr Duration firstRepeat = std::chrono::seconds(1);
    constexpr Duration lastRepeat = std::chrono::seconds(8);

    void noteStart(State& state, TimePoint now)
    {
        if (!state.idempotency.startedAt)
            state.idempotency.startedAt = now;
    }

    bool hasCompleteTable(const State& state, TimePoint now)
    {
        return now - *state.idempotency.startedAt >= recordLifetime;
    }

    // --- Messages ----------------------------------------------------------------------------------------------------

    void sendOutcome(State& state, const Reservation& reservation, RecordState outcome, Context& context)
    {
        const RecordOutcome message { reservation.reservationId, reservation.account, reservation.key, outcome };
        auto& repeats = state.idempotency.repeats;
        for (const auto& it : reservation.holders) {
            if (it.vm == state.self.process.vm) {
                noteOutcome(state, state.self.process, message, context.now);
                continue;
            }
            context.send(it.vm, message);
            // A lost removal would block the key for as long as records last.
            if (outcome == RecordState::NotRun && repeats.size() < maxRepeats)
                repeats.emplace(context.now + firstRepeat, IdempotencyState::Repeat { it.vm, message, firstRepeat });
        }
    }

    void sendRepeats(State& state, Context& context)
    {
        auto& repeats = state.idempotency.repeats;
        while (!repeats.empty() && repeats.begin()->first <= context.now) {
            auto it = std::move(repeats.extract(repeats.begin()).mapped());
            context.send(it.to, it.message);
            it.pause *= 2;
            if (it.pause <= lastRepeat)
                repeats.emplace(context.now + it.pause, std::move(it));
        }
    }

    /// Asks the holders that have not answered. This VM answers at once.
    void askHolders(State& state, Reservation& reservation, Context& context)
    {
        reservation.nextSend = context.now + reserveRetransmit;
        const ReserveRequest request { reservation.reservationId, reservation.account, reservation.key };
        for (const auto& it : reservation.holders) {
            if (!it.answered && it.vm != state.self.process.vm)
                context.send(it.vm, request);
        }
    }

    // --- Decisions ---------------------------------------------------------------------------------------------------

    void resolve(State& state, RequestId id, bool available, RecordState outcome, Context& context)
    {
        auto& own = state.idempotency;
        auto reservation = std::move(own.waiting.extract(id).mapped());
        own.requestOf.erase(reservation.reservationId);
        if (available && outcome == RecordState::New)
            own.running.emplace(id, std::move(reservation));
        else
            sendOutcome(state, reservation, RecordState::NotRun, context);
        context.followUp(ReservationResolved { id, available, outcome });
    }

    /// Whether the answers so far allow the request to run.
    bool mayRun(const State& state, const Reservation& reservation)
    {
        std::size_t answers = 0;
        std::size_t fullTables = 0;
        for (const auto& it : reservation.holders) {
            if (it.answered) {
                ++answers;
                fullTables += it.isTableComplete ? 1 : 0;
            } else if (membership::isTrusted(state, it.vm)) {
                return false;
            }
        }
        const auto needed = std::min<std::size_t>(reservation.holders.size(), 2);
        return answers >= needed && (answers == reservation.holders.size() || fullTables >= needed);
    }

    /// Resolves a reservation if its answers or its time allow. An answer that comes after the wait is not used, so a
    /// process that was paused does not act on old answers.
    void decide(State& state, RequestId id, Context& context)
    {
        const auto& reservation = state.idempotency.waiting.at(id);
        if (context.now - reservation.startedAt >= reserveWait)
            return resolve(state, id, false, RecordState::New, context);
        if (mayRun(state, reservation))
            resolve(state, id, true, RecordState::New, context);
    }

    void takeAnswer(State& state, RequestId id, const ProcessId& from, const ReserveReply& reply, Context& context)
    {
        auto& holders = state.idempotency.waiting.at(id).holders;
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
        decide(state, id, context);
    }

    /// Looks again at every open reservation, because a holder's trust changed or time has passed.
    void decideAll(State& state, Context& context)
    {
        std::vector<RequestId> ids;
        for (const auto& [id, reservation] : state.idempotency.waiting)
            ids.push_back(id);
        for (const auto id : ids)
            decide(state, id, context);
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
    reserveAt(state, id, account, key, recordHolders(state, account, key), context);
}

void reserveAt(State& state, RequestId id, std::string_view account, std::string_view key,
    const std::vector<VmId>& holders, Context& context)
{
    noteStart(state, context.now);
    auto& own = state.idempotency;
    Reservation reservation { ++own.reservations, std::string(account), std::string(key), {}, context.now, {} };
    for (const auto& it : holders)
        reservation.holders.push_back({ it, 0, false, false });
    if (reservation.holders.empty())
        return context.followUp(ReservationResolved { id, false, RecordState::New });
    const auto number = reservation.reservationId;
    own.requestOf[number] = id;
    auto& stored = own.waiting[id] = std::move(reservation);
    askHolders(state, stored, context);
    const auto isSelf = [&state](const Holder& it) { return it.vm == state.self.process.vm; };
    if (std::any_of(stored.holders.begin(), stored.holders.end(), isSelf)) {
        const auto answer = record(state, state.self.process, { number, stored.account, stored.key }, context.now);
        takeAnswer(state, id, state.self.process, { number, answer, hasCompleteTable(state, context.now) }, context);
    }
}

void cancel(State& state, RequestId id, Context& context)
{
    auto node = state.idempotency.waiting.extract(id);
    if (node.empty())
        return;
    state.idempotency.requestOf.erase(node.mapped().reservationId);
    sendOutcome(state, node.mapped(), RecordState::NotRun, context);
}

void recordOutcome(State& state, RequestId id, RecordState outcome, Context& context)
{
    const auto node = state.idempotency.running.extract(id);
    if (!node.empty())
        sendOutcome(state, node.mapped(), outcome, context);
}

// --- Events ----------------------------------------------------------------------------------------------------------

void onTick(State& state, Context& context)
{
    noteStart(state, context.now);
    expireRecords(state, context.now);
    sendRepeats(state, context);
    decideAll(state, context);
    for (auto& [id, reservation] : state.idempotency.waiting) {
        if (context.now >= reservation.nextSend)
            askHolders(state, reservation, context);
    }
}

void onReserveRequest(State& state, const ProcessId& from, const ReserveRequest& message, Context& context)
{
    noteStart(state, context.now);
    const auto answer = record(state, from, message, context.now);
    context.send(from.vm, ReserveReply { message.reservationId, answer, hasCompleteTable(state, context.now) });
}

void onReserveReply(State& state, const ProcessId& from, const ReserveReply& message, Context& context)
{
    const auto it = state.idempotency.requestOf.find(message.reservationId);
    if (it != state.idempotency.requestOf.end())
        takeAnswer(state, it->second, from, message, context);
}

void onRecordOutcome(State& state, const ProcessId& from, const RecordOutcome& message, Context& context)
{
    noteStart(state, context.now);
    noteOutcome(state, from, message, context.now);
}

void onMemberChanged(State& state, const MemberChanged& event, Context& context)
{
    if (event.change == MemberChange::Joined) {
        // A new incarnation has none of the records that the one before made.
        for (auto& [id, reservation] : state.idempotency.waiting) {
            for (auto& it : reservation.holders) {
                if (it.vm != event.process.vm || it.incarnation >= event.process.incarnation)
                    continue;
                it.incarnation = event.process.incarnation;
                it.answered = false;
            }
        }
    }
    decideAll(state, context);
}

void onPeerConnectionLost(State& state, const PeerConnectionLost& event, Context& context)
{
    // What was on the way may be lost, so it is sent again at once.
    for (auto& [id, reservation] : state.idempotency.waiting) {
        const auto lost = [&event](const Holder& it) { return it.vm == event.vm && !it.answered; };
        if (std::any_of(reservation.holders.begin(), reservation.holders.end(), lost))
            reservation.nextSend = context.now;
    }
}

} // namespace arbutuscrank::idempotency
