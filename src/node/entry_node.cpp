#include "node/entry_node.hpp"

#include "node/clock.hpp"
#include "node/member_codec.hpp"
#include "node/message_codec.hpp"
#include "node/state_dump.hpp"

#include <fmt/format.h>

#include <charconv>
#include <random>
#include <unistd.h>

namespace arbutuscrank::node {

namespace {

    using std::chrono::milliseconds;

    /// Interval of ticks: shares, splits and time-outs of a second or so follow closely enough.
    constexpr Duration tickInterval = milliseconds(200);
    /// Callers keep a look-up's answer for up to three times its lifetime of a second.
    constexpr Duration listenAfterStop = milliseconds(3200);
    /// Time that is left of the stop's bound when the process ends by itself.
    constexpr Duration stopMargin = milliseconds(350);
    /// Time for which a VM reads the store itself after its coordinator's feed has failed.
    constexpr Duration directTime = std::chrono::seconds(4);
    /// Time for which a starting VM waits for a coordinator that starts too.
    constexpr Duration feedPatience = milliseconds(1500);
    /// Wait before a failed accept is tried again, so that a lack of descriptors does not spin.
    constexpr Duration acceptPause = milliseconds(50);

    std::uint64_t unixTimeMs()
    {
        return static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch() / milliseconds(1));
    }

    /// Start time in the high bits orders the runs of a VM; random bits tell apart runs of one millisecond.
    Incarnation newIncarnation()
    {
        constexpr unsigned randomBits = 22;
        std::random_device device;
        return (unixTimeMs() << randomBits) | (device() & ((1U << randomBits) - 1));
    }

    entry::MemberRecord selfRecord(const entry::EntrySettings& settings)
    {
        return { .process = { settings.vm, newIncarnation() },
            .region = settings.region,
            .failureDomain = settings.failureDomain,
            .callerAddress = settings.callerAddress,
            .reportAddress = settings.reportAddress,
            .capacity = settings.capacity };
    }

    std::string headerOf(const CallerRequest& request, const std::string& name)
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

    std::string withoutPort(std::string_view host) { return std::string(host.substr(0, host.rfind(':'))); }

    bool promisesNotRun(unsigned status) { return status == 408 || status == 421 || status == 429 || status == 503; }

    entry::AttemptAnswered classify(RequestId request, entry::AttemptId attempt, const AttemptResult& result)
    {
        using enum entry::AnswerKind;
        const auto status = result.answer.result_int();
        entry::AttemptAnswered event { .request = request, .attempt = attempt, .status = status, .load = result.load };
        if (status == 421)
            event.kind = Misdirected;
        else if (result.notRun)
            event.kind = NotRun;
        else if (result.isSigned && status < 500 && !promisesNotRun(status))
            event.kind = Complete;
        else
            event.kind = Failure;
        event.deliverable = result.isSigned && !promisesNotRun(status);
        return event;
    }

} // namespace

EntryNode::EntryNode(asio::io_context& context, const entry::EntrySettings& settings, PlatformBinding platform)
    : m_context(context)
    , m_platform(std::move(platform))
    , m_log(settings.vm, settings.logLevel, STDOUT_FILENO)
    , m_state(settings, selfRecord(settings), std::random_device {}())
    , m_targets(context, m_platform.headers)
    , m_messages(context, [this](std::string_view bytes) { messageReceived(bytes); })
    , m_readiness(context, [this](std::string_view target) { return serveReadiness(target); })
    , m_lookups(context, [this](std::string_view target) { return serveLookup(target); })
    , m_inspection(context, [this](std::string_view target) { return serveInspection(target); })
    , m_tickTimer(context)
    , m_store(std::make_shared<SharedStore>(context, m_platform.store))
{
    m_callerHandlers = {
        .nextId = [this] { return ++m_lastRequest; },
        .arrived
        = [this](RequestId id, const auto& request, const auto& session) { requestArrived(id, request, session); },
        .left =
            [this](RequestId id) {
                dispatch(entry::CallerDisconnected { id });
                m_callers.erase(id);
            },
        .limits = [this]() -> const entry::CallerLimits& { return m_state.policy.policy().limits; },
        .stopping = [this] { return m_state.stopRequestedAt.has_value(); },
        .log =
            [this](const std::string& detail) {
                log(LogEvent::RequestRefused, fmt::format("request= reason=unreadable detail=\"{}\"", detail));
            },
    };
}

