#pragma once

#include "node/network.hpp"

#include <array>
#include <functional>
#include <span>
#include <string>

/// \file
/// \brief Datagrams between VMs. They carry counters, so a lost one is made good by the next.

namespace arbutuscrank::node {

/// \brief Socket for datagrams between VMs.
class MessageSocket {
public:
    using Received = std::function<void(std::string_view bytes)>;

    MessageSocket(asio::io_context& context, Received received);

    /// \brief Binds to an address and starts to receive.
    [[nodiscard]] Result<void> open(const std::string& address);

    /// \brief Sends a datagram to each address; it may be lost.
    void send(const std::string& bytes, std::span<const std::string> addresses);

private:
    void receive();

    static constexpr std::size_t maxDatagramBytes = 65'000;

    Udp::socket m_socket;
    Udp::endpoint m_sender;
    std::array<char, maxDatagramBytes> m_bytes {};
    Received m_received;
};

} // namespace arbutuscrank::node
