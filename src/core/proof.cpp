#include <arbutuscrank/core/state.hpp>

#include <set>
#include <string_view>

namespace arbutuscrank::proof {

namespace {

    /// Time after which a query ends without the missing answers.
    constexpr Duration queryTimeout = std::chrono::seconds(2);

    /// Set in the ids of the queries that this entry forwards, to distinguish them from the ids of its own queries.
    constexpr std::uint64_t forwardedQueryBit = 1ULL << 63U;

    /// Microseconds since a time; -1 if there is none.
    std::int64_t ageMicros(const std::optional<TimePoint>& since, TimePoint now)
    {
        return since ? (now - *since).count() : -1;
    }

    /// Reports the traffic of an account at this entry.
    ProofReply makeReply(const State& state, std::uint64_t queryId, const std::string& name, TimePoint now)
    {
        ProofReply reply;
        reply.queryId = queryId;
        reply.account = name;
        reply.process = state.self.process;
        reply.manifestVersion = configuration::version(state);
        const auto* active = configuration::active(state);
        const auto* account = active == nullptr ? nullptr : active->findAccount(name);
        reply.withdrawn = active != nullptr && (account == nullptr || account->withdrawn);
        const auto it = state.proof.accounts.find(name);
        if (it == state.proof.accounts.end())
            return reply;
        reply.refusingForMicros = ageMicros(it->second.refusingSince, now);
        reply.lastRequestAgeMicros = ageMicros(it->second.lastRequestAt, now);
        reply.lastAnswerAgeMicros = ageMicros(it->second.lastAnswerAt, now);
        reply.inFlight = it->second.inFlight;
        return reply;
    }

    void completeQuery(State& state, std::uint64_t queryId, Context& context)
    {
        const auto it = state.proof.queries.find(queryId);
        ProofResult result { queryId, it->second.account, {}, {} };
        for (auto& [vm, reply] : it->second.replies) {
            if (!reply || !reply->withdrawn || reply->inFlight > 0)
                result.unconfirmed.push_back(vm);
            if (reply)
                result.replies.push_back(std::move(*reply));
        }
        state.proof.queries.erase(it);
        context.log(LogEvent::ProofCollected,
            "account=" + result.account + " replies=" + std::to_string(result.replies.size())
                + " unconfirmed=" + std::to_string(result.unconfirmed.size()));
        context.effect(std::move(result));
    }

    void sendToOwnRegion(State& state, const ProofRequest& request, Context& context)
    {
        for (const auto& [vm, record] : state.membership.members) {
            if (!record.gone && record.member.region == state.self.region)
                context.send(vm, request);
        }
    }

    /// Sends a request to the members of the own region and to one member of each other region, which forwards it to
    /// the rest of its region.
    void sendToAllRegions(State& state, const ProofRequest& request, Context& context)
    {
        sendToOwnRegion(state, request, context);
        std::set<std::string_view> regions;
        for (const auto& peer : state.membership.peers) {
            const auto* record = membership::find(state, peer.vm);
            if (record == nullptr || record->suspected || record->member.region == state.self.region)
                continue;
            if (regions.insert(record->member.region).second)
                context.send(peer.vm, request);
        }
    }

    void completeIfAnswered(State& state, std::uint64_t queryId, Context& context)
    {
        for (const auto& [vm, reply] : state.proof.queries.at(queryId).replies) {
            if (!reply)
                return;
        }
        completeQuery(state, queryId, context);
    }

} // namespace

void recordRequestSent(State& state, std::string_view account, TimePoint now)
{
    if (account.empty())
        return;
    auto& traffic = state.proof.accounts[std::string(account)];
    traffic.lastRequestAt = now;
    ++traffic.inFlight;
}

void recordRequestEnded(State& state, std::string_view account, bool answered, TimePoint now)
{
    const auto it = state.proof.accounts.find(account);
    if (it == state.proof.accounts.end())
        return;
    --it->second.inFlight;
    if (answered)
        it->second.lastAnswerAt = now;
}

void onTick(State& state, Context& context)
{
    std::vector<std::uint64_t> expired;
    for (const auto& [id, query] : state.proof.queries) {
        if (context.now >= query.deadline)
            expired.push_back(id);
    }
    for (const auto id : expired)
        completeQuery(state, id, context);
    std::erase_if(
        state.proof.forwardedQueries, [&context](const auto& it) { return context.now >= it.second.deadline; });
}

void onConfigurationApplied(State& state, const ConfigurationApplied& /*event*/, Context& context)
{
    const auto* active = configuration::active(state);
    for (auto& [name, traffic] : state.proof.accounts) {
        const auto* account = active->findAccount(name);
        const bool refused = account == nullptr || account->withdrawn;
        if (!refused)
            traffic.refusingSince.reset();
        else if (!traffic.refusingSince)
            traffic.refusingSince = context.now;
    }
    for (const auto& account : active->document().accounts) {
        auto& traffic = state.proof.accounts[account.name];
        if (account.withdrawn && !traffic.refusingSince) {
            traffic.refusingSince = context.now;
            context.log(LogEvent::AccountWithdrawn, "account=" + account.name);
        }
    }
}

void onProofQueryReceived(State& state, const ProofQueryReceived& event, Context& context)
{
    ProofQuery query { event.account, context.now + queryTimeout, {} };
    query.replies[state.self.process.vm] = makeReply(state, event.queryId, event.account, context.now);
    for (const auto& [vm, record] : state.membership.members) {
        if (!record.gone)
            query.replies[vm] = std::nullopt;
    }
    state.proof.queries[event.queryId] = std::move(query);
    sendToAllRegions(state, ProofRequest { event.queryId, event.account }, context);
    completeIfAnswered(state, event.queryId, context);
}

void onProofRequest(State& state, const ProcessId& from, const ProofRequest& message, Context& context)
{
    context.send(from.vm, makeReply(state, message.queryId, message.account, context.now));
    const auto* requester = membership::find(state, from.vm);
    if (requester == nullptr || requester->member.region == state.self.region)
        return;
    // The requester has sessions to only a few members of this region, so this entry forwards the query to the rest.
    const auto id = forwardedQueryBit | ++state.proof.lastForwardedQueryId;
    state.proof.forwardedQueries[id] = { from.vm, message.queryId, context.now + queryTimeout };
    sendToOwnRegion(state, ProofRequest { id, message.account }, context);
}

void onProofReply(State& state, const ProcessId& /*from*/, const ProofReply& message, Context& context)
{
    const auto forwardedQuery = state.proof.forwardedQueries.find(message.queryId);
    if (forwardedQuery != state.proof.forwardedQueries.end()) {
        auto answer = message;
        answer.queryId = forwardedQuery->second.queryId;
        context.send(forwardedQuery->second.origin, std::move(answer));
        return;
    }
    const auto it = state.proof.queries.find(message.queryId);
    if (it == state.proof.queries.end())
        return;
    const auto reply = it->second.replies.find(message.process.vm);
    if (reply == it->second.replies.end())
        return;
    reply->second = message;
    completeIfAnswered(state, message.queryId, context);
}

} // namespace arbutuscrank::proof