Result<void> EntryNode::start()
{
    const auto& settings = m_state.settings;
    BOOST_OUTCOME_TRY(acceptor, listenOn(m_context, settings.callerAddress));
    m_acceptor.emplace(std::move(acceptor));
    BOOST_OUTCOME_TRY(m_readiness.open(settings.readinessAddress));
    BOOST_OUTCOME_TRY(m_lookups.open(settings.lookupAddress));
    BOOST_OUTCOME_TRY(m_inspection.open(settings.metricsAddress));
    BOOST_OUTCOME_TRY(m_messages.open(settings.reportAddress));
    BOOST_OUTCOME_TRY(m_store->open(settings.reportAddress));
    m_startedAt = currentTime();
    log(LogEvent::ProcessStarted,
        fmt::format("incarnation={} region={} failure_domain={} store={}", m_state.members.self().process.incarnation,
            settings.region, settings.failureDomain, settings.storeAddress));
    acceptCallers();
    makeReaders();
    m_readers.at(Collection::Members)->start();
    tick();
    return outcome::success();
}

// --- Callers ---------------------------------------------------------------------------------------------------------

void EntryNode::acceptCallers()
{
    m_acceptor->async_accept([this](SystemError ec, Tcp::socket socket) {
        if (ec == asio::error::operation_aborted)
            return;
        if (ec) {
            auto timer = std::make_shared<asio::steady_timer>(m_context, acceptPause);
            timer->async_wait([this, timer](SystemError) {
                if (!m_stopListening)
                    acceptCallers();
            });
            return;
        }
        auto session = std::make_shared<CallerSession>(std::move(socket), m_callerHandlers);
        std::erase_if(m_sessions, [](const auto& weak) { return weak.expired(); });
        m_sessions.push_back(session);
        session->start();
        acceptCallers();
    });
}

void EntryNode::requestArrived(
    RequestId id, const std::shared_ptr<const CallerRequest>& request, const std::shared_ptr<CallerSession>& session)
{
    const auto& names = m_platform.headers;
    m_callers.emplace(id,
        Caller { session, request, currentTime(), asio::steady_timer(m_context), asio::steady_timer(m_context), {} });
    dispatch(entry::RequestArrived {
        .request = id,
        .callerRequestId = headerOf(*request, names.requestId),
        .host = withoutPort({ (*request)[http::field::host].data(), (*request)[http::field::host].size() }),
        .path = std::string(request->target()),
        .key = headerOf(*request, names.key),
        .affinity = headerOf(*request, names.affinity),
        .timeLeft = parseMilliseconds(headerOf(*request, names.timeLeftMs)),
    });
}

void EntryNode::attemptEnded(RequestId request, entry::AttemptId attempt, AttemptResult result)
{
    if (result.failure) {
        dispatch(entry::AttemptFailed { request, attempt, *result.failure, std::move(result.detail) });
        return;
    }
    const auto event = classify(request, attempt, result);
    if (const auto it = m_callers.find(request); it != m_callers.end() && event.deliverable)
        it->second.answers.emplace(attempt, std::move(result.answer));
    dispatch(event);
}

void EntryNode::messageReceived(std::string_view bytes)
{
    auto message = decodeMessage(bytes);
    if (!message) {
        log(LogEvent::PeerProtocolError, describe(message.error()));
        return;
    }
    dispatch(toEvent(std::move(message.value())));
    chooseStoreSource(); // a digest may have changed the coordinator
}

// --- Store -----------------------------------------------------------------------------------------------------------

