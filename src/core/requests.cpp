#include <arbutuscrank/core/state.hpp>

#include <algorithm>

namespace arbutuscrank::requests {

namespace {

    // --- Ending a request --------------------------------------------------------------------------------------------

    /// Removes a request and sends its outcome to the record holders of its idempotency key.
    void finish(State& state, RequestId id, RecordState outcome, Context& context)
    {
        const auto it = state.requests.requests.find(id);
        if (it->second.hasReservation)
            idempotency::reportOutcome(state, id, outcome, context);
        state.requests.requests.erase(it);
        ++state.requests.finished;
    }

    /// Ends a request with a refusal. If an attempt may have run it, the refusal says that the outcome is unknown.
    void refuse(State& state, RequestId id, Refusal refusal, Context& context)
    {
        const auto& request = state.requests.requests.at(id);
        refusal.certainlyNotRun = refusal.certainlyNotRun && !request.mayHaveRun;
        const auto outcome = refusal.certainlyNotRun ? RecordState::NotRun : RecordState::Unknown;
        if (!refusal.certainlyNotRun)
            context.log(LogEvent::RequestOutcomeUnknown, "request=" + std::to_string(id) + " reason=" + refusal.reason);
        context.effect(RefuseRequest { id, std::move(refusal), request.service, request.account });
        finish(state, id, outcome, context);
    }

    /// Refuses a request for which no state has been created.
    void refuseUntracked(RequestId id, int status, std::string reason, std::string detail, Context& context)
    {
        context.effect(
            RefuseRequest { id, Refusal { status, std::move(reason), true, {}, std::move(detail) }, {}, {} });
    }

    // --- Routing a request -------------------------------------------------------------------------------------------

    void beginAttempt(Request& request, Context& context)
    {
        ++request.attempt;
        request.phase = RequestPhase::Running;
        request.attemptStartedAt = context.now;
        request.target.clear();
        request.owner.clear();
    }

    void runHere(State& state, RequestId id, std::string target, std::string address, Context& context)
    {
        auto& request = state.requests.requests.at(id);
        beginAttempt(request, context);
        request.target = target;
        proof::recordRequestSent(state, request.account, context.now);
        context.effect(RunAttempt { id, request.attempt, request.service, request.account, std::move(target),
            std::move(address), request.deadline, context.now });
    }

    void forwardTo(State& state, RequestId id, VmId owner, std::string address, Context& context)
    {
        auto& request = state.requests.requests.at(id);
        beginAttempt(request, context);
        request.owner = owner;
        proof::recordRequestSent(state, request.account, context.now);
        context.effect(ForwardAttempt { id, request.attempt, request.service, request.account, std::move(owner),
            std::move(address), request.idempotent, request.deadline, context.now });
    }

    /// Carries out a routing decision. Each operator returns whether the request now runs or is queued.
    struct RouteDecisionHandler {
        State& state;
        RequestId id;
        Context& context;

        bool operator()(routing::RunHere& decision) const
        {
            runHere(state, id, std::move(decision.target), std::move(decision.address), context);
            return true;
        }
        bool operator()(routing::ForwardTo& decision) const
        {
            forwardTo(state, id, std::move(decision.owner), std::move(decision.address), context);
            return true;
        }
        bool operator()(routing::Queued& /*decision*/) const
        {
            state.requests.requests.at(id).phase = RequestPhase::Queued;
            return true;
        }
        bool operator()(routing::NoRoute& decision) const
        {
            auto& request = state.requests.requests.at(id);
            request.refusalReason = std::move(decision.reason);
            request.retryAfter = decision.retryAfter;
            return false;
        }
    };

    bool routeInRegion(State& state, RequestId id, Context& context)
    {
        const auto& request = state.requests.requests.at(id);
        const routing::Query query { id, request.service, request.account, request.regions.front().region,
            request.deadline, &request.excludedOwners, request.forwarded, &request.excludedTargets };
        auto decision = routing::route(state, query, context);
        return std::visit(RouteDecisionHandler { state, id, context }, decision);
    }

