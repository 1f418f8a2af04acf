#include "entry/attempts.hpp"

#include "entry/admission.hpp"

#include <arbutuscrank/entry/rate_shares.hpp>
#include <arbutuscrank/entry/target_health.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace arbutuscrank::entry {

namespace {

    using std::chrono::milliseconds;

    /// Weight of one answer in the moving average of a route's duration.
    constexpr double durationAverageWeight = 0.05;
    /// Multiple of the typical duration after which a hedged request is sent. It exceeds 3.3, because an attempt takes
    /// up to 3.3 times as long at a target that has to load the object first.
    constexpr double hedgeFactor = 4.0;
    constexpr Duration minHedgeDelay = milliseconds(250);
    /// Multiple of the typical duration that a request may need: a target that has to load the object takes 3.3 times
    /// as long, and the request may wait before.
    constexpr double longDurationFactor = 4.0;
    /// Time after the stop request from which only requests that are certain to end are taken. Callers that hold the
    /// answer of a look-up for as long as they may, three times its lifetime of one second, have then looked up again.
    constexpr Duration heldLookupTime = milliseconds(2800);
    /// Time that the answer to a request takes to the caller before a VM that shuts down ends.
    constexpr Duration stopAnswerTime = milliseconds(150);
    /// Minimum time until the deadline for a retry, as a multiple of the route's typical duration.
    constexpr double minRetryTimeFactor = 0.8;
    /// Timeout of connection setup. It covers one round trip between regions, also if the first packet is lost.
    constexpr Duration connectTimeout = milliseconds(700);
    /// Minimum Retry-After of a refusal because no target ran the request, and the maximum of the random jitter that is
    /// added to it. Busy targets free a slot within a few hundred milliseconds.
    constexpr Duration minNotRunRetryAfter = milliseconds(150);
    constexpr Duration notRunRetryAfterJitter = milliseconds(450);

