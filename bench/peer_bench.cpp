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
/// \brief Cost of the peer protocol on loopback: bytes on the wire, CPU time and round-trip latency. Bytes are those of
/// HTTP/2 without TCP and IP headers, which add about 40 bytes a packet.

namespace arbutuscrank {

namespace {

    // --- Two transports ----------------------------------------------------------------------------------------------

    /// Counts messages; answers a loan request and a forward at once.
    class BenchHandler : public PeerTransportHandler {
    public:
        PeerTransport* transport = nullptr;

        void onMessage(const ProcessId& from, PeerMessage message) override
        {
            if (const auto* loan = std::get_if<LoanRequest>(&message))
                transport->send(from.vm, LoanReply { loan->loanId, loan->quota, loan->tokens, 90 * oneToken, 0 });
            const std::lock_guard lock(m_mutex);
            ++m_received;
            m_arrived.notify_all();
        }
        void onPeerLost(const VmId& /*vm*/, const Error& /*error*/) override { }
        void onForward(const ProcessId& /*from*/, ForwardHead /*head*/, std::string /*body*/,
            std::shared_ptr<ForwardResponder> responder) override
        {
            // Does not block: the answer fits the buffer.
            const std::vector<std::uint8_t> answer(200, 'x');
            responder->start(200, { { "content-type", "application/json" } });
            if (responder->write(answer))
                responder->finish({ AttemptOutcome::Complete, false, {}, {} });
        }

        void waitFor(std::uint64_t count)
        {
            std::unique_lock lock(m_mutex);
            m_arrived.wait(lock, [&] { return m_received >= count; });
        }
        std::uint64_t received()
        {
            const std::lock_guard lock(m_mutex);
            return m_received;
        }

    private:
        std::mutex m_mutex;
        std::condition_variable m_arrived;
        std::uint64_t m_received = 0;
    };

    struct BenchNode {
        explicit BenchNode(const std::string& vm)
            : transport(makePeerTransport({ { vm, 0x19af0000000000ULL }, "127.0.0.1:0" }, handler))
        {
            handler.transport = transport.get();
            if (!transport->start())
                std::abort();
        }

        BenchHandler handler;
        std::unique_ptr<PeerTransport> transport;
    };

    struct Pair {
        BenchNode a { "caerdydd-a-01" };
        BenchNode b { "caerdydd-b-01" };
        PeerEndpoint toB { "caerdydd-b-01", b.transport->boundAddress() };

        Pair()
        {
            a.transport->setPeers({ toB });
            while (!a.transport->isConnected(toB.vm) || !b.transport->isConnected("caerdydd-a-01"))
                std::this_thread::yield();
        }
    };

    // --- Messages ----------------------------------------------------------------------------------------------------

    Member member(int n)
    {
        const auto number = std::to_string(n);
        return { { "caerdydd-a-" + number, 0x19af0000000000ULL + static_cast<unsigned>(n) }, "caerdydd", "caerdydd-a",
            "10.1.2." + number + ":8080", "10.1.2." + number + ":9090", false };
    }

