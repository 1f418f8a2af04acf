#include "daemon/daemon.hpp"

#include <civetweb.h>

#include <random>

namespace arbutuscrank {

namespace {

    constexpr std::chrono::milliseconds tickPeriod { 50 };
    constexpr std::chrono::milliseconds monitorPeriod { 20 };
    constexpr std::size_t backgroundThreads = 4;
    constexpr std::size_t maxBackgroundTasks = 10'000;
    constexpr unsigned incarnationRandomBits = 22;

    Incarnation drawIncarnation()
    {
        // The wall clock orders incarnations of one VM and takes part in no other decision.
        const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        const auto started = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
        std::random_device random;
        return (static_cast<Incarnation>(started) << incarnationRandomBits)
            | (random() & ((1U << incarnationRandomBits) - 1U));
    }

    Self selfOf(const Settings& settings)
    {
        return { { settings.vm, drawIncarnation() }, settings.region, settings.failureDomain, settings.listen,
            settings.peerListen };
    }

} // namespace

/// Called with the reducer's mutex held: every branch only queues work.
struct Daemon::Performer {
    Daemon& daemon;

    void operator()(SendMessage& effect) const { daemon.m_peers->send(effect.to, effect.message); }
    void operator()(SetPeers& effect) const { daemon.m_peers->setPeers(std::move(effect.peers)); }
    void operator()(ReadObject& effect) const { daemon.m_platformExecutor->perform(std::move(effect)); }
    void operator()(WriteObject& effect) const { daemon.m_platformExecutor->perform(std::move(effect)); }
    void operator()(WatchObject& effect) const { daemon.m_platformExecutor->perform(std::move(effect)); }
    void operator()(const ListVms& effect) const { daemon.m_platformExecutor->perform(effect); }
    void operator()(RunAttempt& effect) const { assign(effect); }
    void operator()(ForwardAttempt& effect) const { assign(effect); }
    void operator()(RefuseRequest& effect) const { assign(effect); }
    void operator()(const CancelAttempt& effect) const
    {
        if (const auto session = daemon.m_sessions.find(effect.id))
            session->cancelAttempt();
    }
    void operator()(CloseConnections& effect) const
    {
        daemon.m_background.post([&server = *daemon.m_callers, effect = std::move(effect)] {
            server.closeConnections(effect.account, effect.keyId);
        });
    }
    void operator()(const ProbeTarget& effect) const { daemon.probe(effect); }
    void operator()(SetIdleConnections& effect) const
    {
        daemon.m_background.post(
            [&targets = daemon.m_targets, effect = std::move(effect)] { targets.keep(effect); }, maxBackgroundTasks);
    }
    void operator()(PublishLookup& effect) const { daemon.m_callers->publish(std::move(effect.table)); }
    void operator()(ProofResult& effect) const
    {
        daemon.m_background.post(
            [&server = *daemon.m_admin, effect = std::move(effect)]() mutable { server.deliver(std::move(effect)); });
    }
    void operator()(const WriteLog& effect) const { daemon.m_log.write(effect.event, effect.detail); }
    void operator()(const ExitProcess& /*effect*/) const
    {
        const std::lock_guard lock(daemon.m_stopMutex);
        daemon.m_stopComplete = true;
        daemon.m_stopWake.notify_all();
    }

    template <typename E> void assign(E& effect) const
    {
        if (const auto session = daemon.m_sessions.find(effect.id))
            session->assign(std::move(effect));
    }
};

Daemon::Daemon(Settings settings)
    : m_settings(std::move(settings))
    , m_log(m_settings.vm, m_settings.logLevel)
    , m_core(selfOf(m_settings), std::random_device()(), *this)
    , m_platform(makeHttpPlatform({ m_settings.platform }))
    , m_background(backgroundThreads)
{
    mg_init_library(MG_FEATURES_DEFAULT);
    const auto submit = [this](const Event& event) { m_core.submit(event); };
    m_platformExecutor = std::make_unique<PlatformExecutor>(*m_platform, submit);
    const auto process = m_core.inspect([](const State& state, TimePoint) { return state.self.process; });
    // The transport and the services refer to each other; the transport calls its handler only after start().
    struct Relay final : PeerTransportHandler {
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
    auto relay = std::make_unique<Relay>();
    PeerTransportSettings peerSettings;
    peerSettings.self = process;
    peerSettings.listenAddress = m_settings.peerListen;
    m_peers = makePeerTransport(std::move(peerSettings), *relay);
    const SessionServices services { m_core, m_targets, *m_peers };
    m_peerService = std::make_unique<PeerService>(services, m_sessions, m_log, m_settings.forwardThreads);
    relay->service = m_peerService.get();
    m_peerHandler = std::move(relay);
    m_callers = std::make_unique<CallerServer>(
        CallerServerSettings { m_settings.listen, m_settings.callerThreads, m_settings.maxBodyBytes }, services,
        m_sessions, m_metrics);
    m_admin = std::make_unique<AdminServer>(
        AdminServerSettings { m_settings.adminListen, m_settings.adminKeyDigest }, m_core, *m_platform, m_metrics);
}

Daemon::~Daemon() { shutdown(); }

Result<void> Daemon::start()
{
    BOOST_OUTCOME_TRYV(m_peers->start());
    BOOST_OUTCOME_TRYV(m_callers->start());
    BOOST_OUTCOME_TRYV(m_admin->start());
    m_timers.subscribe(tickPeriod, [this] { m_core.submit(Tick {}); });
    m_timers.subscribe(monitorPeriod, [this] { m_sessions.monitor(); });
    m_timers.start();
    m_log.write(LogEvent::ProcessStarted,
        "region=" + m_settings.region + " failure-domain=" + m_settings.failureDomain + " listen=" + m_settings.listen
            + " peer-listen=" + m_settings.peerListen);
    return outcome::success();
}

void Daemon::requestStop()
{
    m_callers->startLeaving();
    m_core.submit(StopRequested {});
}

bool Daemon::waitForStop()
{
    std::unique_lock lock(m_stopMutex);
    return m_stopWake.wait_for(
        lock, std::chrono::milliseconds(m_settings.stopTimeoutMs), [this] { return m_stopComplete; });
}

void Daemon::shutdown()
{
    m_callers->stop();
    m_admin->stop();
    m_timers.stop();
    m_peers->stop();
    m_peerService->stop();
    m_platformExecutor->stop();
    m_background.stop();
}

void Daemon::perform(Effect effect) { std::visit(Performer { *this }, effect); }

void Daemon::probe(const ProbeTarget& effect)
{
    // Never dropped: the core has one probe outstanding for each target and waits for its end.
    m_background.post([this, effect] { m_core.submit(m_targets.probe(effect)); });
}

} // namespace arbutuscrank
