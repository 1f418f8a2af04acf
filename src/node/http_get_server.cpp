#include "node/http_get_server.hpp"

#include "node/clock.hpp"
#include "node/message_parser.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/buffer_traits.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace arbutuscrank::node {

namespace {

    /// Time after which an idle connection is closed.
    constexpr Duration idleTimeout = std::chrono::seconds(10);
    /// A connection whose peer acknowledges no data for this time counts as broken.
    constexpr Duration peerAckTimeout = std::chrono::seconds(3);
    /// Delay before a failed accept is retried, so that a shortage of file descriptors does not cause a busy loop.
    constexpr Duration acceptRetryDelay = std::chrono::milliseconds(50);

    /// Limit on the bytes of a request that are read and not parsed yet.
    constexpr std::size_t maxUnparsedRequestBytes = 16U << 10U;
    /// Limit on the body of a request, which is not used.
    constexpr std::uint64_t maxIgnoredBodyBytes = 64U << 10U;
    /// Time in which a peer whose request could not be read may take the answer and close the connection.
    constexpr Duration refusalTimeout = std::chrono::seconds(1);
    /// Bytes of such a peer that are read and dropped at a time, and in all.
    constexpr std::size_t discardBytes = 4U << 10U;
    constexpr std::size_t maxDiscardedBytes = 1U << 20U;

    /// Body that is dropped as it arrives.
    struct IgnoredBody {
        struct value_type { }; // NOLINT(readability-identifier-naming): the HTTP library looks up this name

        class reader { // NOLINT(readability-identifier-naming): the HTTP library looks up this name
        public:
            template <bool isRequest, typename Fields>
            reader(http::header<isRequest, Fields>& /*head*/, value_type& /*body*/)
            {
            }
            void init(const boost::optional<std::uint64_t>& /*length*/, SystemError& ec) { ec = {}; }
            template <typename Buffers> std::size_t put(const Buffers& buffers, SystemError& ec)
            {
                ec = {};
                return boost::beast::buffer_bytes(buffers);
            }
            void finish(SystemError& ec) { ec = {}; }
        };
    };

} // namespace

class HttpGetServer::Session : public std::enable_shared_from_this<Session> {
public:
    Session(Tcp::socket socket, std::shared_ptr<HttpGetServer::Handlers> handlers, bool limitsWriteTime)
        : m_socket(std::move(socket))
        , m_timer(m_socket.get_executor())
        , m_handlers(std::move(handlers))
        , m_limitsWriteTime(limitsWriteTime)
    {
        setSocketOptions(m_socket, peerAckTimeout);
    }

    void read()
    {
        m_isReading = true;
        m_readSince = currentTime();
        m_parser.emplace();
        m_parser->body_limit(maxIgnoredBodyBytes);
        startTimer(idleTimeout);
        http::async_read(m_socket, m_buffer, *m_parser, [self = shared_from_this()](SystemError ec, std::size_t) {
            self->m_timer.cancel();
            self->m_isReading = false;
            if (!ec)
                self->handle();
            else if (!isDisconnect(ec))
                self->refuse(ec);
        });
    }

    void close()
    {
        SystemError ignored;
        m_socket.close(ignored); // the socket is discarded, so an error has no effect
    }

    [[nodiscard]] bool isOpen() const { return m_socket.is_open(); }
    [[nodiscard]] bool isReading() const noexcept { return m_isReading; }
    [[nodiscard]] TimePoint readSince() const noexcept { return m_readSince; }

private:
    void startTimer(Duration timeout)
    {
        m_timer.expires_after(timeout);
        m_timer.async_wait([weak = weak_from_this()](SystemError ec) {
            if (const auto self = weak.lock(); self && !ec)
                self->close();
        });
    }

    void handle()
    {
        const auto request = m_parser->release();
        m_parser.reset();
        m_keepsAlive = request.keep_alive();
        if (request.method() != http::verb::get) {
            write(makeAnswer(http::status::method_not_allowed, {}, "text/plain"));
            return;
        }
        const std::string_view target(request.target().data(), request.target().size());
        m_handlers->onRequest(
            target, [self = shared_from_this()](HttpGetServer::Answer answer) { self->write(std::move(answer)); });
    }

    void refuse(SystemError ec)
    {
        m_keepsAlive = false;
        m_isRefused = true;
        if (m_handlers->onUnreadable)
            m_handlers->onUnreadable(describeReadError(ec));
        write(makeAnswer(statusForReadError(ec), {}, "text/plain"));
    }

