#pragma once

#include "daemon/answer_sink.hpp"
#include "daemon/attempt_control.hpp"
#include "daemon/core_runner.hpp"
#include "daemon/incoming_request.hpp"
#include "daemon/target_client.hpp"

#include <arbutuscrank/core/effects.hpp>

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <variant>

/// \file
/// \brief Request sessions. A session executes the decisions of the core on one request, from its arrival to the
/// end of its last attempt.

namespace arbutuscrank {

/// \brief Effect of the core that a session executes next.
using Directive = std::variant<RunAttempt, ForwardAttempt, RefuseRequest>;

/// \brief Outcome of a request, for metrics.
struct SessionResult {
    std::string service;
    std::string account;
    bool hasAnswerStarted = false; ///< the sink received the start of an answer of a target
    bool isAnswerComplete = false; ///< the sink received the complete answer
    bool isRefused = false;
    std::string refusalReason; ///< reason word of the refusal, or empty
    int status = 0;
    bool hasCallerDisconnected = false;
};

/// \brief Services that a session uses. They outlive it.
struct SessionServices {
    CoreRunner& core;
    TargetClient& targets;
    PeerTransport& peers;
};

/// \brief A request that one thread serves. Other threads find the session in the \ref SessionTable; shared ownership
/// keeps it alive until the last of them has finished with it.
class RequestSession : public std::enable_shared_from_this<RequestSession> {
public:
    RequestSession(SessionServices services, RequestId id, IncomingRequest request, AnswerSink& sink);

    [[nodiscard]] RequestId id() const noexcept { return m_id; }

    /// \brief Serves the request on the calling thread until it ends.
    /// \param arrival event that submits the request to the core
    SessionResult serve(const Event& arrival);

    // The following functions are called from other threads.

    /// \brief Sets the effect that the serving thread executes next.
    void assign(Directive directive);
    /// \brief Cancels the running attempt.
    void cancelAttempt();
    /// \brief Reports the disconnect of the caller to the core once, and wakes the serving thread.
    void handleCallerDisconnect();
    /// \brief Interrupts the running attempt if its deadline has passed.
    void interruptIfOverdue(AttemptControl::Clock::time_point now);

    /// \brief Marks the caller as disconnected without blocking; \ref SessionTable::checkAll handles the disconnect.
    void markCallerDisconnected() noexcept { m_isCallerMarkedDisconnected.store(true); }
    [[nodiscard]] bool isCallerMarkedDisconnected() const noexcept { return m_isCallerMarkedDisconnected.load(); }

    /// \brief Sets the caller's socket, which \ref SessionTable::checkAll polls for a disconnect; -1 for none.
    void setCallerSocket(int socket) noexcept { m_callerSocket.store(socket); }
    [[nodiscard]] int callerSocket() const noexcept { return m_callerSocket.load(); }

private:
    std::optional<Directive> nextDirective();
    bool execute(const RunAttempt& attempt);
    bool execute(const ForwardAttempt& attempt);
    bool execute(const RefuseRequest& refusal);
    /// Returns whether the session continues, which is the case if the attempt failed before an answer started.
    bool reportAttemptEnd(const AttemptEnded& end);
    [[nodiscard]] bool isAdmissionTooOld(TimePoint admittedAt) const;

    SessionServices m_services;
    RequestId m_id;
    IncomingRequest m_request;
    AnswerSink& m_sink;
    AttemptControl m_control;
    std::atomic<int> m_callerSocket { -1 };
    std::atomic<bool> m_isCallerMarkedDisconnected { false };
    SessionResult m_result;

    std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    std::optional<Directive> m_directive;
    bool m_isRunning = false;
    bool m_hasCallerDisconnected = false;
};

/// \brief The running sessions by request id. Thread-safe.
class SessionTable {
public:
    [[nodiscard]] RequestId nextId() noexcept { return ++m_lastId; }
    void add(const std::shared_ptr<RequestSession>& session);
    void remove(RequestId id);
    [[nodiscard]] std::shared_ptr<RequestSession> find(RequestId id) const;
    [[nodiscard]] std::size_t size() const;

    /// \brief Interrupts the attempts whose deadline has passed, and handles the disconnects of callers.
    void checkAll();

private:
    [[nodiscard]] std::vector<std::shared_ptr<RequestSession>> snapshot() const;

    mutable std::mutex m_mutex;
    std::unordered_map<RequestId, std::shared_ptr<RequestSession>> m_sessions;
    std::atomic<RequestId> m_lastId { 0 };
};

} // namespace arbutuscrank
