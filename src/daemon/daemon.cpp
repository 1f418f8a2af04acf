#include "daemon/daemon.hpp"

#include <civetweb.h>

#include <random>

namespace arbutuscrank {

namespace {

    constexpr std::chrono::milliseconds tickPeriod { 50 };
    constexpr std::chrono::milliseconds sessionCheckPeriod { 20 };
    constexpr std::size_t backgroundThreads = 4;
    constexpr std::size_t maxQueuedBackgroundTasks = 10'000;
    constexpr unsigned incarnationRandomBits = 22;

    Incarnation makeIncarnation()
    {
        // The wall clock orders the incarnations of one VM; no other decision depends on it.
        const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        const auto startedAtMs = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
        std::random_device random;
        return (static_cast<Incarnation>(startedAtMs) << incarnationRandomBits)
            | (random() & ((1U << incarnationRandomBits) - 1U));
    }

    Self makeSelf(const Settings& settings)
    {
        return { { settings.vm, makeIncarnation() }, settings.region, settings.failureDomain, settings.listen,
            settings.peerListen };
    }

} // namespace

/// Runs with the reducer's mutex held, so each overload only queues work.
struct Daemon::EffectVisitor {
    Daemon& daemon;

    void operator()(SendMessage& effect) const { daemon.m_peerTransport->send(effect.to, effect.message); }
    void operator()(SetPeers& effect) const { daemon.m_peerTransport->setPeers(std::move(effect.peers)); }
    void operator()(ReadObject& effect) const { daemon.m_platformExecutor->perform(std::move(effect)); }
    void operator()(WriteObject& effect) const { daemon.m_platformExecutor->perform(std::move(effect)); }
    void operator()(WatchObject& effect) const { daemon.m_platformExecutor->perform(std::move(effect)); }
    void operator()(const ListVms& effect) const { daemon.m_platformExecutor->perform(effect); }
    void operator()(RunAttempt& effect) const { assignToSession(effect); }
    void operator()(ForwardAttempt& effect) const { assignToSession(effect); }
    void operator()(RefuseRequest& effect) const { assignToSession(effect); }
    void operator()(const CancelAttempt& effect) const
    {
        if (const auto session = daemon.m_sessions.find(effect.id))
            session->cancelAttempt();
    }
    void operator()(CloseConnections& effect) const
    {
        daemon.m_backgroundTasks.post([&server = *daemon.m_callerServer, effect = std::move(effect)] {
            server.closeConnectionsOfKey(effect.account, effect.keyId);
        });
    }
    void operator()(const ProbeTarget& effect) const { daemon.probe(effect); }
    void operator()(SetIdleConnections& effect) const
    {
        daemon.m_backgroundTasks.post(
            [&targets = daemon.m_targetClient, effect = std::move(effect)] { targets.setIdleConnections(effect); },
            maxQueuedBackgroundTasks);
    }
    void operator()(PublishLookup& effect) const { daemon.m_callerServer->publishLookupTable(std::move(effect.table)); }
    void operator()(ProofResult& effect) const
    {
        daemon.m_backgroundTasks.post([&server = *daemon.m_adminServer, effect = std::move(effect)]() mutable {
            server.deliverProof(std::move(effect));
        });
    }
    void operator()(const WriteLog& effect) const { daemon.m_log.write(effect.event, effect.detail); }
    void operator()(const ExitProcess& /*effect*/) const
    {
        const std::lock_guard lock(daemon.m_stopMutex);
        daemon.m_isStopComplete = true;
        daemon.m_stopCompleted.notify_all();
    }