    /// Drops what the peer sends until it closes the connection. A close with unread bytes would reset the connection,
    /// and the peer could lose the answer.
    void discardInput()
    {
        m_buffer.clear();
        m_socket.async_read_some(
            m_buffer.prepare(discardBytes), [self = shared_from_this()](SystemError ec, std::size_t n) {
                self->m_discardedBytes += n;
                if (!ec && self->m_discardedBytes < maxDiscardedBytes)
                    self->discardInput();
                else
                    self->close();
            });
    }

    void write(HttpGetServer::Answer answer)
    {
        m_answer = std::move(answer);
        m_answer.keep_alive(m_keepsAlive);
        m_answer.prepare_payload();
        if (m_isRefused)
            startTimer(refusalTimeout);
        else if (m_limitsWriteTime)
            startTimer(idleTimeout);
        http::async_write(m_socket, m_answer, [self = shared_from_this()](SystemError ec, std::size_t) {
            self->m_answer = {};
            if (!ec && self->m_isRefused) {
                SystemError ignored; // the peer may have closed already
                self->m_socket.shutdown(Tcp::socket::shutdown_send, ignored);
                self->discardInput(); // within the time limit of the refusal
                return;
            }
            self->m_timer.cancel();
            if (!ec && self->m_keepsAlive && self->isOpen())
                self->read();
        });
    }

    Tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::shared_ptr<HttpGetServer::Handlers> m_handlers;
    bool m_limitsWriteTime;
    boost::beast::flat_buffer m_buffer { maxUnparsedRequestBytes };
    std::optional<MessageParser<true, IgnoredBody>> m_parser;
    bool m_keepsAlive = false;
    bool m_isRefused = false; ///< the request could not be read
    std::size_t m_discardedBytes = 0; ///< read after the refusal
    bool m_isReading = false;
    TimePoint m_readSince {};
    HttpGetServer::Answer m_answer;
};

HttpGetServer::Answer makeAnswer(http::status status, std::string body, std::string_view contentType)
{
    HttpGetServer::Answer answer(status, 11);
    answer.set(http::field::content_type, std::string(contentType));
    answer.body() = std::move(body);
    return answer;
}

HttpGetServer::HttpGetServer(asio::io_context& context, Handler handler)
    : HttpGetServer(context, AsyncHandler([handler = std::move(handler)](std::string_view target, const Reply& reply) {
        reply(handler(target));
    }))
{
}

HttpGetServer::HttpGetServer(asio::io_context& context, AsyncHandler handler)
    : m_context(context)
    , m_handlers(std::make_shared<Handlers>(Handlers { .onRequest = std::move(handler), .onUnreadable = {} }))
{
}

Result<void> HttpGetServer::open(const std::string& address)
{
    BOOST_OUTCOME_TRY(acceptor, listenOn(m_context, address));
    m_acceptor.emplace(std::move(acceptor));
    accept();
    return outcome::success();
}

void HttpGetServer::close()
{
    SystemError ec;
    if (m_acceptor)
        m_acceptor->close(ec); // the acceptor is discarded, so an error has no effect
}

void HttpGetServer::makeRoom()
{
    std::erase_if(m_sessions, [](const auto& weak) {
        const auto session = weak.lock();
        return !session || !session->isOpen();
    });
    if (m_sessions.size() < m_maxConnections)
        return;
    std::shared_ptr<Session> victim;
    for (const auto& weak : m_sessions) {
        const auto it = weak.lock();
        const auto isBetter = [&] {
            return it->isReading() != victim->isReading() ? it->isReading() : it->readSince() < victim->readSince();
        };
        if (!victim || isBetter())
            victim = it;
    }
    ++m_closedConnections;
    victim->close();
}

void HttpGetServer::accept()
{
    m_acceptor->async_accept([this](SystemError ec, Tcp::socket socket) {
        if (ec == asio::error::operation_aborted)
            return;
        if (!ec) {
            const auto session = std::make_shared<Session>(std::move(socket), m_handlers, m_maxConnections != 0);
            if (m_maxConnections != 0) {
                makeRoom();
                m_sessions.push_back(session);
            }
            session->read();
            accept();
            return;
        }
        auto timer = std::make_shared<asio::steady_timer>(m_context, acceptRetryDelay);
        timer->async_wait([this, timer](SystemError) { accept(); });
    });
}

} // namespace arbutuscrank::node
