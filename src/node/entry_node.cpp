#include "node/entry_node.hpp"

#include "node/clock.hpp"
#include "node/message_codec.hpp"
#include "node/state_dump.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <random>
#include <unistd.h>

namespace arbutuscrank::node {

namespace {

    using std::chrono::milliseconds;

    /// Interval of \ref entry::Tick. It is short compared with the quota shares, region splits and timeouts that ticks
    /// update, which take about a second.
    constexpr Duration tickInterval = milliseconds(200);
    /// Time after a stop request for which connections are accepted. Callers cache the answer of a look-up for up to
    /// three times its lifetime of one second, so they may connect for that long.
    constexpr Duration listenTimeAfterStop = milliseconds(3200);
    /// Part of the process's memory for answers that are being received or written, as a divisor.
    constexpr std::uint64_t answerMemoryDivisor = 4;
    /// Sockets for the listeners, the datagrams and the connections to the store.
    constexpr std::size_t ownSockets = 16;
    /// Parts of the sockets that look-ups, readiness checks and readers of metrics may use, as divisors.
    constexpr std::size_t lookupSocketDivisor = 8;
    constexpr std::size_t inspectionSocketDivisor = 32;
    /// Time after which a caller may send a request again that was refused because no socket was left.
    constexpr const char* crowdedRetryAfter = "1";
    /// Delay of the event loop from which it is logged.
    constexpr Duration loggedLoopDelay = milliseconds(250);
    /// Part of a value from outside that is logged.
    constexpr std::size_t maxLoggedValueBytes = 64;

    std::uint64_t unixTimeMs()
    {
        return static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch() / milliseconds(1));
    }

    /// The start time in the high bits orders the runs of a VM. Random low bits distinguish runs that start in the same
    /// millisecond.
    Incarnation makeIncarnation()
    {
        constexpr unsigned randomBits = 22;
        std::random_device device;
        return (unixTimeMs() << randomBits) | (device() & ((1U << randomBits) - 1));
    }

    entry::MemberRecord makeSelfRecord(const entry::EntrySettings& settings)
    {
        return { .process = { settings.vm, makeIncarnation() },
            .region = settings.region,
            .failureDomain = settings.failureDomain,
            .callerAddress = settings.callerAddress,
            .reportAddress = settings.reportAddress,
            .capacity = settings.capacity };
    }

    std::string headerValue(const CallerRequest& request, const std::string& name)
    {
        const auto it = request.find(name);
        return it == request.end() ? std::string() : std::string(it->value());
    }

    std::optional<Duration> parseMilliseconds(const std::string& text)
    {
        double ms = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), ms);
        if (text.empty() || ec != std::errc() || end != text.data() + text.size() || ms < 0 || ms > 1e9)
            return std::nullopt;
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
    }

    std::string removePort(std::string_view host) { return std::string(host.substr(0, host.rfind(':'))); }

    /// Whether a target refuses requests with this status. Such an answer is never delivered. Only 421 or the not-run
    /// header shows that the request did not run.
    bool isRefusalStatus(unsigned status) { return status == 408 || status == 421 || status == 429 || status == 503; }

    entry::AttemptAnswered classifyAnswer(RequestId request, entry::AttemptId attempt, const AttemptResult& result)
    {
        using enum entry::AnswerKind;
        const auto status = result.answer.result_int();
        entry::AttemptAnswered event { .request = request,
            .attempt = attempt,
            .status = status,
            .load = result.load,
            .unusableWorkTime = result.unusableWorkTime.substr(0, maxLoggedValueBytes),
            .rateLimit = result.rateLimit,
            .isLeaving = result.isLeaving,
            .pause = result.pause };
        if (status == 421)
            event.kind = Misdirected;
        else if (result.notRun)
            event.kind = NotRun;
        else if (result.hasSignature && status < 500 && !isRefusalStatus(status))
            event.kind = Complete;
        else
            event.kind = Failure;
        event.deliverable = result.hasSignature && !isRefusalStatus(status);
        return event;
    }

    std::size_t lookupSockets(std::size_t sockets) { return sockets / lookupSocketDivisor; }
    std::size_t inspectionSockets(std::size_t sockets) { return sockets / inspectionSocketDivisor; }

    std::size_t socketsForRequests(std::size_t sockets)
    {
        return sockets - ownSockets - lookupSockets(sockets) - 2 * inspectionSockets(sockets);
    }

} // namespace

