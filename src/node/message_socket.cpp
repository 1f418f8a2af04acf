#include "node/message_socket.hpp"

namespace arbutuscrank::node {

MessageSocket::MessageSocket(asio::io_context& context, ReceiveHandler onReceived)
    : m_socket(context)
    , m_onReceived(std::move(onReceived))
{
}

Result<void> MessageSocket::open(const std::string& address)
{
    BOOST_OUTCOME_TRY(endpoint, parseEndpoint(address));
    SystemError ec;
    m_socket.open(Udp::v4(), ec);
    if (!ec)
        m_socket.bind({ endpoint.address(), endpoint.port() }, ec);
    if (!ec)
        m_socket.non_blocking(true, ec);
    if (ec)
        return Error { ErrorCode::Unavailable, "message.bind", address, ec.message() };
    receive();
    return outcome::success();
}

void MessageSocket::receive()
{
    m_socket.async_receive_from(asio::buffer(m_receiveBuffer), m_sender, [this](SystemError ec, std::size_t n) {
        if (ec == asio::error::operation_aborted)
            return;
        // An error reports an earlier datagram that could not be delivered; the socket stays usable.
        if (!ec)
            m_onReceived({ m_receiveBuffer.data(), n });
        receive();
    });
}

void MessageSocket::send(const std::string& bytes, std::span<const std::string> addresses)
{
    for (const auto& address : addresses) {
        const auto endpoint = parseEndpoint(address);
        if (!endpoint)
            continue; // a VM whose registration has an unreadable address is skipped
        SystemError ec; // ignored, because datagrams may be lost
        m_socket.send_to(asio::buffer(bytes), { endpoint.value().address(), endpoint.value().port() }, 0, ec);
    }
}

} // namespace arbutuscrank::node
