#include <arbutuscrank/peer.hpp>

#include <benchmark/benchmark.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <ctime>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// \file
/// \brief Cost of the peer protocol on loopback: bytes on the wire, CPU time and round-trip latency. Byte counts cover
/// HTTP/2 only; TCP and IP headers add about 40 bytes for each packet.

namespace arbutuscrank {

namespace {

    // --- Two transports ----------------------------------------------------------------------------------------------

    /// Counts messages, and answers loan requests and forwarded requests immediately.
    class BenchmarkHandler : public PeerTransportHandler {
    public:
        PeerTransport* transport = nullptr;

        void onMessage(const ProcessId& from, PeerMessage message) override
        {
            if (const auto* loan = std::get_if<LoanRequest>(&message))
                transport->send(from.vm, LoanReply { loan->loanId, loan->quota, loan->tokens, 90 * oneToken, 0 });
            const std::lock_guard lock(m_mutex);
            ++m_receivedCount;
            m_messageArrived.notify_all();
        }
        void onPeerLost(const VmId& /*vm*/, const Error& /*error*/) override { }
        void onForward(const ProcessId& /*from*/, ForwardHead /*head*/, std::string /*body*/,
            std::shared_ptr<ForwardResponder> responder) override
        {
            // The write does not block, because the answer fits into the buffer of the transport.
            const std::vector<std::uint8_t> answer(200, 'x');
            responder->start(200, { { "content-type", "application/json" } });
            if (responder->write(answer))
                responder->finish({ AttemptOutcome::Complete, false, {}, {} });
        }

        void waitFor(std::uint64_t count)
        {
            std::unique_lock lock(m_mutex);
            m_messageArrived.wait(lock, [&] { return m_receivedCount >= count; });
        }
        std::uint64_t receivedCount()
        {
            const std::lock_guard lock(m_mutex);
            return m_receivedCount;
        }

    private:
        std::mutex m_mutex;
        std::condition_variable m_messageArrived;
        std::uint64_t m_receivedCount = 0;
    };

    struct BenchmarkNode {
        explicit BenchmarkNode(const std::string& vm)
            : transport(makePeerTransport({ { vm, 0x19af0000000000ULL }, "127.0.0.1:0" }, handler))
        {
            handler.transport = transport.get();
            if (!transport->start())
                std::abort();
        }

        BenchmarkHandler handler;
        std::unique_ptr<PeerTransport> transport;
    };

    struct ConnectedPair {
        BenchmarkNode a { "caerdydd-a-01" };
        BenchmarkNode b { "caerdydd-b-01" };
        PeerEndpoint endpointOfB { "caerdydd-b-01", b.transport->boundAddress() };

        ConnectedPair()
        {
            a.transport->setPeers({ endpointOfB });
            while (!a.transport->isConnected(endpointOfB.vm) || !b.transport->isConnected("caerdydd-a-01"))
                std::this_thread::yield();
        }
    };

    // --- Messages ----------------------------------------------------------------------------------------------------

    Member makeMember(int n)
    {
        const auto number = std::to_string(n);
        return { { "caerdydd-a-" + number, 0x19af0000000000ULL + static_cast<unsigned>(n) }, "caerdydd", "caerdydd-a",
            "10.1.2." + number + ":8080", "10.1.2." + number + ":9090", false };
    }

