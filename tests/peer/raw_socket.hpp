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
/// \brief Plain sockets that play a broken peer or a broken network.

namespace arbutuscrank::test {

/// \brief A blocking TCP socket on loopback.
class RawSocket {
public:
    RawSocket()
        : m_fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
    }
    explicit RawSocket(int fd)
        : m_fd(fd)
    {
    }
    RawSocket(RawSocket&& other) noexcept
        : m_fd(std::exchange(other.m_fd, -1))
    {
    }
    RawSocket& operator=(RawSocket&&) = delete;
    ~RawSocket() { close(); }

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
    /// \brief Reads until the other side closes. \returns false if it does not within 30 s
    [[nodiscard]] bool closedByPeer() const
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

/// \brief Relays connections to an address; can hold them up or break them.
class GatedProxy {
public:
    explicit GatedProxy(std::string target)
        : m_target(std::move(target))
        , m_address(m_listener.listen())
        , m_thread([this] { run(); })
    {
    }
    GatedProxy(const GatedProxy&) = delete;
    GatedProxy& operator=(const GatedProxy&) = delete;
    ~GatedProxy()
    {
        m_stop = true;
        m_thread.join();
    }

    [[nodiscard]] const std::string& address() const noexcept { return m_address; }
    /// \brief Relays nothing until \ref release; bytes stay in the sockets' buffers.
    void hold()
    {
        m_held = true;
        while (!m_holding)
            std::this_thread::yield();
    }
    void release()
    {
        m_held = false;
        while (m_holding)
            std::this_thread::yield();
    }
    /// \brief Closes every connection.
    void breakAll()
    {
        m_break = true;
        while (m_break)
            std::this_thread::yield();
    }

private:
    void run()
    {
        std::vector<std::pair<RawSocket, RawSocket>> pairs;
        while (!m_stop) {
            if (m_break) {
                pairs.clear();
                m_break = false;
            }
            m_holding = m_held.load();
            std::vector<pollfd> fds { { m_listener.fd(), POLLIN, 0 } };
            if (!m_holding) {
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
                RawSocket accepted(::accept(m_listener.fd(), nullptr, nullptr));
                RawSocket out;
                out.connect(m_target);
                pairs.emplace_back(std::move(accepted), std::move(out));
            }
        }
    }
    /// Returns false after the end of the stream, which is passed on.
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
    RawSocket m_listener;
    std::string m_address;
    std::atomic<bool> m_stop = false;
    std::atomic<bool> m_held = false;
    std::atomic<bool> m_holding = false; ///< the thread has seen m_held
    std::atomic<bool> m_break = false;
    std::thread m_thread;
};

/// \brief Entry a, owner b, and a proxy between them.
class ProxiedPair : public testing::Test {
protected:
    void connectThroughProxy()
    {
        a.transport->setPeers({ throughProxy });
        EXPECT_TRUE(eventually([&] { return a.transport->isConnected("b"); }));
    }

    ForwardProbe probe;
    std::atomic<int> cancelled = 0;
    Node a { "a" };
    Node b { "b" };
    GatedProxy proxy { b.transport->boundAddress() };
    PeerEndpoint throughProxy { "b", proxy.address() };
};

} // namespace arbutuscrank::test