EntryNode::EntryNode(asio::io_context& context, const entry::EntrySettings& settings, PlatformBinding platform)
    : m_context(context)
    , m_platform(std::move(platform))
    , m_log(settings.vm, settings.logLevel, STDOUT_FILENO)
    , m_state(settings, makeSelfRecord(settings), std::random_device {}())
    , m_answerMemory(settings.memoryBytes / answerMemoryDivisor)
    , m_callerMemory(callerMemoryLimit())
    , m_maxSockets(socketsForRequests(settings.maxSockets))
    , m_targetConnections(context, m_platform.headers, m_answerMemory)
    , m_messageSocket(context, [this](std::string_view bytes) { handleMessage(bytes); })
    , m_readinessServer(context, [this](std::string_view target) { return serveReadiness(target); })
    , m_lookupServer(context, [this](std::string_view target) { return serveLookup(target); })
    , m_inspectionServer(context, [this](std::string_view target) { return serveInspection(target); })
    , m_tickTimer(context)
    , m_store(std::make_shared<SharedStore>(context, m_platform.store))
{
    m_callerHandlers = {
        .allocateId = [this] { return ++m_lastRequestId; },
        .onRequest
        = [this](RequestId id, const auto& request, const auto& session) { handleRequest(id, request, session); },
        .onCallerDisconnected =
            [this](RequestId id) {
                dispatch(entry::CallerDisconnected { id });
                m_pendingRequests.erase(id);
            },
        .limits = [this]() -> const entry::CallerLimits& { return m_state.policy.policy().limits; },
        .isStopping = [this] { return m_state.stopRequestedAt.has_value(); },
        .logUnreadableRequest =
            [this](const std::string& detail) {
                ++m_unreadableRequests;
                log(LogEvent::RequestRefused, fmt::format("request= reason=unreadable detail=\"{}\"", detail));
            },
        .logConnectionDropped =
            [this](const std::string& caller, std::size_t unansweredRequests) {
                log(LogEvent::CallerConnectionDropped,
                    fmt::format(
                        "caller={} unanswered={} answer_bytes={}", caller, unansweredRequests, m_answerMemory.bytes()));
            },
        .logConnectionCut = [this](const ConnectionCut& cut) { recordConnectionCut(cut); },
        .needsBody = [this](const CallerRequest& request) { return needsBody(request); },
        .logRequestRefused =
            [this](const std::string& caller, std::uint64_t bytes) {
                log(LogEvent::CallerMemoryFull,
                    fmt::format("caller={} request_bytes={} all_bytes={}", caller, bytes, m_callerMemory.bytes()));
            },
        .memory = &m_callerMemory,
    };
    const auto makeUnreadableHandler = [this](std::string_view listener) {
        return [this, listener](const std::string& detail) {
            ++m_unreadableGetRequests;
            log(LogEvent::RequestRefused,
                fmt::format("request= reason=unreadable listener={} detail=\"{}\"", listener, detail));
        };
    };
    m_lookupServer.setUnreadableHandler(makeUnreadableHandler("look-ups"));
    m_readinessServer.setUnreadableHandler(makeUnreadableHandler("readiness"));
    m_inspectionServer.setUnreadableHandler(makeUnreadableHandler("metrics"));
    m_store->setUnreadableHandler(makeUnreadableHandler("feed"));
    m_lookupServer.setMaxConnections(lookupSockets(settings.maxSockets));
    m_readinessServer.setMaxConnections(inspectionSockets(settings.maxSockets));
    m_inspectionServer.setMaxConnections(inspectionSockets(settings.maxSockets));
}

bool EntryNode::needsBody(const CallerRequest& request) const
{
    const auto host = request[http::field::host];
    const auto target = request.target();
    return wouldPassOn(m_state, removePort({ host.data(), host.size() }), { target.data(), target.size() },
        headerValue(request, m_platform.headers.key), currentTime());
}

void EntryNode::recordConnectionCut(const ConnectionCut& cut)
{
    ++m_connectionCuts[cut.cause];
    log(LogEvent::CallerConnectionCut,
        fmt::format("cause={} caller={} unanswered={} unread_bytes={} unacknowledged_bytes={}", toString(cut.cause),
            cut.caller, cut.unansweredRequests, cut.unreadBytes, cut.unacknowledgedBytes));
}