    double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    Duration typicalDuration(const EntryState& state, const Request& request)
    {
        const auto it = state.routeDurations.find(request.route);
        const double typicalSeconds = it == state.routeDurations.end() ? 0 : it->second.seconds;
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(typicalSeconds));
    }

    void logEjection(const Target& target, Effects& out)
    {
        const bool isReadmitted = target.ejection == Ejection::None;
        out.push_back(WriteLog { isReadmitted ? LogEvent::TargetHealthy : LogEvent::TargetUnhealthy,
            fmt::format("target={} state={} failure_share={:.2f} slowness={:.1f} ejections={}", target.record.id,
                toString(target.ejection), target.failureShare, target.slowness, target.consecutiveEjections) });
    }

    /// Removes an attempt from the counters of its target.
    /// \returns the target, or nullptr if it is no longer known
    Target* releaseTarget(EntryState& state, const Attempt& attempt)
    {
        auto* target = state.targets.find(attempt.target);
        if (!target)
            return nullptr;
        if (target->inFlight > 0)
            --target->inFlight;
        if (attempt.isTrial)
            target->isTrialInFlight = false;
        return target;
    }

    /// Returns the affinity key as the caller sent it, which is the affinity value without the route.
    std::string_view affinityKey(const Request& request)
    {
        return std::string_view(request.affinity).substr(std::min(request.affinity.size(), request.route.size() + 1));
    }

    /// Regions to which the route and the account restrict a request; empty if all may serve it, or none.
    std::vector<std::string> permittedRegions(const Request& request)
    {
        if (request.routeRegions.empty() || request.accountRegions.empty())
            return request.routeRegions.empty() ? request.accountRegions : request.routeRegions;
        std::vector<std::string> out;
        std::ranges::copy_if(request.routeRegions, std::back_inserter(out), [&](const auto& region) {
            return std::ranges::find(request.accountRegions, region) != request.accountRegions.end();
        });
        return out;
    }

    RoomAsk roomAsk(const Request& request, TimePoint now)
    {
        const auto timeLeft = request.deadline - now;
        const bool hasObjective = request.latencyObjective > Duration::zero();
        return {
            .service = request.service,
            .route = request.route,
            .rank = request.rank,
            .objectiveLeft = hasObjective ? request.arrivedAt + request.latencyObjective - now : timeLeft,
            .timeLeft = timeLeft,
        };
    }

    /// Load per slot up to which a request may wait at a target.
    double maxLoad(const EntryState& state, const RoomAsk& ask)
    {
        return state.room ? state.room->maxLoad(ask) : defaultMaxLoad(ask.rank.priority);
    }

    TargetChoice chooseTarget(EntryState& state, const Request& request, double maxLoad, TimePoint now)
    {
        const Placement placement {
            .service = request.service,
            .affinity = request.affinity,
            .routeRegions = &request.routeRegions,
            .accountRegions = &request.accountRegions,
            .excludedTargets = &request.triedTargets,
            .idempotent = request.idempotent,
            .slackClass = slackClass(request.latencyObjective),
            .maxLoad = maxLoad,
        };
        return state.selection.choose(state.targets, placement, now);
    }

    /// Load per slot of a target with one more request; 1 if all targets are full.
    double loadWithRequest(const Target* target, TimePoint now)
    {
        return target ? (target->load(now) + 1) / std::max(1U, target->record.slots) : 1;
    }

    /// Counts a request in the demand for its service.
    void countDemand(EntryState& state, const Request& request)
    {
        auto& demand = state.serviceDemand[request.service];
        ++demand.admittedSinceUpdate;
        if (state.room)
            demand.workSinceUpdate[request.rank] += state.room->meanWork(request.route);
        const auto regions = permittedRegions(request);
        if (regions.size() == 1)
            ++demand.restrictedSinceUpdate[regions.front()];
        else if (regions.empty() || std::ranges::find(regions, state.settings.region) != regions.end())
            ++demand.movableSinceUpdate[slackClass(request.latencyObjective)];
    }

    void send(
        EntryState& state, RequestId id, Request& request, const TargetChoice& choice, TimePoint now, Effects& out)
    {
        auto& target = *choice.target;
        ++target.inFlight;
        if (choice.isTrial)
            target.isTrialInFlight = true;
        if (state.targets.isRateLimited(target, now))
            (void)target.rateBucket.trySpend(oneToken, now); // cannot fail: choose() has checked the bucket
        const auto attempt = ++state.lastAttemptId;
        request.attempts.emplace(attempt,
            Attempt { .target = target.record.id,
                .sentAt = now,
                .isTrial = choice.isTrial,
                .loadPerSlot = target.load(now) / std::max(1U, target.record.slots) });
        request.triedTargets.push_back(target.record.id);
        ++request.countedAttempts;
        out.push_back(SendAttempt {
            .request = id,
            .attempt = attempt,
            .target = target.record.id,
            .address = target.record.address,
            .account = request.account,
            .deadline = request.deadline,
            .connectTimeout = connectTimeout,
            .atMostOnce = !request.idempotent,
        });
        out.push_back(WriteLog { LogEvent::AttemptSent,
            fmt::format(
                "request={} attempt={} route={} affinity={} target={} service={} number={} priority={} load={:.1f}/{} "
                "cold={} trial={}",
                request.callerRequestId, attempt, request.route, affinityKey(request), target.record.id,
                request.service, request.countedAttempts, request.rank.priority, target.load(now), target.record.slots,
                target.isCold(now), choice.isTrial) });
        const auto typical = typicalDuration(state, request);
        if (request.idempotent && typical > Duration::zero()) {
            const auto delay
                = std::max<Duration>(minHedgeDelay, std::chrono::duration_cast<Duration>(typical * hedgeFactor));
            out.push_back(SetHedgeTimer { id, now + delay });
        }
    }

    bool hasTimeForRetry(const EntryState& state, const Request& request, TimePoint now)
    {
        return seconds(request.deadline - now) > minRetryTimeFactor * seconds(typicalDuration(state, request))
            && request.deadline > now;
    }

    /// Sends a retry or hedged request if the route, the deadline and the retry budget allow it.
    /// \returns whether it was sent
    bool sendFurtherAttempt(EntryState& state, RequestId id, Request& request, TimePoint now, Effects& out)
    {
        if (request.countedAttempts >= request.maxAttempts || !hasTimeForRetry(state, request, now))
            return false;
        auto ask = roomAsk(request, now);
        const auto choice = chooseTarget(state, request, maxLoad(state, ask), now);
        ask.loadPerSlot = loadWithRequest(choice.target, now);
        // A request that may have run fails without a retry, which is worse than a late answer.
        if (state.room && !request.mayHaveRun && !state.room->permitsFurtherAttempt(ask))
            return false;
        if (!choice.target || !state.retryLimit.tryTakeRetry(request.service, now))
            return false;
        send(state, id, request, choice, now, out);
        return true;
    }

    void refuseNotRun(
        EntryState& state, RequestId id, const Request& request, std::string_view reason, TimePoint now, Effects& out)
    {
        admission::returnToken(state, request, out);
        const auto jitter = static_cast<double>(notRunRetryAfterJitter.count()) * state.random.unit();
        attempts::answerLocally(state, id, request, 503, reason,
            minNotRunRetryAfter + Duration(static_cast<Duration::rep>(jitter)), {}, now, out);
    }

    /// Ends a request that no target has answered with success and that is sent to no further one.
    void endRequest(EntryState& state, RequestId id, Request& request, TimePoint now, Effects& out)
    {
        if (request.failureAnswerAttempt) {
            out.push_back(DeliverAnswer { id, *request.failureAnswerAttempt, request.account, request.service });
            attempts::finish(state, id, now, out);
            return;
        }
        if (request.mayHaveRun)
            attempts::answerLocally(state, id, request, 502, "outcome-unknown", {}, {}, now, out);
        else
            refuseNotRun(state, id, request, "targets-refused", now, out);
    }

    /// Handles the end of an attempt without a successful answer. If no other attempt is in flight, sends a retry or
    /// ends the request.
    void retryOrEndRequest(EntryState& state, RequestId id, Request& request, TimePoint now, Effects& out)
    {
        if (!request.attempts.empty())
            return;
        if ((request.idempotent || !request.mayHaveRun) && sendFurtherAttempt(state, id, request, now, out))
            return;
        endRequest(state, id, request, now, out);
    }

    /// Handles the end of an attempt because the request can be sent to no target. If no other attempt is in flight,
    /// ends the request.
    void endUnsendable(EntryState& state, RequestId id, Request& request, TimePoint now, Effects& out)
    {
        if (!request.attempts.empty())
            return;
        if (request.mayHaveRun) {
            endRequest(state, id, request, now, out);
            return;
        }
        admission::returnToken(state, request, out);
        attempts::answerLocally(state, id, request, 502, "unsendable", {}, {}, now, out);
    }

    /// Records what an answer says of the target's limit.
    void recordNamedRate(
        EntryState& state, Target& target, const RateLimitStatement& statement, TimePoint now, Effects& out)
    {
        using enum RateLimitStatement::Kind;
        const auto before = target.rateLimit(now);
        // Without a limit, nothing has to be remembered unless one was known.
        if (statement.kind == Unreadable || (statement.kind == None && !target.namedRate && !before))
            return;
        target.namedRate = NamedRate { .statedAt = now };
        if (statement.kind == Limited)
            target.namedRate->perSecond = statement.perSecond;
        logIfLimitChanged(target, before, "answer", now, out);
        updateRateShare(state.targets, target, state.policy, state.members, now);
        if (before.has_value() != target.rateLimit(now).has_value())
            sendEarlyReports(state, now, out);
    }

    /// Records that a target is about to stop, or wants no request for some time.
    void recordLeavingAndPause(Target& target, const AttemptAnswered& event, TimePoint now, Effects& out)
    {
        if (event.isLeaving && !std::exchange(target.isLeaving, true)) {
            out.push_back(WriteLog { LogEvent::TargetDraining,
                fmt::format("target={} cause=answer revision={}", target.record.id, target.record.revision) });
            out.push_back(CloseIdleConnections { target.record.id });
        }
        if (!event.pause)
            return;
        if (!target.isPaused(now))
            out.push_back(WriteLog { LogEvent::TargetPaused,
                fmt::format("target={} pause_ms={}", target.record.id, *event.pause / milliseconds(1)) });
        target.pausedUntil = std::max(target.pausedUntil.value_or(now), now + *event.pause);
    }

    /// Records what an answer says of the target's load.
    void recordLoad(Target& target, const AttemptAnswered& event, TimePoint now, Effects& out)
    {
        if (!event.load)
            return;
        const auto all = event.load->running + event.load->waiting;
        // The load report includes the answered request and this VM's other attempts.
        target.othersLoad = all > target.inFlight + 1 ? all - target.inFlight - 1 : 0;
        target.loadReportedAt = now;
        if (event.kind == AnswerKind::Misdirected)
            return; // the answer comes from another target
        if (event.load->workTimePercent)
            target.recordWorkTime(*event.load->workTimePercent, now);
        // Each answer of such a target would give a line.
        if (!event.unusableWorkTime.empty() && !std::exchange(target.hasUnusableWorkTime, true))
            out.push_back(WriteLog { LogEvent::AnswerValueRefused,
                fmt::format("attempt={} target={} field=work-time limit=\"above 0, up to {}\" found=\"{}\"",
                    event.attempt, target.record.id, maxWorkTimePercent, event.unusableWorkTime) });
    }

    void recordDuration(EntryState& state, const Request& request, double durationSeconds)
    {
        auto& typicalSeconds = state.routeDurations[request.route].seconds;
        typicalSeconds = typicalSeconds <= 0
            ? durationSeconds
            : typicalSeconds + durationAverageWeight * (durationSeconds - typicalSeconds);
    }

    double relativeDuration(const EntryState& state, const Request& request, double durationSeconds)
    {
        const auto typicalSeconds = seconds(typicalDuration(state, request));
        return typicalSeconds <= 0 ? 1 : std::max(0.01, durationSeconds / typicalSeconds);
    }

} // namespace

