#pragma once

#include "node/network.hpp"

#include <array>
#include <functional>
#include <span>
#include <string>

/// \file
/// \brief UDP socket for datagrams between VMs. Reports carry cumulative counters, so the next one makes up for a lost
/// one.

namespace arbutuscrank::node {

/// \brief Sends and receives datagrams between VMs.
class MessageSocket {
public:
    using ReceiveHandler = std::function<void(std::string_view bytes)>;

    MessageSocket(asio::io_context& context, ReceiveHandler onReceived);

    /// \brief Binds to an address and starts to receive. \returns InvalidArgument if it is not "ip:port", Unavailable
    /// if it cannot be opened
    [[nodiscard]] Result<void> open(const std::string& address);

    /// \brief Sends a datagram to each address; it may be lost.
    void send(const std::string& bytes, std::span<const std::string> addresses);

private:
    void receive();

    static constexpr std::size_t maxDatagramBytes = 65'000;

    Udp::socket m_socket;
    Udp::endpoint m_sender;
    std::array<char, maxDatagramBytes> m_receiveBuffer {};
    ReceiveHandler m_onReceived;
};

} // namespace arbutuscrank::node
