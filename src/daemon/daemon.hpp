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
/// \brief The whole daemon: the core and the parts that perform its effects.

namespace arbutuscrank {

/// \brief Takes effects from the core and queues them at the part that performs them.
class Daemon final : public EffectHandler {
public:
    explicit Daemon(Settings settings);
    ~Daemon() override;

    /// \brief Opens every port and starts all threads.
    [[nodiscard]] Result<void> start();

    /// \brief Asks for a graceful stop. Returns at once.
    void requestStop();

    /// \brief Waits until the graceful stop is complete or its time limit has passed.
    /// \returns whether it was complete
    [[nodiscard]] bool waitForStop();

    /// \brief Closes everything. Requests that still run are cut.
    void shutdown();

    [[nodiscard]] const BlockingLog& log() const noexcept { return m_log; }

    void perform(Effect effect) override;

private:
    struct Performer; ///< visitor over effects

    void probe(const ProbeTarget& effect);

    Settings m_settings;
    BlockingLog m_log;
    Metrics m_metrics;
    CoreRunner m_core;
    std::unique_ptr<Platform> m_platform;
    TargetClient m_targets;
    SessionTable m_sessions;
    TaskQueue m_background;
    TimerService m_timers;
    std::unique_ptr<PlatformExecutor> m_platformExecutor;
    std::unique_ptr<PeerTransportHandler> m_peerHandler;
    std::unique_ptr<PeerService> m_peerService;
    std::unique_ptr<PeerTransport> m_peers;
    std::unique_ptr<CallerServer> m_callers;
    std::unique_ptr<AdminServer> m_admin;

    std::mutex m_stopMutex;
    std::condition_variable m_stopWake;
    bool m_stopComplete = false;
};

} // namespace arbutuscrank