void logIfLimitChanged(
    const Target& target, std::optional<double> before, std::string_view cause, TimePoint now, Effects& out)
{
    const auto after = target.rateLimit(now);
    if (before.has_value() != after.has_value())
        out.push_back(WriteLog { LogEvent::TargetLimited,
            fmt::format("target={} per_second={} cause={}", target.record.id,
                after ? fmt::format("{}", *after) : std::string("unlimited"), cause) });
}

namespace attempts {

    void answerLocally(EntryState& state, RequestId id, const Request& request, std::uint32_t status,
        std::string_view reason, Duration retryAfter, std::string_view inputs, TimePoint now, Effects& out)
    {
        const bool notRun = !request.mayHaveRun && request.attempts.empty();
        out.push_back(
            SendLocalAnswer { id, status, std::string(reason), retryAfter, request.account, request.service });
        out.push_back(WriteLog { notRun ? LogEvent::RequestRefused : LogEvent::RequestOutcomeUnknown,
            fmt::format("request={} status={} reason={} service={} account={} attempts={} age_ms={} version={}{}{}",
                request.callerRequestId, status, reason, request.service, request.account, request.countedAttempts,
                (now - request.arrivedAt) / milliseconds(1), state.policy.policy().version, inputs.empty() ? "" : " ",
                inputs) });
        finish(state, id, now, out);
    }

