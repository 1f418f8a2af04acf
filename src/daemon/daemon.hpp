#pragma once

#include "daemon/admin_server.hpp"
#include "daemon/caller_server.hpp"
#include "daemon/core_runner.hpp"
#include "daemon/peer_service.hpp"
#include "daemon/platform_executor.hpp"
#include "daemon/request_session.hpp"
#include "daemon/settings.hpp"
#include "daemon/target_client.hpp"
#include "daemon/timer_service.hpp"
#include "telemetry/blocking_log.hpp"
#include "telemetry/metrics.hpp"

#include <arbutuscrank/store/http_platform.hpp>

#include <condition_variable>
#include <memory>
#include <mutex>

/// \file
/// \brief The daemon: the decision core and the services that perform its effects.

namespace arbutuscrank {

/// \brief Owns the decision core and the services, and passes each effect of the core to the service that performs it.
class Daemon final : public EffectHandler {
public:
    explicit Daemon(Settings settings);
    ~Daemon() override;

    /// \brief Binds all addresses and starts all threads.
    /// \returns the error of the first service that does not start
    [[nodiscard]] Result<void> start();

    /// \brief Starts a graceful shutdown with connection draining. Does not block.
    void requestGracefulStop();

    /// \brief Waits until the graceful shutdown is complete or its time limit has passed.
    /// \returns whether the shutdown is complete
    [[nodiscard]] bool waitForStop();

    /// \brief Stops all servers and threads. Requests in flight are interrupted.
    void shutdown();

    [[nodiscard]] const BlockingLog& log() const noexcept { return m_log; }

    void perform(Effect effect) override;

private:
    struct EffectVisitor; ///< overloads for each effect

    void probe(const ProbeTarget& effect);

    Settings m_settings;
    BlockingLog m_log;
    Metrics m_metrics;
    CoreRunner m_core;
    std::unique_ptr<Platform> m_platform;
    TargetClient m_targetClient;
    SessionTable m_sessions;
    TaskQueue m_backgroundTasks;
    TimerService m_timerService;
    std::unique_ptr<PlatformExecutor> m_platformExecutor;
    std::unique_ptr<PeerTransportHandler> m_peerHandler;
    std::unique_ptr<PeerService> m_peerService;
    std::unique_ptr<PeerTransport> m_peerTransport;
    std::unique_ptr<CallerServer> m_callerServer;
    std::unique_ptr<AdminServer> m_adminServer;

    std::mutex m_stopMutex;
    std::condition_variable m_stopCompleted;
    bool m_isStopComplete = false;
};

} // namespace arbutuscrank