void EntryNode::makeReaders()
{
    // A watch of the policy that answers in time is the evidence that no key was withdrawn: its wait is a part of the
    // bound on withdrawals, twice over, since the coordinator's evidence is passed on. The other collections only need
    // a connection that is known to live, which the policy's reader shows: when it fails, all are read anew.
    const Duration policyWait = m_state.settings.bounds.keyWithdrawalLimit / 5;
    constexpr Duration longWait = std::chrono::seconds(25);
    // Changes that come together, as at a start or a release, are read with one call. The pause is a small part of the
    // bound on targets that leave.
    constexpr Duration policyPause = milliseconds(20);
    const Duration pause = m_state.settings.bounds.drainLimit / 5;
    for (const auto collection :
        { Collection::Policy, Collection::Targets, Collection::Evacuations, Collection::Members }) {
        const CollectionReader::Pace pace = collection == Collection::Policy
            ? CollectionReader::Pace { policyWait, policyPause }
            : CollectionReader::Pace { longWait, pause };
        m_readers.emplace(collection,
            std::make_shared<CollectionReader>(m_context, m_store, collection, pace, readerHandlers(collection)));
    }
}

void EntryNode::chooseStoreSource()
{
    const auto& coordination = m_state.coordination;
    if (!coordination.isCoordinator() && coordination.followedCoordinator().empty())
        return; // nobody coordinates yet
    const auto now = currentTime();
    const bool direct = coordination.isCoordinator() || (m_directUntil && now < *m_directUntil);
    std::string source;
    if (const auto it = m_state.members.others().find(coordination.followedCoordinator());
        !direct && it != m_state.members.others().end())
        source = it->second.record.reportAddress;
    if (m_readersStarted && source == m_store->source())
        return;
    for (const auto& [collection, reader] : m_readers)
        reader->stop();
    m_store->setSource(source);
    m_readersStarted = true;
    log(LogEvent::StoreSourceChanged, fmt::format("source={}", source.empty() ? "store" : source));
    for (const auto& [collection, reader] : m_readers)
        reader->restart();
}

CollectionReader::Handlers EntryNode::readerHandlers(Collection collection)
{
    return {
        .listed = [this, collection](const std::vector<StoreObject>& objects) { listed(collection, objects); },
        .changed = [this, collection](const StoreChange& change) { changed(collection, change); },
        .confirmed =
            [this, collection](TimePoint sentAt) {
                dispatch(entry::StoreAnswered {});
                if (collection == Collection::Policy && m_state.policy.policy().version != 0)
                    dispatch(entry::PolicyConfirmed { sentAt });
            },
        .failed = [this, collection](const Error& error) { storeCallFailed(collection, error); },
    };
}

void EntryNode::storeCallFailed(Collection collection, const Error& error)
{
    ++m_storeFailures;
    const bool historyGone = error.code == ErrorCode::NotFound;
    if (!m_store->source().empty()) {
        feedFailed(collection, error);
        return;
    }
    const bool wasAway = m_state.isStoreUnavailable;
    if (!historyGone) {
        m_store->storeFailed();
        dispatch(entry::StoreFailed {});
    }
    if (!wasAway)
        log(LogEvent::StoreCallFailed, fmt::format("collection={} {}", toString(collection), describe(error)));
    if (collection != Collection::Policy || wasAway)
        return;
    // The connections of the other readers may be dead without showing it.
    for (const auto& [other, reader] : m_readers) {
        if (other != collection)
            reader->restart();
    }
}

void EntryNode::feedFailed(Collection collection, const Error& error)
{
    if (error.code == ErrorCode::NotFound)
        return; // the reader lists the collection anew
    // While this VM starts, its coordinator may be starting too. Later it is not waited for.
    const bool starting = m_state.policy.policy().version == 0 && currentTime() - m_startedAt < feedPatience;
    if (starting && error.code == ErrorCode::Unavailable)
        return;
    log(LogEvent::StoreCallFailed, fmt::format("collection={} {}", toString(collection), describe(error)));
    m_directUntil = currentTime() + directTime;
    chooseStoreSource();
}

void EntryNode::readPolicy(const StoreObject& object)
{
    auto policy = m_platform.decoder->decodePolicy(object);
    if (policy)
        dispatch(entry::PolicyRead { std::move(policy.value()) });
    else
        log(LogEvent::ConfigurationRefused,
            fmt::format("revision={} in_force={} {}", object.revision, m_state.policy.policy().version,
                describe(policy.error())));
}

