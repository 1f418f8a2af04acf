#include "node/http_channel.hpp"

namespace arbutuscrank::node {

namespace {

    /// Limit on the body of an answer. A page of a list has about 1 MB.
    constexpr std::uint64_t maxAnswerBytes = 8U << 20U;
    /// A connection whose peer acknowledges no data for this time counts as broken.
    constexpr Duration peerAckTimeout = std::chrono::seconds(1);

} // namespace

HttpChannel::HttpChannel(asio::io_context& context, Tcp::endpoint server, std::string serverAddress)
    : m_socket(context)
    , m_timer(context)
    , m_server(std::move(server))
    , m_serverAddress(std::move(serverAddress))
{
}

void HttpChannel::call(Request request, Duration timeout, Handler done)
{
    m_calls.push_back({ std::make_shared<Request>(std::move(request)), timeout, std::move(done) });
    if (!m_isBusy)
        startNext();
}

void HttpChannel::startNext()
{
    if (m_calls.empty())
        return;
    m_isBusy = true;
    m_timer.expires_after(m_calls.front().timeout);
    m_timer.async_wait([self = shared_from_this(), generation = m_generation](SystemError ec) {
        if (!ec && generation == self->m_generation)
            self->fail(ErrorCode::Timeout, "store.answer", "no complete answer before the timeout of the call");
    });
    if (m_isConnected)
        send();
    else
        connect();
}

void HttpChannel::connect()
{
    m_socket = Tcp::socket(m_socket.get_executor());
    m_socket.async_connect(m_server, [self = shared_from_this(), generation = m_generation](SystemError ec) {
        if (generation != self->m_generation)
            return;
        if (ec) {
            self->fail(ErrorCode::Unavailable, "store.connect", ec.message());
            return;
        }
        setSocketOptions(self->m_socket, peerAckTimeout);
        self->m_isConnected = true;
        self->send();
    });
}

void HttpChannel::send()
{
    m_parser = std::make_shared<Parser>();
    m_parser->body_limit(maxAnswerBytes);
    // The handler shares the request, because an abandoned write still accesses it until the write ends.
    const auto request = m_calls.front().request;
    http::async_write(m_socket, *request,
        [self = shared_from_this(), request, generation = m_generation](SystemError ec, std::size_t) {
            if (generation != self->m_generation)
                return;
            if (ec)
                self->fail(ErrorCode::Unknown, "store.send", ec.message());
            else
                self->receive();
        });
}

void HttpChannel::receive()
{
    // A parser that takes head and body from one read allocates an announced length despite the limit.
    http::async_read_header(m_socket, m_buffer, *m_parser,
        [self = shared_from_this(), parser = m_parser, generation = m_generation](SystemError ec, std::size_t) {
            if (generation != self->m_generation)
                return;
            if (ec)
                self->fail(ErrorCode::Unknown, "store.answer", describeReadError(ec));
            else
                self->receiveBody();
        });
}

void HttpChannel::receiveBody()
{
    http::async_read(m_socket, m_buffer, *m_parser,
        [self = shared_from_this(), parser = m_parser, generation = m_generation](SystemError ec, std::size_t) {
            if (generation != self->m_generation)
                return;
            if (ec) {
                self->fail(ErrorCode::Unknown, "store.answer", describeReadError(ec));
                return;
            }
            if (!parser->keep_alive() || self->m_buffer.size() != 0)
                self->close();
            self->finish(parser->release());
        });
}

void HttpChannel::finish(Result<Response> result)
{
    ++m_generation;
    m_timer.cancel();
    auto done = std::move(m_calls.front().done);
    m_calls.pop_front();
    m_isBusy = false;
    const auto self = shared_from_this();
    done(std::move(result));
    if (!m_isBusy)
        startNext();
}

void HttpChannel::fail(ErrorCode code, std::string_view step, std::string_view detail)
{
    close();
    finish(Error { code, std::string(step), m_serverAddress, std::string(detail) });
}

void HttpChannel::abandon()
{
    ++m_generation;
    m_timer.cancel();
    close();
    m_isBusy = false;
    for (auto& call : std::exchange(m_calls, {}))
        call.done(Error {
            ErrorCode::Unknown, "store.abandon", m_serverAddress, "the call was abandoned before its answer arrived" });
}

void HttpChannel::close()
{
    SystemError ec;
    m_socket.close(ec); // the socket is discarded, so an error has no effect
    m_isConnected = false;
    m_buffer.consume(m_buffer.size());
}

} // namespace arbutuscrank::node
