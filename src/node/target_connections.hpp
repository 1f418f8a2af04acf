#pragma once

#include "node/answer_memory.hpp"
#include "node/caller_session.hpp"
#include "node/network.hpp"
#include "node/object_store.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

/// \file
/// \brief Connections to targets and the attempts that use them.

namespace arbutuscrank::node {

/// \brief How an attempt ended.
struct AttemptResult {
    std::optional<entry::AttemptProgress> failure; ///< how far the attempt got if it has no usable answer
    std::string detail; ///< reason of the failure
    CallerAnswer answer;
    AnswerMemory::Share memory; ///< of \ref answer
    bool notRun = false; ///< the target reports that it did not run the request
    bool hasSignature = false; ///< the answer has the signature header; the signature is not verified
    std::optional<entry::LoadReport> load;
    std::string unusableWorkTime; ///< fourth figure of the load, if it cannot be used
    entry::RateLimitStatement rateLimit;
    bool isLeaving = false; ///< the target is about to stop
    std::optional<Duration> pause; ///< time for which a target that refused the request wants none from this VM
    std::map<std::string, std::string> refusedValues; ///< by header, values of the answer that cannot be used
};

class TargetAttempt;

/// \brief Pool of keep-alive connections to targets, and the attempts in progress.
class TargetConnections {
public:
    using Done = std::function<void(AttemptResult)>;

    /// \param memory counts the answers that are being received; an attempt whose answer is released fails
    TargetConnections(asio::io_context& context, HeaderNames names, AnswerMemory& memory)
        : m_context(context)
        , m_names(std::move(names))
        , m_answerMemory(memory)
    {
    }

    /// \brief Runs a request on a target. \p done is called once, unless the attempt is cancelled.
    void send(const entry::SendAttempt& attempt, const CallerRequest& request, Done done);

    /// \brief Cancels an attempt and closes its connection. The handler of the attempt is not called.
    void cancel(entry::AttemptId attempt);

    /// \brief Closes the idle connections to a target.
    void closeIdle(const std::string& target);

    /// \brief Closes the connection that has been idle for longest. \returns false if there is none
    bool closeLongestIdle();

    /// \brief Number of open connections, idle or not.
    [[nodiscard]] std::size_t openConnections() const noexcept { return m_attempts.size() + m_idleCount; }

    [[nodiscard]] std::uint64_t connectionsOpened() const noexcept { return m_connectionsOpened; }
    /// \brief Number of answers that could not be read. Each has ended its attempt and its connection.
    [[nodiscard]] std::uint64_t unreadableAnswers() const noexcept { return m_unreadableAnswers; }

private:
    friend class TargetAttempt;

    struct IdleConnection {
        std::shared_ptr<Tcp::socket> socket;
        TimePoint idleSince {};
        Duration keepAliveTimeout {}; ///< time after which the target may close it
    };

    [[nodiscard]] std::shared_ptr<Tcp::socket> takeIdle(const std::string& target, Duration idleTimeLimit);
    void storeIdle(const std::string& target, std::shared_ptr<Tcp::socket> socket, Duration keepAliveTimeout);
    void removeIdle(const std::string& target, const Tcp::socket* socket);

    asio::io_context& m_context;
    HeaderNames m_names;
    AnswerMemory& m_answerMemory;
    std::map<entry::AttemptId, std::shared_ptr<TargetAttempt>> m_attempts;
    std::map<std::string, std::vector<IdleConnection>>
        m_idleConnections; ///< by target; the most recently used one is last
    std::size_t m_idleCount = 0; ///< of \ref m_idleConnections
    std::uint64_t m_connectionsOpened = 0;
    std::uint64_t m_unreadableAnswers = 0;
};

} // namespace arbutuscrank::node