std::vector<entry::TargetRecord> EntryNode::decodeTargets(const std::vector<StoreObject>& objects)
{
    std::vector<entry::TargetRecord> records;
    for (const auto& object : objects) {
        auto record = m_platform.decoder->decodeTarget(object);
        if (record)
            records.push_back(std::move(record.value()));
        else if (m_refusedObjects.insert(object.name).second)
            log(LogEvent::StoreEntryRefused, fmt::format("name={} {}", object.name, describe(record.error())));
    }
    return records;
}

void EntryNode::listed(Collection collection, const std::vector<StoreObject>& objects)
{
    switch (collection) {
    case Collection::Policy:
        for (const auto& object : objects)
            readPolicy(object);
        return;
    case Collection::Targets:
        dispatch(entry::TargetsListed { decodeTargets(objects) });
        return;
    case Collection::Evacuations:
        m_evacuations.clear();
        for (const auto& object : objects)
            m_evacuations.insert(object.name);
        dispatch(entry::EvacuationsChanged { m_evacuations });
        return;
    case Collection::Members: {
        std::vector<entry::MemberRecord> records;
        const StoreObject* self = nullptr;
        m_memberRevisions.clear();
        for (const auto& object : objects) {
            m_memberRevisions[object.name] = object.revision;
            if (object.name == m_state.settings.vm)
                self = &object;
            if (auto record = decodeMember(object))
                records.push_back(std::move(record.value()));
            else
                log(LogEvent::StoreEntryRefused, fmt::format("name={} {}", object.name, describe(record.error())));
        }
        dispatch(entry::MembersListed { std::move(records) });
        registerSelf(self);
        if (!m_readersStarted)
            chooseStoreSource();
        return;
    }
    }
}

void EntryNode::changed(Collection collection, const StoreChange& change)
{
    const auto& object = change.object;
    switch (collection) {
    case Collection::Policy:
        if (!change.deleted)
            readPolicy(object);
        return;
    case Collection::Targets:
        if (change.deleted)
            dispatch(entry::TargetRemoved { object.name });
        else
            for (auto& record : decodeTargets({ object }))
                dispatch(entry::TargetChanged { std::move(record) });
        return;
    case Collection::Evacuations:
        if (change.deleted)
            m_evacuations.erase(object.name);
        else
            m_evacuations.insert(object.name);
        dispatch(entry::EvacuationsChanged { m_evacuations });
        return;
    case Collection::Members:
        if (change.deleted) {
            m_memberRevisions.erase(object.name);
            dispatch(entry::MemberRemoved { object.name });
            if (object.name == m_state.settings.vm)
                registerSelf(nullptr);
            return;
        }
        m_memberRevisions[object.name] = object.revision;
        if (auto record = decodeMember(object))
            dispatch(entry::MemberChanged { std::move(record.value()) });
        else
            log(LogEvent::StoreEntryRefused, fmt::format("name={} {}", object.name, describe(record.error())));
        return;
    }
}

void EntryNode::registerSelf(const StoreObject* found)
{
    const auto wanted = encodeMember(m_state.members.self());
    if (m_registering || m_state.stopRequestedAt || (found && found->body == wanted.body))
        return;
    m_registering = true;
    auto object = wanted;
    object.revision = found ? found->revision : 0;
    m_store->write(Collection::Members, object, [this](Result<ObjectVersion> result) {
        m_registering = false;
        if (result)
            return;
        log(LogEvent::StoreCallFailed, fmt::format("collection=members {}", describe(result.error())));
        // The write may have been done, or another run of this VM was faster: the list tells.
        m_readers.at(Collection::Members)->retry();
    });
}

// --- Time and stop ---------------------------------------------------------------------------------------------------

void EntryNode::tick()
{
    dispatch(entry::Tick {});
    chooseStoreSource();
    m_log.flush(currentTime());
    if (m_state.stopRequestedAt)
        continueStop();
    m_tickTimer.expires_after(tickInterval);
    m_tickTimer.async_wait([this](SystemError ec) {
        if (!ec)
            tick();
    });
}