Result<void> EntryNode::start()
{
    const auto& settings = m_state.settings;
    BOOST_OUTCOME_TRY(acceptor, listenOn(m_context, settings.callerAddress));
    m_acceptor.emplace(std::move(acceptor));
    BOOST_OUTCOME_TRY(m_readinessServer.open(settings.readinessAddress));
    BOOST_OUTCOME_TRY(m_lookupServer.open(settings.lookupAddress));
    BOOST_OUTCOME_TRY(m_inspectionServer.open(settings.metricsAddress));
    BOOST_OUTCOME_TRY(m_messageSocket.open(settings.reportAddress));
    BOOST_OUTCOME_TRY(m_store->open(settings.reportAddress));
    m_startedAt = currentTime();
    log(LogEvent::ProcessStarted,
        fmt::format("incarnation={} region={} failure_domain={} store={}", m_state.members.self().process.incarnation,
            settings.region, settings.failureDomain, settings.storeAddress));
    if (settings.descriptorLimit != 0)
        log(LogEvent::DescriptorsLimited,
            fmt::format("descriptors={} sockets={}", settings.descriptorLimit, settings.maxSockets));
    acceptCallers();
    createReaders();
    m_readers.at(Collection::Members)->start();
    tick();
    return outcome::success();
}

void EntryNode::handleRequest(
    RequestId id, const std::shared_ptr<const CallerRequest>& request, const std::shared_ptr<CallerSession>& session)
{
    const auto& names = m_platform.headers;
    while (!hasSocketBelow(m_maxSockets)) {
        if (!makeRoomForSocket()) {
            ++m_crowdedRequests;
            CallerAnswer answer(http::status::service_unavailable, 11);
            answer.set("X-Refusal-Reason", "crowded");
            answer.set(http::field::retry_after, crowdedRetryAfter);
            session->answer(id, std::move(answer));
            return;
        }
    }
    m_pendingRequests.emplace(id,
        PendingRequest {
            session, request, currentTime(), asio::steady_timer(m_context), asio::steady_timer(m_context), {} });
    dispatch(entry::RequestArrived {
        .request = id,
        .callerRequestId = headerValue(*request, names.requestId),
        .host = removePort({ (*request)[http::field::host].data(), (*request)[http::field::host].size() }),
        .path = std::string(request->target()),
        .key = headerValue(*request, names.key),
        .affinity = headerValue(*request, names.affinity),
        .timeLeft = parseMilliseconds(headerValue(*request, names.timeLeftMs)),
    });
}

void EntryNode::handleAttemptResult(RequestId request, entry::AttemptId attempt, AttemptResult result)
{
    if (result.failure) {
        dispatch(entry::AttemptFailed { request, attempt, *result.failure, std::move(result.detail) });
        return;
    }
    for (const auto& [field, value] : result.refusedValues)
        log(LogEvent::AnswerValueRefused,
            fmt::format("attempt={} field={} found=\"{}\"", attempt, field, value.substr(0, maxLoggedValueBytes)));
    const auto event = classifyAnswer(request, attempt, result);
    if (const auto it = m_pendingRequests.find(request); it != m_pendingRequests.end() && event.deliverable) {
        result.memory.assign("request", {}); // delivered or dropped with its request
        it->second.answers.emplace(attempt, HeldAnswer { std::move(result.answer), std::move(result.memory) });
    }
    dispatch(event);
}

void EntryNode::handleMessage(std::string_view bytes)
{
    auto message = decodeMessage(bytes);
    if (!message) {
        log(LogEvent::PeerProtocolError, describe(message.error()));
        return;
    }
    dispatch(toEvent(std::move(message.value())));
    updateStoreSource(); // a digest may have changed the coordinator
}

void EntryNode::recordLoopDelay()
{
    const auto delay = std::chrono::steady_clock::now() - m_tickTimer.expiry();
    m_metrics.recordLoopDelay(std::chrono::duration<double>(delay).count());
    if (delay >= loggedLoopDelay)
        log(LogEvent::EventLoopDelayed, fmt::format("delay_ms={}", delay / milliseconds(1)));
}

void EntryNode::tick()
{
    dispatch(entry::Tick {});
    m_callerMemory.setLimit(callerMemoryLimit());
    updateStoreSource();
    m_log.flush(currentTime());
    if (m_state.stopRequestedAt)
        continueStop();
    m_tickTimer.expires_after(tickInterval);
    m_tickTimer.async_wait([this](SystemError ec) {
        if (ec)
            return;
        recordLoopDelay();
        tick();
    });
}

void EntryNode::requestStop() { dispatch(entry::StopRequested {}); }