    /// Result of acquiring the quotas of a region.
    enum class QuotaStep {
        Ready, ///< all quotas are acquired
        Waiting, ///< the request waits for a quota
        Refused ///< a quota was refused, so the region cannot take the request
    };

    /// Acquires the remaining quotas of the current region.
    QuotaStep acquireRegionQuotas(State& state, RequestId id, Context& context)
    {
        auto& request = state.requests.requests.at(id);
        const auto& quotas = request.regions.front().quotas;
        while (request.nextQuotaIndex < quotas.size()) {
            const auto& [key, tokens] = quotas[request.nextQuotaIndex];
            // While there is another region to try, a wait longer than a loan within the own region takes would only
            // add latency.
            const auto wait = request.regions.size() > 1 ? maxRegionLoanWait : maxLoanWait;
            const auto waitUntil = std::min(request.deadline, context.now + wait);
            const auto decision = quota::acquire(state, key, id, tokens, waitUntil, context);
            if (decision.kind == quota::Decision::Kind::Waiting) {
                request.phase = RequestPhase::RegionQuota;
                return QuotaStep::Waiting;
            }
            if (decision.kind == quota::Decision::Kind::Refused) {
                request.refusalReason = "region-quota";
                request.retryAfter = decision.retryAfter;
                return QuotaStep::Refused;
            }
            ++request.nextQuotaIndex;
        }
        return QuotaStep::Ready;
    }

    /// Tries the regions in order until the request runs or waits. Refuses it if no region is left.
    void routeRequest(State& state, RequestId id, Context& context)
    {
        auto& request = state.requests.requests.at(id);
        while (!request.regions.empty()) {
            const auto step = acquireRegionQuotas(state, id, context);
            if (step == QuotaStep::Waiting)
                return;
            if (step == QuotaStep::Ready && routeInRegion(state, id, context))
                return;
            request.regions.erase(request.regions.begin());
            request.nextQuotaIndex = 0;
        }
        const auto reason = request.refusalReason.empty() ? std::string("no-target") : request.refusalReason;
        refuse(state, id, Refusal { 503, reason, true, request.retryAfter, {} }, context);
    }

    /// Chooses the regions that the service and the account allow, then routes the request.
    void chooseRegions(State& state, RequestId id, Context& context)
    {
        auto& request = state.requests.requests.at(id);
        auto choices = steering::chooseRegions(state, request.service, request.account, context);
        const auto* account = configuration::active(state)->findAccount(request.account);
        if (account != nullptr) {
            std::erase_if(choices, [account](const steering::RegionChoice& choice) {
                return std::find(account->regions.begin(), account->regions.end(), choice.region)
                    == account->regions.end();
            });
        }
        request.regions = std::move(choices);
        request.nextQuotaIndex = 0;
        routeRequest(state, id, context);
    }

    /// Reserves the idempotency key of a request that needs it, then routes the request.
    void continueAfterAdmission(State& state, RequestId id, Context& context)
    {
        auto& request = state.requests.requests.at(id);
        request.admittedAt = context.now;
        routing::countFirstTry(state, request.service);
        if (request.idempotent || request.idempotencyKey.empty() || request.account.empty())
            return chooseRegions(state, id, context);
        request.phase = RequestPhase::Reservation;
        idempotency::reserve(state, id, request.account, request.idempotencyKey, context);
    }

    // --- Ending an attempt -------------------------------------------------------------------------------------------

    /// Whether the request may be tried again. If so, counts the retry against the retry budget of the service.
    bool acquireRetry(State& state, const Request& request, const AttemptEnded& event, Context& context)
    {
        if (request.forwarded || context.now >= request.deadline)
            return false;
        if (event.outcome == AttemptOutcome::Unknown && !request.idempotent)
            return false;
        return routing::tryTakeRetry(state, request.service);
    }

    /// Refusal of a request whose last attempt failed.
    Refusal refusalForAttempt(const Request& request, const AttemptEnded& event, TimePoint now)
    {
        if (request.withdrawn)
            return { 403, "withdrawn", event.outcome == AttemptOutcome::NotRun, {}, event.detail };
        if (event.outcome == AttemptOutcome::NotRun)
            return { 503, event.shed ? "overloaded" : "target-unavailable", true, event.retryAfter, event.detail };
        if (now >= request.deadline)
            return { 504, "deadline-exceeded", false, {}, event.detail };
        return { 502, "target-failed", false, {}, event.detail };
    }

