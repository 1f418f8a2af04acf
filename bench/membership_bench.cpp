#include <fakes/fleet.hpp>

#include <benchmark/benchmark.h>
#include <nlohmann/json.hpp>

#include <array>
#include <chrono>

/// \file
/// \brief Cost of membership and configuration for one daemon: messages, bytes and reducer time per second.
///
/// One real daemon is fed what a fleet of the given size sends it in a steady state; no daemon owns targets, so that
/// heartbeats carry no loads. Bytes are those of an estimate of the wire format: CBOR with the field names of the
/// messages, or with arrays of values in their place ("array"), and the framing of one HTTP/2 request for each message.
/// Headers of TCP and IP are left out.

using namespace arbutuscrank;
using namespace std::chrono_literals;

namespace {

// --- Estimate of the wire format -------------------------------------------------------------------------------------

/// HTTP/2 frame headers of HEADERS and DATA, an indexed header block, and the answer's HEADERS frame.
constexpr std::size_t framingBytes = 9 + 10 + 9 + 9 + 1;

nlohmann::json memberJson(const Member& member)
{
    return { { "vm", member.process.vm }, { "incarnation", member.process.incarnation }, { "region", member.region },
        { "failureDomain", member.failureDomain }, { "callerAddress", member.callerAddress },
        { "peerAddress", member.peerAddress }, { "leaving", member.leaving } };
}

/// The same values as arrays, without field names.
nlohmann::json withoutNames(const nlohmann::json& tree)
{
    if (!tree.is_structured())
        return tree;
    auto values = nlohmann::json::array();
    for (const auto& it : tree)
        values.push_back(withoutNames(it));
    return values;
}

struct Bytes {
    std::size_t named = 0;
    std::size_t array = 0;
};

Bytes bytesOf(const PeerMessage& message)
{
    nlohmann::json tree;
    if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
        tree = { { "type", "heartbeat" }, { "sender", memberJson(heartbeat->sender) },
            { "manifestVersion", heartbeat->manifestVersion }, { "freshAgeMicros", heartbeat->stalenessMicros },
            { "loads", nlohmann::json::array() }, { "relayedMembers", nlohmann::json::array() } };
        for (const auto& it : heartbeat->loads) {
            tree["loads"].push_back({ { "service", it.service }, { "slots", it.slots }, { "inFlight", it.inFlight },
                { "queued", it.queued } });
        }
        for (const auto& it : heartbeat->relayedMembers)
            tree["relayedMembers"].push_back(memberJson(it));
    } else if (const auto* push = std::get_if<ManifestPush>(&message)) {
        tree = { { "type", "manifestPush" }, { "version", push->manifest.version }, { "parts", push->manifest.parts } };
    }
    return { nlohmann::json::to_cbor(tree).size() + framingBytes,
        nlohmann::json::to_cbor(withoutNames(tree)).size() + framingBytes };
}

// --- Fleets ----------------------------------------------------------------------------------------------------------

struct Scale {
    std::size_t daemons;
    std::size_t regions;
    std::size_t domains; ///< of the whole fleet
};

constexpr std::array<Scale, 4> scales { { { 22, 3, 6 }, { 90, 5, 12 }, { 400, 10, 26 }, { 1800, 20, 52 } } };

Member memberOf(const Scale& scale, std::size_t n)
{
    const auto domain = n % scale.domains;
    const auto number = std::to_string(n);
    return { { "entry-" + number, (1'790'000'000'000ULL << 22U) + n },
        "region-" + std::to_string(domain % scale.regions),
        "region-" + std::to_string(domain % scale.regions) + "-zone-" + std::to_string(domain),
        "10.20." + number + ".1:8443", "10.20." + number + ".1:9443", false };
}

State makeState(const Member& member)
{
    State state(Self { member.process, member.region, member.failureDomain, member.callerAddress, member.peerAddress },
        member.process.incarnation);
    state.configuration.join = fakes::joinFakeParts;
    return state;
}

