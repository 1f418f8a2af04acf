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
/// \brief Fixtures of the peer library's tests: a transport on a loopback port whose handler records every event.

namespace arbutuscrank::test {

/// Timeout for every wait; a wait that times out fails the test.
inline constexpr std::chrono::seconds maxWait { 30 };

/// \brief Mutex and condition variable that guard state on whose changes a test waits.
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

/// \brief Polls a condition whose change is not signalled.
/// \returns false after \ref maxWait
[[nodiscard]] inline bool waitUntil(const std::function<bool()>& condition)
{
    const auto end = std::chrono::steady_clock::now() + maxWait;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return true;
}

/// \brief Records the events of a transport.
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
    std::vector<VmId> lostPeers;
    std::vector<Forward> forwards;

    void onMessage(const ProcessId& from, PeerMessage message) override
    {
        monitor.update([&] { messages.emplace_back(from, std::move(message)); });
    }
    void onPeerLost(const VmId& vm, const Error& /*error*/) override
    {
        monitor.update([&] { lostPeers.push_back(vm); });
    }
    void onForward(
        const ProcessId& from, ForwardHead head, std::string body, std::shared_ptr<ForwardResponder> responder) override
    {
        monitor.update([&] { forwards.push_back({ from, std::move(head), std::move(body), std::move(responder) }); });
    }

    /// \brief Waits for the forward with index \p n and moves it out of \ref forwards.
    [[nodiscard]] Forward waitForForward(std::size_t n = 0)
    {
        EXPECT_TRUE(monitor.wait([&] { return forwards.size() > n; })) << "forward " << n << " did not arrive";
        return std::move(forwards.at(n));
    }
    /// \returns whether at least \p n messages arrived within \ref maxWait
    [[nodiscard]] bool waitForMessages(std::size_t n)
    {
        return monitor.wait([&] { return messages.size() >= n; });
    }
};

/// \brief A started transport and its handler, by default on a port that the system picks.
class Node {
public:
    explicit Node(std::string vm, Incarnation incarnation = 1, std::string listen = "127.0.0.1:0",
        const std::function<void(PeerTransportSettings&)>& adjustSettings = {})
        : m_vm(std::move(vm))
    {
        PeerTransportSettings settings;
        settings.self = { m_vm, incarnation };
        settings.listenAddress = std::move(listen);
        settings.reconnectInterval = std::chrono::milliseconds(50);
        if (adjustSettings)
            adjustSettings(settings);
        transport = makePeerTransport(std::move(settings), handler);
        const auto started = transport->start();
        EXPECT_TRUE(started) << (started ? "" : describe(started.error()));
    }

    [[nodiscard]] PeerEndpoint endpoint() const { return { m_vm, transport->boundAddress() }; }
    /// \brief Makes another node the only peer and waits until messages to it can be queued.
    void connectTo(const Node& other)
    {
        transport->setPeers({ other.endpoint() });
        EXPECT_TRUE(waitUntil([&] { return transport->isConnected(other.m_vm); })) << "no session to " << other.m_vm;
    }

    RecordingHandler handler;
    std::unique_ptr<PeerTransport> transport;

private:
    std::string m_vm;
};

/// \brief Sends one forward and records its callbacks.
///
/// The callbacks write to the probe until the forward has ended, so the destructor waits for its result.
class ForwardProbe {
public:
    ForwardProbe() = default;
    ForwardProbe(const ForwardProbe&) = delete;
    ForwardProbe& operator=(const ForwardProbe&) = delete;
    ~ForwardProbe()
    {
        if (stream)
            static_cast<void>(waitForResult());
    }

    Monitor monitor;
    int status = 0;
    HeaderList headers;
    std::string body;
    std::vector<ForwardResult> results;
    bool wasCalledAfterEnd = false;
    std::shared_ptr<ForwardStream> stream;

    /// \param consumesAtOnce whether flow-control credit is returned as soon as bytes arrive
    void start(PeerTransport& transport, const PeerEndpoint& owner, ForwardHead head, std::string requestBody = {},
        bool consumesAtOnce = true)
    {
        ForwardCallbacks callbacks;
        callbacks.onAnswerHead = [this](int code, HeaderList list) {
            monitor.update([&] {
                wasCalledAfterEnd = wasCalledAfterEnd || !results.empty();
                status = code;
                headers = std::move(list);
            });
        };
        callbacks.onAnswerBody = [this, consumesAtOnce](std::span<const std::uint8_t> bytes) {
            monitor.update([&] {
                wasCalledAfterEnd = wasCalledAfterEnd || !results.empty();
                body.append(reinterpret_cast<const char*>(bytes.data()), bytes.size());
                if (consumesAtOnce && stream)
                    stream->consume(bytes.size());
                else if (consumesAtOnce)
                    m_earlyBytes += bytes.size();
            });
        };
        callbacks.onEnd
            = [this](ForwardResult result) { monitor.update([&] { results.push_back(std::move(result)); }); };
        auto opened = transport.forward(owner, std::move(head), std::move(requestBody), std::move(callbacks));
        monitor.update([&] {
            stream = std::move(opened);
            stream->consume(m_earlyBytes);
        });
    }

    /// \brief Waits for the result, and checks that there is only one and that it is the last callback.
    [[nodiscard]] ForwardResult waitForResult()
    {
        EXPECT_TRUE(monitor.wait([&] { return !results.empty(); })) << "the forward did not end";
        EXPECT_FALSE(wasCalledAfterEnd);
        EXPECT_EQ(results.size(), 1U);
        return results.empty() ? ForwardResult {} : results.front();
    }

private:
    std::size_t m_earlyBytes = 0; ///< bytes that arrived before \ref stream was set
};

/// \brief Builds the head of a non-idempotent request of account shop to service kitty.
[[nodiscard]] inline ForwardHead makePostHead(std::string path)
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

[[nodiscard]] inline std::span<const std::uint8_t> toBytes(std::string_view text)
{
    return { reinterpret_cast<const std::uint8_t*>(text.data()), text.size() };
}

} // namespace arbutuscrank::test
