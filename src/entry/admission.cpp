#include "entry/admission.hpp"

#include "entry/attempts.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace arbutuscrank::entry {

namespace {

    using std::chrono::milliseconds;

    /// Timeout of an admission request. The coordinator is in the same failure domain, so it answers within a few
    /// milliseconds, or somewhat later on a busy VM.
    constexpr Duration admissionTimeout = milliseconds(70);
    /// Admission requests that are sent for one caller's request. A refusal is worse for the caller the longer the
    /// request was held before it.
    constexpr std::uint32_t maxAdmissionRequests = 3;
    /// Retry-After of a request that no coordinator has answered. Another VM takes over as coordinator within a second.
    constexpr Duration unansweredRetryAfter = milliseconds(350);
    /// Limits of Retry-After for a request above the quota. Callers wait for at most a third of the time until their
    /// deadline.
    constexpr Duration minOverQuotaRetryAfter = milliseconds(100);
    constexpr Duration maxOverQuotaRetryAfter = milliseconds(1000);

    void refuseOverQuota(
        EntryState& state, RequestId id, const Request& request, Duration wait, TimePoint now, Effects& out)
    {
        const auto inputs = state.coordination.isCoordinator()
            ? state.quota.describe(request.account, now)
            : fmt::format("coordinator={}", state.coordination.followedCoordinator());
        attempts::answerLocally(state, id, request, 429, "over-quota",
            std::clamp(wait, minOverQuotaRetryAfter, maxOverQuotaRetryAfter), inputs, now, out);
    }

    void admitLocally(EntryState& state, RequestId id, Request& request, TimePoint now, Effects& out)
    {
        request.pendingAdmissionRequests = 0;
        const bool admitted = state.quota.admit(request.account, now);
        if (state.quota.needsExchange())
            sendEarlyReports(state, now, out);
        if (admitted)
            attempts::start(state, id, request, now, out);
        else
            refuseOverQuota(state, id, request, state.quota.timeUntilToken(request.account, now), now, out);
    }

    void askCoordinator(EntryState& state, RequestId id, Request& request, TimePoint now, Effects& out)
    {
        ++request.pendingAdmissionRequests;
        const auto it = state.members.others().find(state.coordination.followedCoordinator());
        if (it != state.members.others().end())
            out.push_back(SendMessage { AdmissionRequest { state.members.self().process.vm, id, request.account },
                { it->second.record.reportAddress } });
        out.push_back(SetAdmissionTimer { id, now + admissionTimeout });
    }

} // namespace

namespace admission {

    void requestAdmission(EntryState& state, RequestId id, Request& request, TimePoint now, Effects& out)
    {
        if (state.coordination.isCoordinator())
            admitLocally(state, id, request, now, out);
        else
            askCoordinator(state, id, request, now, out);
    }

    void returnToken(EntryState& state, const Request& request, Effects& out)
    {
        if (request.account.empty() || request.pendingAdmissionRequests != 0)
            return;
        if (state.coordination.isCoordinator()) {
            state.quota.returnToken(request.account);
            return;
        }
        const auto it = state.members.others().find(state.coordination.followedCoordinator());
        if (it != state.members.others().end())
            out.push_back(SendMessage { TokenReturn { request.account }, { it->second.record.reportAddress } });
    }

} // namespace admission

void apply(EntryState& state, const AdmissionDecisionReceived& event, TimePoint now, Effects& out)
{
    const auto it = state.requests.find(event.decision.request);
    if (it == state.requests.end() || it->second.pendingAdmissionRequests == 0)
        return; // answer to an earlier admission request, or the caller has disconnected
    auto& request = it->second;
    request.pendingAdmissionRequests = 0;
    if (event.decision.admitted)
        attempts::start(state, event.decision.request, request, now, out);
    else
        refuseOverQuota(state, event.decision.request, request, event.decision.retryAfter, now, out);
}

void apply(EntryState& state, const AdmissionTimedOut& event, TimePoint now, Effects& out)
{
    const auto it = state.requests.find(event.request);
    if (it == state.requests.end() || it->second.pendingAdmissionRequests == 0)
        return;
    auto& request = it->second;
    if (state.coordination.isCoordinator()) {
        admitLocally(state, event.request, request, now, out);
        return;
    }
    if (request.pendingAdmissionRequests < maxAdmissionRequests) {
        askCoordinator(state, event.request, request, now, out);
        return;
    }
    attempts::answerLocally(state, event.request, request, 503, "coordinator-silent", unansweredRetryAfter,
        fmt::format("coordinator={}", state.coordination.followedCoordinator()), now, out);
}

} // namespace arbutuscrank::entry