    TimePoint limitToStop(const EntryState& state, TimePoint deadline) noexcept
    {
        return state.stopRequestedAt ? std::min(deadline, stopEndsAt(state) - stopAnswerTime) : deadline;
    }

    bool canEndBeforeStop(const EntryState& state, const Request& request, TimePoint now)
    {
        if (!state.stopRequestedAt)
            return true;
        const auto end = stopEndsAt(state) - stopAnswerTime;
        if (request.deadline <= end)
            return true;
        // A request that must run at most once is lost if it is broken off, while its refusal costs the caller only the
        // way to another VM.
        const auto typical = typicalDuration(state, request);
        const bool mayBeBrokenOff = request.idempotent && now - *state.stopRequestedAt < heldLookupTime;
        return mayBeBrokenOff && typical > Duration::zero()
            && now + std::chrono::duration_cast<Duration>(typical * longDurationFactor) <= end;
    }

    void start(EntryState& state, RequestId id, Request& request, TimePoint now, Effects& out)
    {
        countDemand(state, request);
        state.retryLimit.countRequest(request.service, now);
        auto ask = roomAsk(request, now);
        const auto choice = chooseTarget(state, request, maxLoad(state, ask), now);
        ask.loadPerSlot = loadWithRequest(choice.target, now);
        const auto decision = state.room ? state.room->decide(ask, state.random) : Admit {};
        if (const auto* rejected = std::get_if<RejectForRoom>(&decision)) {
            admission::returnToken(state, request, out);
            answerLocally(state, id, request, 503, "room-shared", rejected->retryAfter,
                fmt::format("priority={} route_priority={} cause={} retry_after_ms={} load_per_slot={:.2f}",
                    request.rank.priority, request.rank.routePriority, rejected->cause,
                    rejected->retryAfter / milliseconds(1), ask.loadPerSlot),
                now, out);
            return;
        }
        if (choice.target)
            send(state, id, request, choice, now, out);
        else
            refuseNotRun(state, id, request,
                choice.reason == NoTargetReason::NoneAvailable ? "targets-busy" : "no-target", now, out);
    }

