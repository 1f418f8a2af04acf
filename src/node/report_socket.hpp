#pragma once

#include "node/network.hpp"

#include <arbutuscrank/entry/members.hpp>

#include <array>
#include <functional>

/// \file
/// \brief Datagrams between VMs. Reports are counters, so a lost one is made good by the next.

namespace arbutuscrank::node {

/// \brief A report as CBOR. \see decodeReport
[[nodiscard]] std::string encodeReport(const entry::Report& report);

/// \brief Reads a report. \returns Protocol with the field that is missing or of another type
[[nodiscard]] Result<entry::Report> decodeReport(std::string_view bytes);

/// \brief Socket for reports.
class ReportSocket {
public:
    using Received = std::function<void(Result<entry::Report>)>;

    ReportSocket(asio::io_context& context, Received received);

    /// \brief Binds to an address and starts to receive.
    [[nodiscard]] Result<void> open(const std::string& address);

    /// \brief Sends one datagram; it may be lost.
    void send(const std::string& bytes, const std::string& address);

private:
    void receive();

    static constexpr std::size_t maxDatagramBytes = 65'000;

    Udp::socket m_socket;
    Udp::endpoint m_sender;
    std::array<char, maxDatagramBytes> m_bytes {};
    Received m_received;
};

} // namespace arbutuscrank::node