void EntryNode::requestStop() { dispatch(entry::StopRequested {}); }

void EntryNode::continueStop()
{
    const auto elapsed = currentTime() - *m_state.stopRequestedAt;
    if (elapsed >= listenAfterStop && !m_stopListening) {
        m_stopListening = true;
        SystemError ec;
        m_acceptor->close(ec); // the address is given up; an error changes nothing
        for (const auto& weak : m_sessions) {
            if (const auto session = weak.lock())
                session->closeIfIdle();
        }
    }
    const bool isIdle = m_stopListening && m_callers.empty();
    const bool isOver = elapsed >= m_state.settings.bounds.stopGrace - stopMargin;
    if (!isIdle && !isOver)
        return;
    log(isIdle ? LogEvent::StopCompleted : LogEvent::StopForced, fmt::format("requests={}", m_callers.size()));
    m_log.flush(currentTime());
    m_context.stop();
}

void EntryNode::applySettings(const entry::EntrySettings& settings)
{
    m_state.settings.bounds = settings.bounds;
    m_state.settings.regionOfFailureDomain = settings.regionOfFailureDomain;
    log(LogEvent::SettingsReloaded, fmt::format("failure_domains={}", settings.regionOfFailureDomain.size()));
}

void EntryNode::logRefusedSettings(const Error& error) { log(LogEvent::SettingsRefused, describe(error)); }

// --- Effects ---------------------------------------------------------------------------------------------------------

void EntryNode::dispatch(const entry::EntryEvent& event)
{
    m_events.push_back(event);
    if (m_dispatching)
        return;
    m_dispatching = true;
    while (!m_events.empty()) {
        const auto next = std::move(m_events.front());
        m_events.pop_front();
        std::vector<entry::EntryEffect> effects;
        reduce(m_state, next, currentTime(), effects);
        for (const auto& effect : effects)
            std::visit([this](const auto& it) { perform(it); }, effect);
    }
    m_dispatching = false;
}

void EntryNode::perform(const entry::SendAttempt& effect)
{
    const auto it = m_callers.find(effect.request);
    if (it == m_callers.end())
        return;
    // A busy VM learns of a close late: nothing is sent for a caller that has left.
    if (const auto session = it->second.session.lock(); !session || session->hasCallerClosed()) {
        m_callers.erase(it);
        dispatch(entry::CallerDisconnected { effect.request });
        return;
    }
    m_targets.send(
        effect, *it->second.request, [this, request = effect.request, attempt = effect.attempt](AttemptResult result) {
            attemptEnded(request, attempt, std::move(result));
        });
}

void EntryNode::perform(const entry::CancelAttempt& effect) { m_targets.cancel(effect.attempt); }