    void expire(EntryState& state, RequestId id, Request& request, TimePoint now, Effects& out)
    {
        for (const auto& [number, attempt] : request.attempts) {
            if (auto* target = state.targets.find(attempt.target)) {
                const auto durationSeconds = seconds(now - attempt.sentAt);
                if (health::recordOutcome(
                        *target, health::Outcome::Failed, relativeDuration(state, request, durationSeconds), now))
                    logEjection(*target, out);
            }
        }
        if (request.mayHaveRun || !request.attempts.empty())
            answerLocally(state, id, request, 504, "timeout", {}, {}, now, out);
        else
            refuseNotRun(state, id, request, "timeout", now, out);
    }

    void finish(EntryState& state, RequestId id, TimePoint, Effects& out)
    {
        const auto it = state.requests.find(id);
        if (it == state.requests.end())
            return;
        for (const auto& [number, attempt] : it->second.attempts) {
            (void)releaseTarget(state, attempt);
            out.push_back(CancelAttempt { number });
        }
        state.requests.erase(it);
    }

} // namespace attempts

void apply(EntryState& state, const HedgeDue& event, TimePoint now, Effects& out)
{
    const auto it = state.requests.find(event.request);
    if (it != state.requests.end() && it->second.idempotent && it->second.attempts.size() == 1)
        (void)sendFurtherAttempt(state, event.request, it->second, now, out);
}

