#include "node/http_get_server.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace arbutuscrank::node {

namespace {

    /// Time after which an idle connection is closed.
    constexpr Duration idleTimeout = std::chrono::seconds(10);
    /// A connection whose peer acknowledges no data for this time counts as broken.
    constexpr Duration peerAckTimeout = std::chrono::seconds(3);
    /// Delay before a failed accept is retried, so that a shortage of file descriptors does not cause a busy loop.
    constexpr Duration acceptRetryDelay = std::chrono::milliseconds(50);

    class Session : public std::enable_shared_from_this<Session> {
    public:
        Session(Tcp::socket socket, std::shared_ptr<HttpGetServer::AsyncHandler> handler)
            : m_socket(std::move(socket))
            , m_timer(m_socket.get_executor())
            , m_handler(std::move(handler))
        {
            setSocketOptions(m_socket, peerAckTimeout);
        }

        void read()
        {
            m_request = {};
            m_timer.expires_after(idleTimeout);
            m_timer.async_wait([weak = weak_from_this()](SystemError ec) {
                SystemError ignored;
                if (const auto self = weak.lock(); self && !ec)
                    self->m_socket.close(ignored); // the socket is discarded, so an error has no effect
            });
            http::async_read(m_socket, m_buffer, m_request, [self = shared_from_this()](SystemError ec, std::size_t) {
                self->m_timer.cancel();
                if (!ec)
                    self->handle();
            });
        }

    private:
        void handle()
        {
            if (m_request.method() != http::verb::get) {
                write(makeAnswer(http::status::method_not_allowed, {}, "text/plain"));
                return;
            }
            const std::string_view target(m_request.target().data(), m_request.target().size());
            (*m_handler)(
                target, [self = shared_from_this()](HttpGetServer::Answer answer) { self->write(std::move(answer)); });
        }

        void write(HttpGetServer::Answer answer)
        {
            m_answer = std::move(answer);
            m_answer.keep_alive(m_request.keep_alive());
            m_answer.prepare_payload();
            http::async_write(m_socket, m_answer, [self = shared_from_this()](SystemError ec, std::size_t) {
                if (!ec && self->m_request.keep_alive())
                    self->read();
            });
        }

        Tcp::socket m_socket;
        asio::steady_timer m_timer;
        std::shared_ptr<HttpGetServer::AsyncHandler> m_handler;
        boost::beast::flat_buffer m_buffer { maxUnparsedBytes };
        http::request<http::string_body> m_request;
        HttpGetServer::Answer m_answer;
    };

} // namespace

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
    , m_handler(std::make_shared<AsyncHandler>(std::move(handler)))
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

void HttpGetServer::accept()
{
    m_acceptor->async_accept([this](SystemError ec, Tcp::socket socket) {
        if (ec == asio::error::operation_aborted)
            return;
        if (!ec) {
            std::make_shared<Session>(std::move(socket), m_handler)->read();
            accept();
            return;
        }
        auto timer = std::make_shared<asio::steady_timer>(m_context, acceptRetryDelay);
        timer->async_wait([this, timer](SystemError) { accept(); });
    });
}

} // namespace arbutuscrank::node