    Heartbeat makeHeartbeat(int relayed)
    {
        Heartbeat message { makeMember(11), 123456, 250'000, { { "kitty", 18, 9, 0 }, { "partybox", 6, 1, 0 } }, {} };
        for (int n = 0; n < relayed; ++n)
            message.relayedMembers.push_back(makeMember(20 + n));
        return message;
    }

    ManifestPush makeManifestPush()
    {
        ManifestPush message { { 123456, "change-0123456789", {} }, 250'000 };
        for (int n = 0; n < 20; ++n)
            message.manifest.parts["accounts/" + std::to_string(n)] = std::string(64, "0123456789abcdef"[n % 16]);
        return message;
    }

    LoanRequest makeLoanRequest() { return { 123456, "account/shop-17", 5 * oneToken, { 123450 } }; }

    // --- Bytes on the wire and CPU time ------------------------------------------------------------------------------

    double cpuSeconds()
    {
        timespec time {};
        ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
    }

    /// Sends messages from a to b, each after the one before has arrived, as daemons do with heartbeats. The CPU time
    /// is that of both transports.
    void sendOneByOne(benchmark::State& state, const PeerMessage& message, std::uint64_t repliesPerMessage)
    {
        ConnectedPair pair;
        auto sent = pair.b.handler.receivedCount();
        auto replyCount = pair.a.handler.receivedCount();
        const auto bytes = [&pair] {
            const auto [out, in] = pair.a.transport->controlBytes();
            return out + in;
        };
        pair.a.transport->send(pair.endpointOfB.vm, message); // fills the header compression tables
        pair.b.handler.waitFor(++sent);
        pair.a.handler.waitFor(replyCount += repliesPerMessage);
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        const auto bytesBefore = bytes();
        const auto cpuBefore = cpuSeconds();
        while (state.KeepRunning()) {
            pair.a.transport->send(pair.endpointOfB.vm, message);
            pair.b.handler.waitFor(++sent);
            pair.a.handler.waitFor(replyCount += repliesPerMessage);
        }
        const auto cpu = cpuSeconds() - cpuBefore;
        std::this_thread::sleep_for(std::chrono::milliseconds(20)); // until the last HTTP/2 answer has arrived
        const auto count = static_cast<double>(state.iterations());
        state.counters["cborBytes"] = static_cast<double>(encodeMessage(message).size());
        state.counters["wireBytes"] = static_cast<double>(bytes() - bytesBefore) / count;
        state.counters["cpuMicros"] = cpu * 1e6 / count;
    }

    void heartbeatAlone(benchmark::State& state) { sendOneByOne(state, makeHeartbeat(0), 0); }
    void heartbeatWithThreeMembers(benchmark::State& state) { sendOneByOne(state, makeHeartbeat(3), 0); }
    void manifestPushOf20Parts(benchmark::State& state) { sendOneByOne(state, makeManifestPush(), 0); }
    void loanRequestAndReply(benchmark::State& state) { sendOneByOne(state, makeLoanRequest(), 1); }

    /// Sends messages in batches, without waiting for each: the transport puts messages that queue up on shared
    /// streams.
    void heartbeatsInBulk(benchmark::State& state)
    {
        ConnectedPair pair;
        const auto message = makeHeartbeat(0);
        constexpr std::uint64_t messagesPerBatch = 1000;
        const auto cpuBefore = cpuSeconds();
        std::uint64_t sent = 0;
        while (state.KeepRunning()) {
            for (std::uint64_t n = 0; n < messagesPerBatch; ++n)
                pair.a.transport->send(pair.endpointOfB.vm, message);
            pair.b.handler.waitFor(sent += messagesPerBatch);
        }
        state.counters["cpuMicrosPerMessage"] = (cpuSeconds() - cpuBefore) * 1e6 / static_cast<double>(sent);
    }

    void encodeHeartbeat(benchmark::State& state)
    {
        const PeerMessage message = makeHeartbeat(0);
        while (state.KeepRunning())
            benchmark::DoNotOptimize(encodeMessage(message));
    }

    void decodeHeartbeat(benchmark::State& state)
    {
        const auto bytes = encodeMessage(makeHeartbeat(0));
        while (state.KeepRunning())
            benchmark::DoNotOptimize(decodeMessage(bytes));
    }

    // --- Round trips -------------------------------------------------------------------------------------------------

    class LatencyRecorder {
    public:
        template <typename F> void measure(F&& roundTrip)
        {
            const auto start = std::chrono::steady_clock::now();
            roundTrip();
            const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - start;
            m_micros.push_back(elapsed.count());
        }
        void report(benchmark::State& state)
        {
            std::sort(m_micros.begin(), m_micros.end());
            state.counters["p50Micros"] = m_micros[m_micros.size() / 2];
            state.counters["p99Micros"] = m_micros[m_micros.size() * 99 / 100];
        }

    private:
        std::vector<double> m_micros;
    };

    void messageRoundTrip(benchmark::State& state)
    {
        ConnectedPair pair;
        LatencyRecorder latencies;
        std::uint64_t replies = 0;
        while (state.KeepRunning()) {
            latencies.measure([&] {
                pair.a.transport->send(pair.endpointOfB.vm, makeLoanRequest());
                pair.a.handler.waitFor(++replies);
            });
        }
        latencies.report(state);
    }

    void forwardRoundTrip(benchmark::State& state)
    {
        ConnectedPair pair;
        LatencyRecorder latencies;
        ForwardHead head { "kitty", "shop-17", "GET", "/balances/17", true, std::chrono::seconds(2),
            { { "accept", "application/json" }, { "user-agent", "bench" } } };
        std::atomic<int> ends = 0;
        while (state.KeepRunning()) {
            latencies.measure([&] {
                ends = 0;
                ForwardCallbacks callbacks;
                callbacks.onEnd = [&ends](const ForwardResult& end) {
                    ends = end.outcome == AttemptOutcome::Complete ? 1 : 2;
                    ends.notify_one();
                };
                const auto stream = pair.a.transport->forward(pair.endpointOfB, head, {}, std::move(callbacks));
                ends.wait(0);
            });
            if (ends != 1) {
                state.SkipWithError("the forwarded request did not complete");
                break;
            }
        }
        latencies.report(state);
    }

    BENCHMARK(heartbeatAlone)->Iterations(5000);
    BENCHMARK(heartbeatWithThreeMembers)->Iterations(5000);
    BENCHMARK(manifestPushOf20Parts)->Iterations(5000);
    BENCHMARK(loanRequestAndReply)->Iterations(5000);
    BENCHMARK(heartbeatsInBulk)->Iterations(50);
    BENCHMARK(encodeHeartbeat);
    BENCHMARK(decodeHeartbeat);
    BENCHMARK(messageRoundTrip)->Iterations(20000);
    BENCHMARK(forwardRoundTrip)->Iterations(20000);

} // namespace

} // namespace arbutuscrank

BENCHMARK_MAIN();