void EntryNode::continueStop()
{
    const auto elapsed = currentTime() - *m_state.stopRequestedAt;
    if (elapsed >= listenTimeAfterStop && !m_hasStoppedListening)
        stopListening();
    if (m_hasStoppedListening) {
        for (const auto& weak : m_sessions) {
            if (const auto session = weak.lock()) {
                session->stopReading();
                session->closeIfNoneUnanswered();
            }
        }
    }
    // A request leaves m_pendingRequests when its answer is passed to its session, which may write it for seconds.
    const auto unansweredConnections = std::ranges::count_if(m_sessions, [](const auto& weak) {
        const auto session = weak.lock();
        return session && !session->owesNothing();
    });
    const bool isIdle = m_hasStoppedListening && m_pendingRequests.empty() && unansweredConnections == 0;
    // Answers that have arrived may use the rest of the grace. The next tick would come after its end.
    const bool isOver = elapsed + tickInterval >= m_state.settings.bounds.stopGrace
        || (currentTime() >= stopEndsAt(m_state) && unansweredConnections == 0);
    if (!isIdle && !isOver)
        return;
    log(isIdle ? LogEvent::StopCompleted : LogEvent::StopForced,
        fmt::format("requests={} connections={}", m_pendingRequests.size(), unansweredConnections));
    for (const auto& weak : m_sessions) {
        if (const auto session = weak.lock())
            session->reportProcessEnd();
    }
    m_log.flush(currentTime());
    m_context.stop();
}

void EntryNode::applySettings(const entry::EntrySettings& settings)
{
    m_state.settings.bounds = settings.bounds;
    m_state.settings.regionOfFailureDomain = settings.regionOfFailureDomain;
    log(LogEvent::SettingsReloaded, fmt::format("failure_domains={}", settings.regionOfFailureDomain.size()));
    if (m_readers.at(Collection::Evacuations)->revision() != 0)
        dispatchEvacuations(); // one of them may name a failure domain that the settings did not name before
}

void EntryNode::logRejectedSettings(const Error& error) { log(LogEvent::SettingsRefused, describe(error)); }

void EntryNode::dispatch(const entry::EntryEvent& event)
{
    m_events.push_back(event);
    if (m_isDispatching)
        return;
    m_isDispatching = true;
    while (!m_events.empty()) {
        const auto next = std::move(m_events.front());
        m_events.pop_front();
        std::vector<entry::EntryEffect> effects;
        reduce(m_state, next, currentTime(), effects);
        for (const auto& effect : effects)
            std::visit([this](const auto& it) { perform(it); }, effect);
    }
    m_isDispatching = false;
}

void EntryNode::perform(const entry::SendAttempt& effect)
{
    const auto it = m_pendingRequests.find(effect.request);
    if (it == m_pendingRequests.end())
        return;
    // A busy event loop reports a closed connection late. This check avoids sending a request whose caller has
    // already disconnected.
    if (const auto session = it->second.session.lock(); !session || session->hasCallerClosed()) {
        m_pendingRequests.erase(it);
        dispatch(entry::CallerDisconnected { effect.request });
        return;
    }
    m_targetConnections.send(
        effect, *it->second.request, [this, request = effect.request, attempt = effect.attempt](AttemptResult result) {
            handleAttemptResult(request, attempt, std::move(result));
        });
}

void EntryNode::perform(const entry::CancelAttempt& effect) { m_targetConnections.cancel(effect.attempt); }

void EntryNode::perform(const entry::DeliverAnswer& effect)
{
    const auto it = m_pendingRequests.find(effect.request);
    if (it == m_pendingRequests.end())
        return;
    const auto answer = it->second.answers.find(effect.attempt);
    if (answer == it->second.answers.end())
        return;
    const auto durationSeconds = std::chrono::duration<double>(currentTime() - it->second.arrivedAt).count();
    m_metrics.recordAnswer(effect.account, effect.service, durationSeconds, true);
    auto held = std::move(answer->second);
    answerCaller(effect.request, std::move(held.answer), std::move(held.memory));
}

void EntryNode::perform(const entry::SendLocalAnswer& effect)
{
    m_metrics.recordRefusal(effect.account, effect.service, effect.reason);
    CallerAnswer answer(static_cast<http::status>(effect.status), 11);
    answer.set("X-Refusal-Reason", effect.reason);
    if (effect.retryAfter > Duration::zero())
        answer.set(
            http::field::retry_after, fmt::format("{:.3f}", std::chrono::duration<double>(effect.retryAfter).count()));
    answerCaller(effect.request, std::move(answer));
}