/// Traffic of one daemon in a second.
struct Traffic {
    std::size_t sent = 0;
    std::size_t received = 0;
    std::size_t namedBytes = 0; ///< both directions
    std::size_t arrayBytes = 0;
    std::size_t storeCalls = 0;
    double reducerSeconds = 0;
    double seconds = 0;
};

/// A daemon with the VM list of its fleet. Its peers, and the daemons that chose it as a peer, answer its heartbeats.
class Bench {
public:
    Bench(const Scale& scale, bool relay)
        : m_state(makeState(memberOf(scale, pick(scale, relay))))
    {
        for (std::size_t n = 0; n < scale.daemons; ++n)
            m_members.push_back(memberOf(scale, n));
        for (const auto& it : m_members)
            m_list.vms.push_back(
                { it.process.vm, it.region, it.failureDomain, it.callerAddress, it.peerAddress, false });
        feed(Tick {});
        feed(m_list);
        run(2s, false);
        for (const auto n : inboundOf(m_state)) {
            m_inbound.insert(m_members[n].process.vm);
            hear(Heartbeat { m_members[n], 1, 1'000'000, {}, {} });
        }
        run(20s, false); // introductions of the start are over
    }

    Traffic run(Duration time, bool measured = true)
    {
        m_traffic = {};
        m_measured = measured;
        for (const auto end = m_now + time; m_now < end; m_now += 50ms) {
            for (auto& it : std::exchange(m_answers, {}))
                hear(std::move(it));
            feed(Tick {});
        }
        m_traffic.seconds = std::chrono::duration<double>(time).count();
        return m_traffic;
    }

private:
    /// The daemon that is, or is not, a relay of the first failure domain in the eyes of the whole fleet.
    static std::size_t pick(const Scale& scale, bool relay)
    {
        std::vector<VmId> domain;
        for (std::size_t n = 0; n < scale.daemons; n += scale.domains)
            domain.push_back(memberOf(scale, n).process.vm);
        const auto order = membership::rendezvousOrder(memberOf(scale, 0).failureDomain, domain);
        const auto& wanted = relay ? order.front() : order.back();
        const auto it = std::find(domain.begin(), domain.end(), wanted);
        return static_cast<std::size_t>(it - domain.begin()) * scale.domains;
    }

    /// Daemons of other regions that choose this relay as their peer, in the order in which they choose.
    std::vector<std::size_t> inboundOf(const State& state)
    {
        std::vector<std::size_t> inbound;
        std::vector<VmId> relays;
        for (const auto& it : m_members) {
            if (it.region == state.self.region && membership::isRelay(state, it.process.vm))
                relays.push_back(it.process.vm);
        }
        for (std::size_t n = 0; n < m_members.size(); ++n) {
            const auto& it = m_members[n];
            if (it.region != state.self.region && !membership::isRelay(state, it.process.vm) && !relays.empty()
                && membership::rendezvousOrder(it.process.vm, relays).front() == state.self.process.vm)
                inbound.push_back(n);
        }
        return inbound;
    }

    void addBytes(const PeerMessage& message)
    {
        const auto bytes = bytesOf(message);
        m_traffic.namedBytes += bytes.named;
        m_traffic.arrayBytes += bytes.array;
    }

    /// A message without a session in either direction is dropped by the transport.
    [[nodiscard]] bool hasSession(const VmId& vm) const
    {
        const auto* record = membership::find(m_state, vm);
        return m_inbound.contains(vm) || (record != nullptr && record->peerSince);
    }

    void hear(Heartbeat message)
    {
        if (m_measured) {
            ++m_traffic.received;
            addBytes(message);
        }
        const auto from = message.sender.process;
        feed(PeerMessageReceived { from, std::move(message) });
    }

