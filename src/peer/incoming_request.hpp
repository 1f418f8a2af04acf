#pragma once

#include "peer/session.hpp"

#include <arbutuscrank/peer/transport.hpp>

#include <string>

/// \file
/// \brief Stream of an incoming request whose headers are still being received.

namespace arbutuscrank::peer {

/// \brief Collects the headers of a request, then replaces itself by the stream type for its method and path.
class IncomingRequest : public Stream {
public:
    explicit IncomingRequest(Session& session) noexcept
        : m_session(session)
    {
    }

    bool onHeader(std::string_view name, std::string_view value) override;
    void onHeadersComplete() override;
    bool onData(std::span<const std::uint8_t> /*bytes*/) override { return false; }
    void onClosed(const StreamEnd& /*end*/) override { }

private:
    Session& m_session;
    ProcessId m_sender;
    std::string m_method;
    std::string m_path;
    ForwardHead m_head;
};

} // namespace arbutuscrank::peer