void EntryNode::answerCaller(RequestId request, CallerAnswer answer, AnswerMemory::Share memory)
{
    const auto it = m_pendingRequests.find(request);
    if (it == m_pendingRequests.end())
        return;
    const auto session = it->second.session.lock();
    m_pendingRequests.erase(it);
    if (session)
        session->answer(request, std::move(answer), std::move(memory));
}

void EntryNode::perform(const entry::SetExpiryTimer& effect)
{
    const auto it = m_pendingRequests.find(effect.request);
    if (it == m_pendingRequests.end())
        return;
    it->second.expiryTimer.expires_after(effect.at - currentTime());
    it->second.expiryTimer.async_wait([this, request = effect.request](SystemError ec) {
        if (!ec)
            dispatch(entry::RequestExpired { request });
    });
}

void EntryNode::perform(const entry::SetHedgeTimer& effect)
{
    const auto it = m_pendingRequests.find(effect.request);
    if (it == m_pendingRequests.end())
        return;
    it->second.hedgeOrAdmissionTimer.expires_after(effect.at - currentTime());
    it->second.hedgeOrAdmissionTimer.async_wait([this, request = effect.request](SystemError ec) {
        if (!ec)
            dispatch(entry::HedgeDue { request });
    });
}

void EntryNode::perform(const entry::CloseIdleConnections& effect) { m_targetConnections.closeIdle(effect.target); }

void EntryNode::perform(const entry::SetAdmissionTimer& effect)
{
    const auto it = m_pendingRequests.find(effect.request);
    if (it == m_pendingRequests.end())
        return;
    it->second.hedgeOrAdmissionTimer.expires_after(effect.at - currentTime());
    it->second.hedgeOrAdmissionTimer.async_wait([this, request = effect.request](SystemError ec) {
        if (!ec)
            dispatch(entry::AdmissionTimedOut { request });
    });
}

void EntryNode::perform(const entry::SendMessage& effect)
{
    m_messageSocket.send(encodeMessage(effect.message), effect.addresses);
}

void EntryNode::perform(const entry::WriteLog& effect) { log(effect.event, effect.detail); }

void EntryNode::log(LogEvent event, std::string_view detail) { m_log.write(event, detail, currentTime()); }

HttpGetServer::Answer EntryNode::serveReadiness(std::string_view target) const
{
    if (target.substr(0, target.find('?')) != m_platform.paths.readiness)
        return makeAnswer(http::status::not_found, {}, "text/plain");
    if (isReady(m_state))
        return makeAnswer(http::status::ok, "ready\n", "text/plain");
    return makeAnswer(http::status::service_unavailable,
        m_state.targets.areTargetsUnknown() ? "not ready: the list of targets has a gap and names no target\n"
                                            : "not ready\n",
        "text/plain");
}

HttpGetServer::Answer EntryNode::serveLookup(std::string_view target)
{
    if (target.substr(0, target.find('?')) != m_platform.paths.lookup)
        return makeAnswer(http::status::not_found, {}, "text/plain");
    const auto query = m_platform.decodeLookup(target);
    const auto now = currentTime();
    const bool isSelfReady = isReady(m_state) && isPolicyFresh(m_state, now);
    const auto answer = answerLookup(m_state.members, query.region, query.failureDomain,
        m_state.policy.regionsOfHost(query.host), isSelfReady, m_state.settings.bounds.maxLookupTtl, now);
    m_metrics.recordLookup();
    if (answer.addresses.empty())
        return makeAnswer(http::status::service_unavailable, {}, "text/plain");
    return makeAnswer(http::status::ok, m_platform.encodeLookup(answer), "application/json");
}

HttpGetServer::Answer EntryNode::serveInspection(std::string_view target) const
{
    if (target == "/metrics")
        return makeAnswer(http::status::ok, metricsText(), "text/plain; version=0.0.4");
    if (target == "/v1/dump")
        return makeAnswer(http::status::ok, dumpState(m_state, currentTime()), "application/json");
    return makeAnswer(http::status::not_found, "try /metrics or /v1/dump\n", "text/plain");
}

