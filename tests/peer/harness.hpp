#pragma once

#include <arbutuscrank/peer.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

/// \file
/// \brief A transport on a loopback port with a recording handler, for the tests of the peer library.

namespace arbutuscrank::test {

/// Longest wait for a condition; a wait that takes longer fails the test.
inline constexpr std::chrono::seconds maxWait { 30 };

/// \brief State under a mutex whose changes can be waited for.
class Monitor {
public:
    void update(const std::function<void()>& change)
    {
        const std::lock_guard lock(m_mutex);
        change();
        m_changed.notify_all();
    }
    [[nodiscard]] bool wait(const std::function<bool()>& condition)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, maxWait, condition);
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
};

/// \brief Polls a condition that nothing signals.
[[nodiscard]] inline bool eventually(const std::function<bool()>& condition)
{
    const auto end = std::chrono::steady_clock::now() + maxWait;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return true;
}

/// \brief Records what a transport tells.
class RecordingHandler : public PeerTransportHandler {
public:
    struct Forward {
        ProcessId from;
        ForwardHead head;
        std::string body;
        std::shared_ptr<ForwardResponder> responder;
    };

    Monitor monitor;
    std::vector<std::pair<ProcessId, PeerMessage>> messages;
    std::vector<VmId> lost;
    std::vector<Forward> forwards;

    void onMessage(const ProcessId& from, PeerMessage message) override
    {
        monitor.update([&] { messages.emplace_back(from, std::move(message)); });
    }
    void onPeerLost(const VmId& vm, const Error& /*error*/) override
    {
        monitor.update([&] { lost.push_back(vm); });
    }
    void onForward(
        const ProcessId& from, ForwardHead head, std::string body, std::shared_ptr<ForwardResponder> responder) override
    {
        monitor.update([&] { forwards.push_back({ from, std::move(head), std::move(body), std::move(responder) }); });
    }

    /// \brief Waits for the forward with this number, from 0.
    [[nodiscard]] Forward takeForward(std::size_t n = 0)
    {
        EXPECT_TRUE(monitor.wait([&] { return forwards.size() > n; })) << "forward " << n << " did not arrive";
        return std::move(forwards.at(n));
    }
    [[nodiscard]] bool waitForMessages(std::size_t n)
    {
        return monitor.wait([&] { return messages.size() >= n; });
    }
};

/// \brief A transport on a port that the system chose.
class Node {
public:
    explicit Node(std::string vm, Incarnation incarnation = 1, std::string listen = "127.0.0.1:0",
        const std::function<void(PeerTransportSettings&)>& change = {})
        : m_vm(std::move(vm))
    {
        PeerTransportSettings settings;
        settings.self = { m_vm, incarnation };
        settings.listenAddress = std::move(listen);
        settings.reconnectInterval = std::chrono::milliseconds(50);
        if (change)
            change(settings);
        transport = makePeerTransport(std::move(settings), handler);
        const auto started = transport->start();
        EXPECT_TRUE(started) << (started ? "" : describe(started.error()));
    }

    [[nodiscard]] PeerEndpoint endpoint() const { return { m_vm, transport->boundAddress() }; }
    /// \brief Keeps a session to another node and waits until it can be used.
    void connectTo(const Node& other)
    {
        transport->setPeers({ other.endpoint() });
        EXPECT_TRUE(eventually([&] { return transport->isConnected(other.m_vm); })) << "no session to " << other.m_vm;
    }

    RecordingHandler handler;
    std::unique_ptr<PeerTransport> transport;

private:
    std::string m_vm;
};

/// \brief Client side of one forward, with everything it was told.
///
/// The callbacks write to the probe until the forward has ended, so its destructor waits for the end.
class ForwardProbe {
public:
    ForwardProbe() = default;
    ForwardProbe(const ForwardProbe&) = delete;
    ForwardProbe& operator=(const ForwardProbe&) = delete;
    ~ForwardProbe()
    {
        if (stream)
            static_cast<void>(end());
    }

    Monitor monitor;
    int status = 0;
    HeaderList headers;
    std::string body;
    std::vector<ForwardResult> ends;
    bool calledAfterEnd = false;
    std::shared_ptr<ForwardStream> stream;

    /// \param consumeAtOnce whether the window is opened as soon as bytes arrive
    void start(PeerTransport& transport, const PeerEndpoint& owner, ForwardHead head, std::string requestBody = {},
        bool consumeAtOnce = true)
    {
        ForwardCallbacks callbacks;
        callbacks.onAnswerHead = [this](int code, HeaderList list) {
            monitor.update([&] {
                calledAfterEnd = calledAfterEnd || !ends.empty();
                status = code;
                headers = std::move(list);
            });
        };
        callbacks.onAnswerBody = [this, consumeAtOnce](std::span<const std::uint8_t> bytes) {
            monitor.update([&] {
                calledAfterEnd = calledAfterEnd || !ends.empty();
                body.append(reinterpret_cast<const char*>(bytes.data()), bytes.size());
                if (consumeAtOnce && stream)
                    stream->consume(bytes.size());
                else if (consumeAtOnce)
                    m_early += bytes.size();
            });
        };
        callbacks.onEnd = [this](ForwardResult end) { monitor.update([&] { ends.push_back(std::move(end)); }); };
        auto opened = transport.forward(owner, std::move(head), std::move(requestBody), std::move(callbacks));
        monitor.update([&] {
            stream = std::move(opened);
            stream->consume(m_early);
        });
    }

    /// \brief Waits for the end.
    [[nodiscard]] ForwardResult end()
    {
        EXPECT_TRUE(monitor.wait([&] { return !ends.empty(); })) << "the forward did not end";
        EXPECT_FALSE(calledAfterEnd);
        EXPECT_EQ(ends.size(), 1U);
        return ends.empty() ? ForwardResult {} : ends.front();
    }

private:
    std::size_t m_early = 0; ///< bytes that came before the stream was known here
};

[[nodiscard]] inline ForwardHead postTo(std::string path)
{
    ForwardHead head;
    head.service = "kitty";
    head.account = "shop";
    head.method = "POST";
    head.path = std::move(path);
    head.idempotent = false;
    head.timeout = std::chrono::seconds(5);
    return head;
}

[[nodiscard]] inline std::span<const std::uint8_t> bytesOf(std::string_view text)
{
    return { reinterpret_cast<const std::uint8_t*>(text.data()), text.size() };
}

} // namespace arbutuscrank::test
