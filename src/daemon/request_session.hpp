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
/// \brief One request on its way through this process, from arrival to its last attempt.

namespace arbutuscrank {

/// \brief What the core tells a session to do next.
using Directive = std::variant<RunAttempt, ForwardAttempt, RefuseRequest>;

/// \brief How the last attempt or refusal ended, for metrics.
struct SessionResult {
    std::string service;
    std::string account;
    bool answered = false; ///< part of an answer of a target was passed on
    bool whole = false; ///< and all of it
    bool refused = false;
    std::string reason; ///< of the refusal
    int status = 0;
    bool callerGone = false;
};

/// \brief Services that a session uses.
struct SessionServices {
    CoreRunner& core;
    TargetClient& targets;
    PeerTransport& peers;
};

/// \brief A request and the thread that serves it. Other threads reach it through the \ref SessionTable; shared
/// ownership keeps it alive until the last of them is done.
class RequestSession : public std::enable_shared_from_this<RequestSession> {
public:
    RequestSession(SessionServices services, RequestId id, IncomingRequest request, AnswerSink& sink);

    [[nodiscard]] RequestId id() const noexcept { return m_id; }

    /// \brief Serves the request on the calling thread until it ends. \param arrival the event that starts it
    SessionResult serve(const Event& arrival);

    // Calls from other threads.
    void assign(Directive directive);
    void cancelAttempt();
    void callerGone();
    void enforceLimit(AttemptControl::Clock::time_point now);

    /// \brief Notes that the caller went away; \ref SessionTable::monitor acts on it. For threads that must not block.
    void noteCallerGone() noexcept { m_callerGoneNoted.store(true); }
    [[nodiscard]] bool isCallerGoneNoted() const noexcept { return m_callerGoneNoted.load(); }

    /// \brief Socket of the caller, to be watched for its end; -1 if there is none.
    void setCallerSocket(int socket) noexcept { m_callerSocket.store(socket); }
    [[nodiscard]] int callerSocket() const noexcept { return m_callerSocket.load(); }

private:
    std::optional<Directive> nextDirective();
    bool perform(const RunAttempt& attempt);
    bool perform(const ForwardAttempt& attempt);
    bool perform(const RefuseRequest& refusal);
    bool report(const AttemptEnded& end);
    [[nodiscard]] bool isTooOld(TimePoint admittedAt) const;

    SessionServices m_services;
    RequestId m_id;
    IncomingRequest m_request;
    AnswerSink& m_sink;
    AttemptControl m_control;
    std::atomic<int> m_callerSocket { -1 };
    std::atomic<bool> m_callerGoneNoted { false };
    SessionResult m_result;

    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::optional<Directive> m_directive;
    bool m_running = false;
    bool m_callerGone = false;
};

/// \brief Sessions by request id.
class SessionTable {
public:
    [[nodiscard]] RequestId nextId() noexcept { return ++m_lastId; }
    void add(const std::shared_ptr<RequestSession>& session);
    void remove(RequestId id);
    [[nodiscard]] std::shared_ptr<RequestSession> find(RequestId id) const;
    [[nodiscard]] std::size_t size() const;

    /// \brief Ends attempts past their limit, and tells sessions whose caller closed its connection.
    void monitor();

private:
    [[nodiscard]] std::vector<std::shared_ptr<RequestSession>> all() const;

    mutable std::mutex m_mutex;
    std::unordered_map<RequestId, std::shared_ptr<RequestSession>> m_sessions;
    std::atomic<RequestId> m_lastId { 0 };
};

} // namespace arbutuscrank