std::string EntryNode::metricsText() const
{
    const auto now = currentTime();
    auto text = m_metrics.toText();
    const auto addMetric = [&](std::string_view type, std::string_view name, auto value) {
        text += fmt::format("# TYPE arbutuscrank_{0} {1}\narbutuscrank_{0} {2}\n", name, type, value);
    };
    addMetric("gauge", "configuration_version", m_state.policy.policy().version);
    if (m_state.policyConfirmedAt)
        addMetric("gauge", "configuration_age_seconds",
            std::chrono::duration<double>(now - *m_state.policyConfirmedAt).count());
    text += "# TYPE arbutuscrank_collection_age_seconds gauge\n";
    for (const auto& [collection, confirmedAt] : m_readConfirmedAt)
        text += fmt::format("arbutuscrank_collection_age_seconds{{collection=\"{}\"}} {}\n", toString(collection),
            std::chrono::duration<double>(now - confirmedAt).count());
    text += "# TYPE arbutuscrank_collection_list_gaps gauge\n";
    for (const auto& [collection, gaps] : m_listGaps)
        text += fmt::format("arbutuscrank_collection_list_gaps{{collection=\"{}\"}} {}\n", toString(collection), gaps);
    addMetric("gauge", "requests_in_flight", m_state.requests.size());
    addMetric("gauge", "targets_known", m_state.targets.all().size());
    addMetric("gauge", "targets_cold",
        std::ranges::count_if(m_state.targets.all(), [&](const auto& item) { return item.second.isCold(now); }));
    addMetric("gauge", "targets_limited", std::ranges::count_if(m_state.targets.all(), [&](const auto& item) {
        return item.second.rateLimit(now).has_value();
    }));
    addMetric("gauge", "services_sharing_room", m_state.room ? m_state.room->sharedServiceCount() : 0);
    addMetric("gauge", "room_least_fraction", m_state.room ? m_state.room->leastFraction() : 1);
    text += "# TYPE arbutuscrank_local_fraction gauge\n";
    for (const auto& [service, split] : m_state.selection.splits()) {
        for (const auto& [slack, fractions] : split.fractionsByClass) {
            const auto local = fractions.find(m_state.settings.region);
            const auto objective = entry::leastObjectiveMs(slack);
            text += fmt::format("arbutuscrank_local_fraction{{service=\"{}\",objective_ms=\"{}\"}} {}\n",
                escapeLabel(service), objective ? fmt::to_string(*objective) : "none",
                local == fractions.end() ? 0 : local->second);
        }
    }
    addMetric("gauge", "members_known", m_state.members.fleetSize());
    addMetric("counter", "store_calls_total", m_store->platformCalls());
    addMetric("counter", "store_calls_failed_total", m_failedStoreCalls);
    addMetric("gauge", "store_era", m_state.storeEra.current);
    addMetric("counter", "store_era_rises_total", m_state.storeEra.rises);
    addMetric("counter", "target_connections_opened_total", m_targetConnections.connectionsOpened());
    text += "# TYPE arbutuscrank_unreadable_messages_total counter\n";
    text += fmt::format("arbutuscrank_unreadable_messages_total{{from=\"caller\"}} {}\n", m_unreadableRequests);
    text += fmt::format("arbutuscrank_unreadable_messages_total{{from=\"get\"}} {}\n", m_unreadableGetRequests);
    text += fmt::format(
        "arbutuscrank_unreadable_messages_total{{from=\"target\"}} {}\n", m_targetConnections.unreadableAnswers());
    addMetric("gauge", "answer_memory_bytes", m_answerMemory.bytes());
    addMetric("counter", "answers_released_total", m_answerMemory.releasedAnswers());
    addMetric("gauge", "caller_memory_bytes", m_callerMemory.bytes());
    addMetric("gauge", "request_sockets", usedSockets());
    addMetric("counter", "requests_refused_for_memory_total", m_callerMemory.refusedRequests());
    addMetric("counter", "requests_refused_for_sockets_total", m_crowdedRequests);
    text += "# TYPE arbutuscrank_caller_connections_closed_total counter\n";
    text += fmt::format(
        "arbutuscrank_caller_connections_closed_total{{cause=\"memory\"}} {}\n", m_callerMemory.closedConnections());
    text += fmt::format("arbutuscrank_caller_connections_closed_total{{cause=\"sockets\"}} {}\n", m_crowdedConnections);
    addMetric("counter", "get_connections_closed_total",
        m_lookupServer.closedConnections() + m_readinessServer.closedConnections()
            + m_inspectionServer.closedConnections());
    addMetric("counter", "log_lines_dropped_total", m_log.droppedLines());
    text += "# TYPE arbutuscrank_caller_connections_cut_total counter\n";
    for (const auto& [cause, count] : m_connectionCuts)
        text += fmt::format("arbutuscrank_caller_connections_cut_total{{cause=\"{}\"}} {}\n", toString(cause), count);
    return text;
}

} // namespace arbutuscrank::node
