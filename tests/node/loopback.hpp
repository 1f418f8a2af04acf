#pragma once

#include "node/network.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <stdexcept>
#include <string>
#include <thread>
#include <unistd.h>

/// \file
/// \brief Loopback server whose connections a test scripts, and helpers for sockets and the event loop.

namespace arbutuscrank::node::test {

/// \brief "ip:port" on loopback on which nothing listens. Each call of a process returns another port. The ports are
/// below those that the system gives to outgoing connections, which could take one before the test listens on it.
inline std::string freeAddress()
{
    constexpr unsigned firstPort = 10000;
    constexpr unsigned portCount = 20000;
    static unsigned next = static_cast<unsigned>(::getpid()) * 64;
    for (unsigned tries = 0; tries < portCount; ++tries) {
        const auto port = static_cast<std::uint16_t>(firstPort + next++ % portCount);
        asio::io_context context;
        Tcp::acceptor acceptor(context, Tcp::v4());
        SystemError ec;
        acceptor.bind({ asio::ip::address_v4::loopback(), port }, ec);
        if (!ec)
            return "127.0.0.1:" + std::to_string(port);
    }
    throw std::runtime_error("no port is free on loopback");
}

/// \brief Accepts connections one after the other and runs a script on each. The script runs on the thread of the
/// server and gets the number of the connection, counted from 0.
class ScriptedServer {
public:
    using Script = std::function<void(Tcp::socket&, int connection)>;

    explicit ScriptedServer(Script script)
        : m_acceptor(m_context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , m_thread([this, run = std::move(script)] { serve(run); })
    {
    }
    ~ScriptedServer()
    {
        m_isStopping = true;
        SystemError ec;
        Tcp::socket wakeSocket(m_context);
        wakeSocket.connect(endpoint(), ec); // makes accept() return
        m_thread.join();
    }
    ScriptedServer(const ScriptedServer&) = delete;
    ScriptedServer& operator=(const ScriptedServer&) = delete;

    [[nodiscard]] Tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }
    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(endpoint().port()); }

private:
    void serve(const Script& script)
    {
        for (int n = 0;; ++n) {
            SystemError ec;
            Tcp::socket socket(m_context);
            m_acceptor.accept(socket, ec);
            if (ec || m_isStopping)
                return;
            script(socket, n);
        }
    }

    asio::io_context m_context;
    Tcp::acceptor m_acceptor;
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

/// \brief Reads one request without a body. \returns its text, or the bytes received before the connection ended
inline std::string readRequest(Tcp::socket& socket)
{
    std::string text;
    SystemError ec;
    asio::read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n", ec);
    return text;
}

inline void writeText(Tcp::socket& socket, const std::string& text)
{
    SystemError ec;
    asio::write(socket, asio::buffer(text), ec);
}

/// \brief Runs the event loop until a condition holds. \returns false if it does not hold after ten seconds
inline bool runUntil(asio::io_context& context, const std::function<bool()>& condition)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!condition() && std::chrono::steady_clock::now() < end) {
        context.restart();
        context.run_for(std::chrono::milliseconds(5));
    }
    return condition();
}

} // namespace arbutuscrank::node::test