void apply(EntryState& state, const AttemptAnswered& event, TimePoint now, Effects& out)
{
    const auto it = state.requests.find(event.request);
    if (it == state.requests.end() || !it->second.attempts.contains(event.attempt))
        return;
    auto& request = it->second;
    const auto attempt = request.attempts.at(event.attempt);
    request.attempts.erase(event.attempt);
    const auto durationSeconds = seconds(now - attempt.sentAt);
    auto* target = releaseTarget(state, attempt);
    if (target)
        recordLoad(*target, event, now, out);
    out.push_back(WriteLog { LogEvent::AttemptAnswered,
        fmt::format("request={} attempt={} target={} status={} taken_ms={:.0f}{}", request.callerRequestId,
            event.attempt, attempt.target, event.status, durationSeconds * 1000,
            event.rateLimit.kind == RateLimitStatement::Kind::Limited
                ? fmt::format(" rate_limit={}", event.rateLimit.perSecond)
                : std::string()) });
    using enum AnswerKind;
    if (target) {
        const auto outcome = event.kind == Complete ? health::Outcome::Answered
            : event.kind == NotRun                  ? health::Outcome::Shed
                                                    : health::Outcome::Failed;
        const auto relative = event.kind == Complete ? relativeDuration(state, request, durationSeconds) : 0;
        const bool wasCold = target->isCold(now);
        if (event.kind != Misdirected) {
            recordNamedRate(state, *target, event.rateLimit, now, out);
            recordLeavingAndPause(*target, event, now, out);
        }
        // A target that says what it takes, and refuses the rest, is not overloaded.
        const bool isWithinLimits = event.kind == NotRun && (target->rateLimit(now) || event.pause);
        const bool changed = isWithinLimits ? false
            : event.kind == Misdirected     ? health::recordUnreachable(*target, Duration::zero(), now)
                                            : health::recordOutcome(*target, outcome, relative, now);
        if (changed)
            logEjection(*target, out);
        (void)logIfTurnedCold(*target, wasCold, "unreachable", now, out);
    }
    if (event.kind == Complete) {
        recordDuration(state, request, durationSeconds);
        if (state.room)
            state.room->recordAttempt(request.route, now - attempt.sentAt, attempt.loadPerSlot, now);
        out.push_back(DeliverAnswer { event.request, event.attempt, request.account, request.service });
        attempts::finish(state, event.request, now, out);
        return;
    }
    if (event.kind == Failure) {
        request.mayHaveRun = true;
        if (event.deliverable)
            request.failureAnswerAttempt = event.attempt;
    }
    retryOrEndRequest(state, event.request, request, now, out);
}

void apply(EntryState& state, const AttemptFailed& event, TimePoint now, Effects& out)
{
    const auto it = state.requests.find(event.request);
    if (it == state.requests.end() || !it->second.attempts.contains(event.attempt))
        return;
    auto& request = it->second;
    const auto attempt = request.attempts.at(event.attempt);
    request.attempts.erase(event.attempt);
    auto* target = releaseTarget(state, attempt);
    out.push_back(WriteLog { LogEvent::AttemptFailed,
        fmt::format("request={} attempt={} target={} progress={} detail=\"{}\"", request.callerRequestId, event.attempt,
            attempt.target, static_cast<int>(event.progress), event.detail) });
    if (event.progress == AttemptProgress::Sent)
        request.mayHaveRun = true;
    else
        --request.countedAttempts; // the target received nothing, so the attempt does not count towards maxAttempts
    if (target) {
        const auto* service = state.policy.findService(request.service);
        const bool wasCold = target->isCold(now);
        const bool changed = event.progress == AttemptProgress::NotConnected
            ? health::recordUnreachable(*target, service ? service->coldTime : Duration::zero(), now)
            : event.progress == AttemptProgress::Sent ? health::recordOutcome(*target, health::Outcome::Failed, 0, now)
                                                      : false;
        if (changed)
            logEjection(*target, out);
        (void)logIfTurnedCold(*target, wasCold, "unreachable", now, out);
    }
    if (event.progress == AttemptProgress::Unsendable)
        endUnsendable(state, event.request, request, now, out);
    else
        retryOrEndRequest(state, event.request, request, now, out);
}

} // namespace arbutuscrank::entry
