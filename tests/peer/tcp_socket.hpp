#pragma once

#include "peer/address.hpp"
#include "peer/harness.hpp"

#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <poll.h>
#include <unistd.h>

/// \file
/// \brief Blocking TCP sockets and a proxy that simulate a faulty peer or network.

namespace arbutuscrank::test {

/// \brief A blocking TCP socket on loopback.
class TcpSocket {
public:
    TcpSocket()
        : m_fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
    }
    explicit TcpSocket(int fd)
        : m_fd(fd)
    {
    }
    TcpSocket(TcpSocket&& other) noexcept
        : m_fd(std::exchange(other.m_fd, -1))
    {
    }
    TcpSocket& operator=(TcpSocket&&) = delete;
    ~TcpSocket() { close(); }

    void connect(const std::string& address) const
    {
        const auto parsed = peer::parseAddress(address);
        EXPECT_EQ(::connect(m_fd, parsed.value().data(), parsed.value().length), 0);
    }
    /// \returns the address on which it listens
    [[nodiscard]] std::string listen() const
    {
        auto address = peer::parseAddress("127.0.0.1:0").value();
        EXPECT_EQ(::bind(m_fd, address.data(), address.length), 0);
        EXPECT_EQ(::listen(m_fd, 16), 0);
        ::getsockname(m_fd, address.data(), &address.length);
        return peer::formatAddress(address);
    }
    [[nodiscard]] int fd() const noexcept { return m_fd; }
    void close()
    {
        if (m_fd >= 0)
            ::close(std::exchange(m_fd, -1));
    }
    void send(std::string_view bytes) const { (void)::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL); }
    /// \brief Reads until the peer closes the connection.
    /// \returns false if nothing is received for 30 s
    [[nodiscard]] bool waitForPeerClose() const
    {
        const timeval timeout { 30, 0 };
        ::setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
        std::array<char, 4096> buf {};
        ssize_t n = 0;
        do {
            n = ::recv(m_fd, buf.data(), buf.size(), 0);
        } while (n > 0);
        return n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    }

private:
    int m_fd;
};

/// \brief TCP proxy that relays connections to an address and can pause or close them.
class PausableProxy {
public:
    explicit PausableProxy(std::string target)
        : m_target(std::move(target))
        , m_address(m_listener.listen())
        , m_thread([this] { run(); })
    {
    }
    PausableProxy(const PausableProxy&) = delete;
    PausableProxy& operator=(const PausableProxy&) = delete;
    ~PausableProxy()
    {
        m_isStopRequested = true;
        m_thread.join();
    }

    [[nodiscard]] const std::string& address() const noexcept { return m_address; }
    /// \brief Relays nothing until \ref resume; bytes stay in the socket buffers. Returns once relaying has stopped.
    void pause()
    {
        m_isPauseRequested = true;
        while (!m_isPaused)
            std::this_thread::yield();
    }
    void resume()
    {
        m_isPauseRequested = false;
        while (m_isPaused)
            std::this_thread::yield();
    }
    /// \brief Closes every connection.
    void closeAllConnections()
    {
        m_isCloseRequested = true;
        while (m_isCloseRequested)
            std::this_thread::yield();
    }

private:
    void run()
    {
        std::vector<std::pair<TcpSocket, TcpSocket>> pairs;
        while (!m_isStopRequested) {
            if (m_isCloseRequested) {
                pairs.clear();
                m_isCloseRequested = false;
            }
            m_isPaused = m_isPauseRequested.load();
            std::vector<pollfd> fds { { m_listener.fd(), POLLIN, 0 } };
            if (!m_isPaused) {
                for (const auto& [a, b] : pairs) {
                    fds.push_back({ a.fd(), POLLIN, 0 });
                    fds.push_back({ b.fd(), POLLIN, 0 });
                }
            }
            const int pollMillis = 2;
            ::poll(fds.data(), fds.size(), pollMillis);
            for (std::size_t n = 1; n < fds.size(); ++n) {
                auto& [a, b] = pairs[(n - 1) / 2];
                if (fds[n].revents != 0 && !relay(fds[n].fd, n % 2 == 1 ? b.fd() : a.fd()))
                    fds[n].fd = -1;
            }
            if ((fds[0].revents & POLLIN) != 0) {
                TcpSocket accepted(::accept(m_listener.fd(), nullptr, nullptr));
                TcpSocket out;
                out.connect(m_target);
                pairs.emplace_back(std::move(accepted), std::move(out));
            }
        }
    }
    /// Relays one read. Returns false at the end of the stream, after shutting down the other connection for writing.
    static bool relay(int from, int to)
    {
        std::array<char, 65536> buf; // NOLINT(*-member-init)
        const auto n = ::recv(from, buf.data(), buf.size(), 0);
        if (n > 0)
            return ::send(to, buf.data(), static_cast<std::size_t>(n), MSG_NOSIGNAL) == n;
        ::shutdown(to, SHUT_WR);
        return false;
    }

    std::string m_target;
    TcpSocket m_listener;
    std::string m_address;
    std::atomic<bool> m_isStopRequested = false;
    std::atomic<bool> m_isPauseRequested = false;
    std::atomic<bool> m_isPaused = false; ///< set by the thread once it observes m_isPauseRequested
    std::atomic<bool> m_isCloseRequested = false;
    std::thread m_thread;
};

/// \brief Forwarding entry a, owner b, and a proxy in front of b.
class ProxiedPair : public testing::Test {
protected:
    void connectThroughProxy()
    {
        a.transport->setPeers({ throughProxy });
        EXPECT_TRUE(waitUntil([&] { return a.transport->isConnected("b"); }));
    }

    ForwardProbe probe;
    std::atomic<int> cancelCount = 0;
    Node a { "a" };
    Node b { "b" };
    PausableProxy proxy { b.transport->boundAddress() };
    PeerEndpoint throughProxy { "b", proxy.address() };
};

} // namespace arbutuscrank::test