    Heartbeat heartbeat(int relayed)
    {
        Heartbeat message { member(11), 123456, 250'000, { { "kitty", 18, 9, 0 }, { "partybox", 6, 1, 0 } }, {} };
        for (int n = 0; n < relayed; ++n)
            message.relayedMembers.push_back(member(20 + n));
        return message;
    }

    ManifestPush manifestPush()
    {
        ManifestPush message { { 123456, "change-0123456789", {} }, 250'000 };
        for (int n = 0; n < 20; ++n)
            message.manifest.parts["accounts/" + std::to_string(n)] = std::string(64, "0123456789abcdef"[n % 16]);
        return message;
    }

    LoanRequest loanRequest() { return { 123456, "account/shop-17", 5 * oneToken, { 123450 } }; }

    // --- Bytes on the wire and CPU time ------------------------------------------------------------------------------

    double cpuSeconds()
    {
        timespec time {};
        ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
    }

    /// Sends one message at a time from a to b, as daemons do with heartbeats. The CPU time covers both sides.
    void sendOne(benchmark::State& state, const PeerMessage& message, std::uint64_t messagesBack)
    {
        Pair pair;
        auto sent = pair.b.handler.received();
        auto back = pair.a.handler.received();
        const auto bytes = [&pair] {
            const auto [out, in] = pair.a.transport->controlBytes();
            return out + in;
        };
        pair.a.transport->send(pair.toB.vm, message); // fills the header tables
        pair.b.handler.waitFor(++sent);
        pair.a.handler.waitFor(back += messagesBack);
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        const auto bytesBefore = bytes();
        const auto cpuBefore = cpuSeconds();
        while (state.KeepRunning()) {
            pair.a.transport->send(pair.toB.vm, message);
            pair.b.handler.waitFor(++sent);
            pair.a.handler.waitFor(back += messagesBack);
        }
        const auto cpu = cpuSeconds() - cpuBefore;
        std::this_thread::sleep_for(std::chrono::milliseconds(20)); // the last answer
        const auto count = static_cast<double>(state.iterations());
        state.counters["cborBytes"] = static_cast<double>(encodeMessage(message).size());
        state.counters["wireBytes"] = static_cast<double>(bytes() - bytesBefore) / count;
        state.counters["cpuMicros"] = cpu * 1e6 / count;
    }

    void heartbeatAlone(benchmark::State& state) { sendOne(state, heartbeat(0), 0); }
    void heartbeatWithThreeMembers(benchmark::State& state) { sendOne(state, heartbeat(3), 0); }
    void manifestPushOf20Parts(benchmark::State& state) { sendOne(state, manifestPush(), 0); }
    void loanRequestAndReply(benchmark::State& state) { sendOne(state, loanRequest(), 1); }

    /// Messages sent as fast as the queue takes them share streams.
    void heartbeatsInBulk(benchmark::State& state)
    {
        Pair pair;
        const auto message = heartbeat(0);
        constexpr std::uint64_t bulk = 1000;
        const auto cpuBefore = cpuSeconds();
        std::uint64_t sent = 0;
        while (state.KeepRunning()) {
            for (std::uint64_t n = 0; n < bulk; ++n)
                pair.a.transport->send(pair.toB.vm, message);
            pair.b.handler.waitFor(sent += bulk);
        }
        state.counters["cpuMicrosPerMessage"] = (cpuSeconds() - cpuBefore) * 1e6 / static_cast<double>(sent);
    }

    void encodeHeartbeat(benchmark::State& state)
    {
        const PeerMessage message = heartbeat(0);
        while (state.KeepRunning())
            benchmark::DoNotOptimize(encodeMessage(message));
    }

    void decodeHeartbeat(benchmark::State& state)
    {
        const auto bytes = encodeMessage(heartbeat(0));
        while (state.KeepRunning())
            benchmark::DoNotOptimize(decodeMessage(bytes));
    }

    // --- Round trips -------------------------------------------------------------------------------------------------

    class Latencies {
    public:
        template <typename F> void measure(F&& roundTrip)
        {
            const auto start = std::chrono::steady_clock::now();
            roundTrip();
            const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - start;
            m_micros.push_back(took.count());
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
        Pair pair;
        Latencies latencies;
        std::uint64_t replies = 0;
        while (state.KeepRunning()) {
            latencies.measure([&] {
                pair.a.transport->send(pair.toB.vm, loanRequest());
                pair.a.handler.waitFor(++replies);
            });
        }
        latencies.report(state);
    }

    void forwardRoundTrip(benchmark::State& state)
    {
        Pair pair;
        Latencies latencies;
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
                const auto stream = pair.a.transport->forward(pair.toB, head, {}, std::move(callbacks));
                ends.wait(0);
            });
            if (ends != 1) {
                state.SkipWithError("the forward did not complete");
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