void EntryNode::perform(const entry::DeliverAnswer& effect)
{
    const auto it = m_callers.find(effect.request);
    if (it == m_callers.end())
        return;
    const auto answer = it->second.answers.find(effect.attempt);
    if (answer == it->second.answers.end())
        return;
    const auto taken = std::chrono::duration<double>(currentTime() - it->second.arrivedAt).count();
    m_metrics.recordAnswer(effect.account, effect.service, taken, true);
    answerCaller(effect.request, std::move(answer->second));
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

void EntryNode::answerCaller(RequestId request, CallerAnswer answer)
{
    const auto it = m_callers.find(request);
    if (it == m_callers.end())
        return;
    const auto session = it->second.session.lock();
    m_callers.erase(it);
    if (session)
        session->answer(request, std::move(answer));
}

void EntryNode::perform(const entry::SetExpiryTimer& effect)
{
    const auto it = m_callers.find(effect.request);
    if (it == m_callers.end())
        return;
    it->second.expiry.expires_after(effect.at - currentTime());
    it->second.expiry.async_wait([this, request = effect.request](SystemError ec) {
        if (!ec)
            dispatch(entry::RequestExpired { request });
    });
}

void EntryNode::perform(const entry::SetHedgeTimer& effect)
{
    const auto it = m_callers.find(effect.request);
    if (it == m_callers.end())
        return;
    it->second.hedge.expires_after(effect.at - currentTime());
    it->second.hedge.async_wait([this, request = effect.request](SystemError ec) {
        if (!ec)
            dispatch(entry::HedgeDue { request });
    });
}

void EntryNode::perform(const entry::CloseIdleConnections& effect) { m_targets.closeIdle(effect.target); }

void EntryNode::perform(const entry::SetAdmissionTimer& effect)
{
    const auto it = m_callers.find(effect.request);
    if (it == m_callers.end())
        return;
    it->second.hedge.expires_after(effect.at - currentTime());
    it->second.hedge.async_wait([this, request = effect.request](SystemError ec) {
        if (!ec)
            dispatch(entry::AdmissionTimedOut { request });
    });
}

void EntryNode::perform(const entry::SendMessage& effect)
{
    m_messages.send(encodeMessage(effect.message), effect.addresses);
}

void EntryNode::perform(const entry::RemoveRegistration& effect)
{
    const auto it = m_memberRevisions.find(effect.vm);
    if (it == m_memberRevisions.end())
        return;
    m_store->remove(Collection::Members, effect.vm, it->second, [this](Result<ObjectVersion> result) {
        if (!result)
            log(LogEvent::StoreCallFailed, fmt::format("collection=members {}", describe(result.error())));
    });
}

void EntryNode::perform(const entry::WriteLog& effect) { log(effect.event, effect.detail); }

void EntryNode::log(LogEvent event, std::string_view detail) { m_log.write(event, detail, currentTime()); }

// --- Served from memory ----------------------------------------------------------------------------------------------

SimpleServer::Answer EntryNode::serveReadiness(std::string_view target) const
{
    if (target.substr(0, target.find('?')) != m_platform.paths.readiness)
        return makeAnswer(http::status::not_found, {}, "text/plain");
    return isReady(m_state) ? makeAnswer(http::status::ok, "ready\n", "text/plain")
                            : makeAnswer(http::status::service_unavailable, "not ready\n", "text/plain");
}

SimpleServer::Answer EntryNode::serveLookup(std::string_view target)
{
    if (target.substr(0, target.find('?')) != m_platform.paths.lookup)
        return makeAnswer(http::status::not_found, {}, "text/plain");
    const auto query = m_platform.decodeLookup(target);
    const auto now = currentTime();
    const bool selfReady = isReady(m_state) && isPolicyFresh(m_state, now);
    const auto answer = answerLookup(m_state.members, query.region, query.failureDomain,
        m_state.policy.regionsOfHost(query.host), selfReady, m_state.settings.bounds.maxLookupTtl, now);
    m_metrics.recordLookup();
    if (answer.addresses.empty())
        return makeAnswer(http::status::service_unavailable, {}, "text/plain");
    return makeAnswer(http::status::ok, m_platform.encodeLookup(answer), "application/json");
}

SimpleServer::Answer EntryNode::serveInspection(std::string_view target) const
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
    const auto add = [&](std::string_view type, std::string_view name, auto value) {
        text += fmt::format("# TYPE arbutuscrank_{0} {1}\narbutuscrank_{0} {2}\n", name, type, value);
    };
    add("gauge", "configuration_version", m_state.policy.policy().version);
    if (m_state.policyConfirmedAt)
        add("gauge", "configuration_age_seconds",
            std::chrono::duration<double>(now - *m_state.policyConfirmedAt).count());
    add("gauge", "requests_in_flight", m_state.requests.size());
    add("gauge", "targets_known", m_state.targets.all().size());
    add("gauge", "members_known", m_state.members.fleetSize());
    add("counter", "store_calls_total", m_store->platformCalls());
    add("counter", "store_calls_failed_total", m_storeFailures);
    add("counter", "target_connections_opened_total", m_targets.connectionsOpened());
    add("counter", "log_lines_dropped_total", m_log.dropped());
    return text;
}

} // namespace arbutuscrank::node