    /// Links are alike in both directions: each heartbeat that this daemon sends is answered with one of the same
    /// shape.
    void mirror(const VmId& vm, Heartbeat message)
    {
        const auto n = static_cast<std::size_t>(std::stoul(vm.substr(vm.find('-') + 1)));
        const auto& member = m_members[n];
        if (message.sender.region.empty())
            message.sender.process = member.process;
        else
            message.sender = member;
        for (std::size_t k = 0; k < message.relayedMembers.size(); ++k)
            message.relayedMembers[k] = m_members[(n + k + 1) % m_members.size()];
        message.stalenessMicros = 1'000'000;
        m_answers.push_back(std::move(message));
    }

    void feed(const Event& event)
    {
        Outbox outbox;
        const auto start = std::chrono::steady_clock::now();
        reduce(m_state, event, m_now, outbox);
        m_traffic.reducerSeconds += std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
        for (const auto& it : outbox.effects) {
            if (const auto* message = std::get_if<SendMessage>(&it);
                message != nullptr && m_measured && hasSession(message->to)) {
                ++m_traffic.sent;
                addBytes(message->message);
            }
            if (const auto* message = std::get_if<SendMessage>(&it); message != nullptr && hasSession(message->to)) {
                if (const auto* heartbeat = std::get_if<Heartbeat>(&message->message))
                    mirror(message->to, *heartbeat);
            } else if (std::holds_alternative<ListVms>(it)) {
                ++m_traffic.storeCalls;
                m_listDue = true;
            } else if (const auto* watch = std::get_if<WatchObject>(&it)) {
                ++m_traffic.storeCalls;
                m_watch = { m_now + configuration::watchWait, watch->token };
            } else if (const auto* read = std::get_if<ReadObject>(&it)) {
                ++m_traffic.storeCalls;
                m_reads.push_back(*read);
            }
        }
        if (std::holds_alternative<Tick>(event))
            answerStore();
    }

    void answerStore()
    {
        if (std::exchange(m_listDue, false))
            feed(m_list);
        for (const auto& it : std::exchange(m_reads, {})) {
            const std::string text = "part:region-0,";
            const Manifest manifest { 1, "c", { { "regions", sha256Hex(text) } } };
            feed(ObjectRead { it.token, it.key, 1, it.key == manifestKey ? manifestToJson(manifest) : text });
        }
        if (m_watch && m_now >= m_watch->first) {
            const auto token = std::exchange(m_watch, std::nullopt)->second;
            feed(StoreCallFailed { token, std::string(manifestKey), StoreFailure::TimedOut, {} });
        }
    }

    State m_state;
    TimePoint m_now { 1000s };
    std::vector<Member> m_members;
    VmListRead m_list;
    std::vector<Heartbeat> m_answers; ///< that peers send next
    std::set<VmId> m_inbound; ///< daemons that have this one as their peer
    Traffic m_traffic;
    bool m_measured = false;
    bool m_listDue = false;
    std::optional<std::pair<TimePoint, StoreToken>> m_watch;
    std::vector<ReadObject> m_reads;
};

void steadyState(benchmark::State& run)
{
    const auto& scale = scales[static_cast<std::size_t>(run.range(0))];
    Bench bench(scale, run.range(1) != 0);
    Traffic traffic;
    while (run.KeepRunning()) {
        traffic = bench.run(60s);
        run.SetIterationTime(traffic.reducerSeconds);
    }
    const auto perSecond = [&](std::size_t n) { return static_cast<double>(n) / traffic.seconds; };
    run.counters["sent/s"] = perSecond(traffic.sent);
    run.counters["received/s"] = perSecond(traffic.received);
    run.counters["KB/s"] = perSecond(traffic.namedBytes) / 1e3;
    run.counters["KB/s array"] = perSecond(traffic.arrayBytes) / 1e3;
    run.counters["store/s"] = perSecond(traffic.storeCalls);
    run.counters["core%"] = 100 * traffic.reducerSeconds / traffic.seconds;
    run.SetLabel(std::to_string(scale.daemons) + (run.range(1) != 0 ? " relay" : " non-relay"));
}

BENCHMARK(steadyState)->ArgsProduct({ { 0, 1, 2, 3 }, { 0, 1 } })->Iterations(1)->UseManualTime();

} // namespace

BENCHMARK_MAIN();