    /// Routes a request again, without the owner or target of the failed attempt.
    void retry(State& state, RequestId id, Context& context)
    {
        auto& request = state.requests.requests.at(id);
        if (!request.owner.empty())
            request.excludedOwners.insert(request.owner);
        else
            request.excludedTargets.insert(request.target);
        chooseRegions(state, id, context);
    }

    /// Cancels what a request waits for in its phase; does nothing for a running request.
    void stopWaiting(State& state, RequestId id, RequestPhase phase, Context& context)
    {
        switch (phase) {
        case RequestPhase::Admission:
        case RequestPhase::RegionQuota:
            return quota::cancelWait(state, id);
        case RequestPhase::Reservation:
            return idempotency::cancel(state, id, context);
        case RequestPhase::Queued:
            return routing::cancelQueued(state, id, context);
        case RequestPhase::Running:
            return;
        }
    }

    /// Whether the account (for a forwarded request) or the key of a request is still valid.
    bool isStillAllowed(const State& state, const Request& request)
    {
        if (request.account.empty())
            return true;
        if (request.forwarded) {
            const auto* account = configuration::active(state)->findAccount(request.account);
            return account != nullptr && !account->withdrawn;
        }
        const auto it = state.keys.keys.find(request.keyId);
        return it != state.keys.keys.end() && it->second.account == request.account;
    }

} // namespace

std::size_t inFlight(const State& state) noexcept { return state.requests.requests.size(); }

// --- Arrival ---------------------------------------------------------------------------------------------------------

void onRequestArrived(State& state, const RequestArrived& event, Context& context)
{
    const auto* active = configuration::active(state);
    if (active == nullptr)
        return refuseUntracked(event.id, 503, "no-configuration", "no configuration has been applied yet", context);
    const auto* service = active->findServiceForPath(event.path);
    if (service == nullptr)
        return refuseUntracked(event.id, 404, "no-service", "no service has this path", context);
    if (event.idempotencyKey.size() > idempotency::maxKeyBytes) {
        return refuseUntracked(event.id, 400, "idempotency-key-too-long",
            "Idempotency-Key: at most 255 bytes, found " + std::to_string(event.idempotencyKey.size()), context);
    }

    Request request;
    if (!ActiveDocument::isOpenPath(*service, event.path)) {
        const auto identity = keys::authenticate(state, event.key);
        if (!identity)
            return refuseUntracked(event.id, 401, "bad-key", "the API key is missing, unknown or withdrawn", context);
        if (!configuration::keyedRequestsAllowed(state, context.now))
            return refuseUntracked(event.id, 503, "configuration-stale",
                "the configuration is out of date and may lack withdrawals of keys", context);
        const auto& granted = active->findAccount(identity->account)->services;
        if (std::find(granted.begin(), granted.end(), service->name) == granted.end())
            return refuseUntracked(
                event.id, 403, "service-not-granted", "the account may not use " + service->name, context);
        request.account = identity->account;
        request.keyId = identity->keyId;
    }
    const auto timeout = event.timeout.value_or(std::chrono::milliseconds(service->defaultTimeoutMs));
    request.idempotent = event.idempotent;
    request.service = service->name;
    request.idempotencyKey = event.idempotencyKey;
    request.arrivedAt = context.now;
    request.deadline = context.now + std::min(timeout, maxTimeout);
    const bool keyed = !request.account.empty();
    const auto key = quota::accountKey(request.account);
    const auto waitUntil = std::min(request.deadline, context.now + maxLoanWait);
    state.requests.requests.emplace(event.id, std::move(request));
    if (!keyed)
        return continueAfterAdmission(state, event.id, context);

    const auto decision = quota::acquire(state, key, event.id, oneToken, waitUntil, context);
    if (decision.kind == quota::Decision::Kind::Granted)
        continueAfterAdmission(state, event.id, context);
    else if (decision.kind == quota::Decision::Kind::Refused)
        refuse(state, event.id, Refusal { 429, "rate-exceeded", true, decision.retryAfter, {} }, context);
}

void onForwardArrived(State& state, const ForwardArrived& event, Context& context)
{
    const auto* active = configuration::active(state);
    if (active == nullptr || active->findService(event.service) == nullptr)
        return refuseUntracked(
            event.id, 503, "no-service", "this entry has no configuration with the forwarded service", context);
    Request request;
    request.forwarded = true;
    request.idempotent = event.idempotent;
    request.service = event.service;
    request.account = event.account;
    request.arrivedAt = context.now;
    request.admittedAt = context.now;
    request.deadline = context.now + std::min(event.timeout, maxTimeout);
    request.regions = { steering::RegionChoice { state.self.region, {} } };
    if (!isStillAllowed(state, request))
        return refuseUntracked(event.id, 403, "withdrawn", "the account is withdrawn", context);
    state.requests.requests.emplace(event.id, std::move(request));
    routeRequest(state, event.id, context);
}

// --- Results that requests wait for ----------------------------------------------------------------------------------

void onQuotaResolved(State& state, const QuotaResolved& event, Context& context)
{
    const auto it = state.requests.requests.find(event.id);
    if (it == state.requests.requests.end())
        return;
    auto& request = it->second;
    if (request.phase == RequestPhase::Admission) {
        if (event.granted)
            return continueAfterAdmission(state, event.id, context);
        return refuse(state, event.id, Refusal { 429, "rate-exceeded", true, event.retryAfter, {} }, context);
    }
    if (request.phase != RequestPhase::RegionQuota)
        return;
    if (event.granted) {
        ++request.nextQuotaIndex;
    } else {
        request.refusalReason = "region-quota";
        request.retryAfter = event.retryAfter;
        request.regions.erase(request.regions.begin());
        request.nextQuotaIndex = 0;
    }
    routeRequest(state, event.id, context);
}

void onReservationResolved(State& state, const ReservationResolved& event, Context& context)
{
    const auto it = state.requests.requests.find(event.id);
    if (it == state.requests.requests.end() || it->second.phase != RequestPhase::Reservation)
        return;
    if (!event.available)
        return refuse(
            state, event.id, Refusal { 503, "reservation-unavailable", true, std::chrono::seconds(1), {} }, context);
    if (event.state == RecordState::New) {
        it->second.hasReservation = true;
        return chooseRegions(state, event.id, context);
    }
    const bool complete = event.state == RecordState::Complete;
    const auto reason = complete ? "duplicate-complete" : "duplicate-unknown";
    // The outcome that the caller receives is that of the earlier request with this key. That request ran or may have
    // run, so the refusal never says "not run".
    refuse(state, event.id, Refusal { 409, reason, false, {}, "an earlier request has used this idempotency key" },
        context);
}

void onSlotGranted(State& state, const SlotGranted& event, Context& context)
{
    const auto it = state.requests.requests.find(event.id);
    if (it != state.requests.requests.end() && it->second.phase == RequestPhase::Queued)
        return runHere(state, event.id, event.target, event.address, context);
    // The request ended between the grant and this event, so the slot is released.
    AttemptEnded unused;
    unused.id = event.id;
    unused.outcome = AttemptOutcome::NotRun;
    routing::recordAttemptEnd(state, event.target, unused, {}, context);
}

void onQueueRefused(State& state, const QueueRefused& event, Context& context)
{
    const auto it = state.requests.requests.find(event.id);
    if (it == state.requests.requests.end() || it->second.phase != RequestPhase::Queued)
        return;
    auto& request = it->second;
    request.refusalReason = event.reason;
    request.retryAfter = event.retryAfter;
    request.regions.erase(request.regions.begin());
    request.nextQuotaIndex = 0;
    routeRequest(state, event.id, context);
}

// --- Attempts --------------------------------------------------------------------------------------------------------

void onAnswerStarted(State& state, const AnswerStarted& event, Context& /*context*/)
{
    const auto it = state.requests.requests.find(event.id);
    if (it != state.requests.requests.end() && it->second.attempt == event.attempt)
        it->second.answerStarted = true;
}

void onAttemptEnded(State& state, const AttemptEnded& event, Context& context)
{
    const auto it = state.requests.requests.find(event.id);
    if (it == state.requests.requests.end() || it->second.phase != RequestPhase::Running
        || it->second.attempt != event.attempt)
        return;
    auto& request = it->second;
    const auto duration = context.now - request.attemptStartedAt;
    proof::recordRequestEnded(state, request.account, event.answerStarted, context.now);
    request.mayHaveRun = request.mayHaveRun || event.outcome == AttemptOutcome::Unknown;
    // An attempt that this process cancelled does not count against the health of its target or owner.
    AttemptEnded reportedEvent = event;
    reportedEvent.cancelled = event.cancelled || request.cancelled || request.withdrawn;
    // If the request ends here, it is removed before the slot is released, because the release may start another
    // request.
    const auto endAttempt = [&state, &reportedEvent, &context, duration, target = request.target, owner = request.owner,
                                service = request.service] {
        if (!target.empty())
            routing::recordAttemptEnd(state, target, reportedEvent, duration, context);
        else
            routing::recordForwardEnd(state, owner, service, reportedEvent, context);
    };

    if (event.outcome == AttemptOutcome::Complete) {
        finish(state, event.id, RecordState::Complete, context);
        return endAttempt();
    }
    if (event.answerStarted) {
        context.log(LogEvent::AnswerCutShort, "request=" + std::to_string(event.id) + " detail=" + event.detail);
        finish(state, event.id, RecordState::Unknown, context);
        return endAttempt();
    }
    if (request.cancelled) {
        context.log(LogEvent::RequestCancelled, "request=" + std::to_string(event.id));
        finish(state, event.id, request.mayHaveRun ? RecordState::Unknown : RecordState::NotRun, context);
        return endAttempt();
    }
    endAttempt();
    if (!request.withdrawn && acquireRetry(state, request, event, context))
        return retry(state, event.id, context);
    refuse(state, event.id, refusalForAttempt(request, event, context.now), context);
}

void onCallerDisconnected(State& state, const CallerDisconnected& event, Context& context)
{
    const auto it = state.requests.requests.find(event.id);
    if (it == state.requests.requests.end() || it->second.cancelled)
        return;
    auto& request = it->second;
    if (request.phase == RequestPhase::Running) {
        request.cancelled = true;
        context.effect(CancelAttempt { event.id, request.attempt });
        return;
    }
    stopWaiting(state, event.id, request.phase, context);
    finish(state, event.id, request.mayHaveRun ? RecordState::Unknown : RecordState::NotRun, context);
}

// --- Time and configuration ------------------------------------------------------------------------------------------

void onTick(State& state, Context& context)
{
    std::vector<RequestId> expired;
    for (const auto& [id, request] : state.requests.requests) {
        if (request.phase != RequestPhase::Running && context.now >= request.deadline)
            expired.push_back(id);
    }
    std::sort(expired.begin(), expired.end());
    for (const auto id : expired) {
        stopWaiting(state, id, state.requests.requests.at(id).phase, context);
        refuse(state, id, Refusal { 504, "deadline-exceeded", true, {}, {} }, context);
    }
}

void onConfigurationApplied(State& state, const ConfigurationApplied& /*event*/, Context& context)
{
    std::vector<RequestId> withdrawn;
    for (const auto& [id, request] : state.requests.requests) {
        if (!request.withdrawn && !isStillAllowed(state, request))
            withdrawn.push_back(id);
    }
    std::sort(withdrawn.begin(), withdrawn.end());
    for (const auto id : withdrawn) {
        auto& request = state.requests.requests.at(id);
        if (request.phase == RequestPhase::Running) {
            request.withdrawn = true;
            context.effect(CancelAttempt { id, request.attempt });
            continue;
        }
        stopWaiting(state, id, request.phase, context);
        refuse(state, id, Refusal { 403, "withdrawn", true, {}, {} }, context);
    }
}

} // namespace arbutuscrank::requests
