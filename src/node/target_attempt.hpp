#pragma once

#include "node/target_connections.hpp"

/// \file
/// \brief One request on its way to one target.

namespace arbutuscrank::node {

/// \brief Sends a request on a connection and reads its answer.
class TargetAttempt : public std::enable_shared_from_this<TargetAttempt> {
public:
    TargetAttempt(
        TargetConnections& owner, const entry::SendAttempt& order, CallerRequest request, TargetConnections::Done done);

    void start(std::shared_ptr<Tcp::socket> kept);
    void cancel();

private:
    void connect(const Tcp::endpoint& endpoint);
    void exchange();
    void readAnswer();
    void answered();
    void fail(entry::AttemptProgress progress, std::string detail);
    void finish(AttemptResult result);
    [[nodiscard]] bool answersThisRequest() const;
    [[nodiscard]] Duration keepAliveLimit() const;

    TargetConnections& m_owner;
    entry::SendAttempt m_order;
    CallerRequest m_request;
    std::string m_requestId; ///< the caller's; empty if it sent none
    TargetConnections::Done m_done;
    std::shared_ptr<Tcp::socket> m_socket;
    asio::steady_timer m_connectTimer;
    boost::beast::flat_buffer m_buffer;
    std::optional<http::response_parser<http::string_body>> m_parser;
    bool m_connected = false;
    bool m_written = false;
    bool m_ended = false;
    std::uint32_t m_strayAnswers = 0; ///< answers of earlier requests that came late
};

} // namespace arbutuscrank::node