    template <typename E> void assignToSession(E& effect) const
    {
        if (const auto session = daemon.m_sessions.find(effect.id))
            session->assign(std::move(effect));
    }
};

Daemon::Daemon(Settings settings)
    : m_settings(std::move(settings))
    , m_log(m_settings.vm, m_settings.logLevel)
    , m_core(makeSelf(m_settings), std::random_device()(), *this)
    , m_platform(makeHttpPlatform({ m_settings.platform }))
    , m_backgroundTasks(backgroundThreads)
{
    mg_init_library(MG_FEATURES_DEFAULT);
    const auto submit = [this](const Event& event) { m_core.submit(event); };
    m_platformExecutor = std::make_unique<PlatformExecutor>(*m_platform, submit);
    const auto process = m_core.inspect([](const State& state, TimePoint) { return state.self.process; });
    // The transport and the peer service need references to each other. The proxy gets its service after both exist;
    // the transport calls its handler only after start().
    struct HandlerProxy final : PeerTransportHandler {
        PeerService* service = nullptr;
        void onMessage(const ProcessId& from, PeerMessage message) override
        {
            service->onMessage(from, std::move(message));
        }
        void onPeerLost(const VmId& vm, const Error& error) override { service->onPeerLost(vm, error); }
        void onForward(const ProcessId& from, ForwardHead head, std::string body,
            std::shared_ptr<ForwardResponder> responder) override
        {
            service->onForward(from, std::move(head), std::move(body), std::move(responder));
        }
    };
    auto handlerProxy = std::make_unique<HandlerProxy>();
    PeerTransportSettings peerSettings;
    peerSettings.self = process;
    peerSettings.listenAddress = m_settings.peerListen;
    m_peerTransport = makePeerTransport(std::move(peerSettings), *handlerProxy);
    const SessionServices services { m_core, m_targetClient, *m_peerTransport };
    m_peerService = std::make_unique<PeerService>(services, m_sessions, m_log, m_settings.forwardThreads);
    handlerProxy->service = m_peerService.get();
    m_peerHandler = std::move(handlerProxy);
    m_callerServer = std::make_unique<CallerServer>(
        CallerServerSettings { m_settings.listen, m_settings.callerThreads, m_settings.maxBodyBytes }, services,
        m_sessions, m_metrics);
    m_adminServer = std::make_unique<AdminServer>(
        AdminServerSettings { m_settings.adminListen, m_settings.adminKeyDigest }, m_core, *m_platform, m_metrics);
}

Daemon::~Daemon() { shutdown(); }

Result<void> Daemon::start()
{
    BOOST_OUTCOME_TRYV(m_peerTransport->start());
    BOOST_OUTCOME_TRYV(m_callerServer->start());
    BOOST_OUTCOME_TRYV(m_adminServer->start());
    m_timerService.subscribe(tickPeriod, [this] { m_core.submit(Tick {}); });
    m_timerService.subscribe(sessionCheckPeriod, [this] { m_sessions.checkAll(); });
    m_timerService.start();
    m_log.write(LogEvent::ProcessStarted,
        "region=" + m_settings.region + " failure-domain=" + m_settings.failureDomain + " listen=" + m_settings.listen
            + " peer-listen=" + m_settings.peerListen);
    return outcome::success();
}

void Daemon::requestGracefulStop()
{
    m_callerServer->startDraining();
    m_core.submit(StopRequested {});
}

bool Daemon::waitForStop()
{
    std::unique_lock lock(m_stopMutex);
    return m_stopCompleted.wait_for(
        lock, std::chrono::milliseconds(m_settings.stopTimeoutMs), [this] { return m_isStopComplete; });
}

void Daemon::shutdown()
{
    m_callerServer->stop();
    m_adminServer->stop();
    m_timerService.stop();
    m_peerTransport->stop();
    m_peerService->stop();
    m_platformExecutor->stop();
    m_backgroundTasks.stop();
}

void Daemon::perform(Effect effect) { std::visit(EffectVisitor { *this }, effect); }

void Daemon::probe(const ProbeTarget& effect)
{
    // The task has no queue limit: the core has at most one probe of each target in flight and waits for its result.
    m_backgroundTasks.post([this, effect] { m_core.submit(m_targetClient.probe(effect)); });
}

} // namespace arbutuscrank
