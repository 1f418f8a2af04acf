#pragma once

#include "node/message_parser.hpp"
#include "node/target_connections.hpp"

/// \file
/// \brief One attempt to run a request on a target.

namespace arbutuscrank::node {

/// \brief Sends a request on a new or an idle connection and reads its answer.
class TargetAttempt : public std::enable_shared_from_this<TargetAttempt> {
public:
    TargetAttempt(TargetConnections& owner, const entry::SendAttempt& parameters, CallerRequest request,
        TargetConnections::Done done);

    void start(std::shared_ptr<Tcp::socket> idleSocket);
    /// \brief Ends the attempt without sending anything, because the request cannot be written.
    void rejectUnsendable(std::string detail);
    void cancel();

private:
    void connect(const Tcp::endpoint& endpoint);
    void sendRequest();
    void readAnswer();
    void readMore();
    /// Counts the memory allocated for the answer. The attempt fails if that releases its answer.
    void countAnswerMemory();
    /// Fails in a later turn of the event loop: the handler given to \ref TargetConnections::send is never called
    /// within it.
    void failLater(entry::AttemptProgress progress, std::string detail);
    void handleAnswer();
    void failUnreadable(std::string detail);
    void fail(entry::AttemptProgress progress, std::string detail);
    void finish(AttemptResult result);
    [[nodiscard]] bool isAnswerToThisRequest() const;
    [[nodiscard]] Duration keepAliveTimeout() const;

    TargetConnections& m_owner;
    entry::SendAttempt m_parameters;
    CallerRequest m_request;
    std::string m_requestId; ///< id of the caller's attempt; empty if the caller sent none
    TargetConnections::Done m_done;
    std::shared_ptr<Tcp::socket> m_socket;
    asio::steady_timer m_connectTimer;
    boost::beast::flat_buffer m_buffer { maxUnparsedBytes };
    std::optional<MessageParser<false, http::string_body>> m_parser;
    bool m_isConnectionReused = false; ///< whether the connection has carried an earlier request
    bool m_hasConnectSucceeded = false; ///< whether a new connection was opened; stays false on an idle connection
    bool m_hasSentRequest = false; ///< whether the whole request is written
    bool m_hasEnded = false;
    AnswerMemory::Share m_answerMemory;
    std::uint32_t m_skippedAnswers = 0; ///< answers that are informational or not to this request
};

} // namespace arbutuscrank::node
