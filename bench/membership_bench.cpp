#include <fakes/fleet.hpp>

#include <benchmark/benchmark.h>
#include <nlohmann/json.hpp>

#include <array>
#include <chrono>

/// \file
/// \brief Cost of membership and configuration for one daemon: messages, bytes and reducer time per second.
///
/// The benchmark sends the decision core of one daemon the messages that a fleet of the given size sends it in a steady
/// state. No daemon owns targets, so heartbeats carry no loads. Byte counts estimate the wire format: CBOR with the
/// field names of the messages, or without field names, as arrays of values ("array"), plus the framing of one HTTP/2
/// request for each message. They exclude TCP and IP headers.

using namespace arbutuscrank;
using namespace std::chrono_literals;

namespace {

// --- Estimate of the wire format -------------------------------------------------------------------------------------

/// Bytes of the frame header of HEADERS, indexed header block, frame header of DATA, and the HEADERS frame of the
/// answer.
constexpr std::size_t framingBytes = 9 + 10 + 9 + 9 + 1;

nlohmann::json memberJson(const Member& member)
{
    return { { "vm", member.process.vm }, { "incarnation", member.process.incarnation }, { "region", member.region },
        { "failureDomain", member.failureDomain }, { "callerAddress", member.callerAddress },
        { "peerAddress", member.peerAddress }, { "leaving", member.leaving } };
}

/// Converts objects to arrays of their values, recursively.
nlohmann::json removeFieldNames(const nlohmann::json& tree)
{
    if (!tree.is_structured())
        return tree;
    auto values = nlohmann::json::array();
    for (const auto& it : tree)
        values.push_back(removeFieldNames(it));
    return values;
}

struct Bytes {
    std::size_t named = 0;
    std::size_t array = 0;
};

Bytes countBytes(const PeerMessage& message)
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
        nlohmann::json::to_cbor(removeFieldNames(tree)).size() + framingBytes };
}

// --- Fleets ----------------------------------------------------------------------------------------------------------

struct Scale {
    std::size_t daemons;
    std::size_t regions;
    std::size_t failureDomains; ///< in the whole fleet
};

constexpr std::array<Scale, 4> scales { { { 22, 3, 6 }, { 90, 5, 12 }, { 400, 10, 26 }, { 1800, 20, 52 } } };

Member makeMember(const Scale& scale, std::size_t n)
{
    const auto domain = n % scale.failureDomains;
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

/// Messages, bytes, store calls and CPU time of one daemon over \c seconds.
struct Traffic {
    std::size_t sentMessages = 0;
    std::size_t receivedMessages = 0;
    std::size_t namedBytes = 0; ///< with field names, both directions
    std::size_t arrayBytes = 0; ///< without field names, both directions
    std::size_t storeCalls = 0;
    double reducerSeconds = 0;
    double seconds = 0;
};

/// One daemon with the VM list of its fleet. Its peers, and the daemons that have it as their peer, answer its
/// heartbeats.
class SimulatedDaemon {
public:
    SimulatedDaemon(const Scale& scale, bool relay)
        : m_state(makeState(makeMember(scale, chooseDaemon(scale, relay))))
    {
        for (std::size_t n = 0; n < scale.daemons; ++n)
            m_members.push_back(makeMember(scale, n));
        for (const auto& it : m_members)
            m_vmList.vms.push_back(
                { it.process.vm, it.region, it.failureDomain, it.callerAddress, it.peerAddress, false });
        reduceEvent(Tick {});
        reduceEvent(m_vmList);
        run(2s, false);
        for (const auto n : findInboundDaemons(m_state)) {
            m_inboundDaemons.insert(m_members[n].process.vm);
            receive(Heartbeat { m_members[n], 1, 1'000'000, {}, {} });
        }
        run(20s, false); // until the daemon and its peers have exchanged their full member records
    }

    Traffic run(Duration time, bool isMeasured = true)
    {
        m_traffic = {};
        m_isMeasuring = isMeasured;
        for (const auto end = m_now + time; m_now < end; m_now += 50ms) {
            for (auto& it : std::exchange(m_pendingAnswers, {}))
                receive(std::move(it));
            reduceEvent(Tick {});
        }
        m_traffic.seconds = std::chrono::duration<double>(time).count();
        return m_traffic;
    }

private:
    /// Chooses a daemon of the first failure domain that is a relay, or one that is not, by the rendezvous order that
    /// all daemons compute.
    static std::size_t chooseDaemon(const Scale& scale, bool relay)
    {
        std::vector<VmId> domain;
        for (std::size_t n = 0; n < scale.daemons; n += scale.failureDomains)
            domain.push_back(makeMember(scale, n).process.vm);
        const auto order = membership::rendezvousOrder(makeMember(scale, 0).failureDomain, domain);
        const auto& chosen = relay ? order.front() : order.back();
        const auto it = std::find(domain.begin(), domain.end(), chosen);
        return static_cast<std::size_t>(it - domain.begin()) * scale.failureDomains;
    }

    /// Finds the daemons of other regions that rank this relay first by rendezvous hashing and make it their peer.
    std::vector<std::size_t> findInboundDaemons(const State& state)
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

    void recordBytes(const PeerMessage& message)
    {
        const auto bytes = countBytes(message);
        m_traffic.namedBytes += bytes.named;
        m_traffic.arrayBytes += bytes.array;
    }

    /// Whether a session with the VM exists in either direction; without one, the transport drops messages.
    [[nodiscard]] bool hasSession(const VmId& vm) const
    {
        const auto* record = membership::find(m_state, vm);
        return m_inboundDaemons.contains(vm) || (record != nullptr && record->peerSince);
    }

    void receive(Heartbeat message)
    {
        if (m_isMeasuring) {
            ++m_traffic.receivedMessages;
            recordBytes(message);
        }
        const auto from = message.sender.process;
        reduceEvent(PeerMessageReceived { from, std::move(message) });
    }

    /// Schedules a heartbeat with the same fields as an answer to the one sent, because traffic is symmetric.
    void scheduleAnswer(const VmId& vm, Heartbeat message)
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
        m_pendingAnswers.push_back(std::move(message));
    }

    void reduceEvent(const Event& event)
    {
        Outbox outbox;
        const auto start = std::chrono::steady_clock::now();
        reduce(m_state, event, m_now, outbox);
        m_traffic.reducerSeconds += std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
        for (const auto& it : outbox.effects) {
            if (const auto* message = std::get_if<SendMessage>(&it);
                message != nullptr && m_isMeasuring && hasSession(message->to)) {
                ++m_traffic.sentMessages;
                recordBytes(message->message);
            }
            if (const auto* message = std::get_if<SendMessage>(&it); message != nullptr && hasSession(message->to)) {
                if (const auto* heartbeat = std::get_if<Heartbeat>(&message->message))
                    scheduleAnswer(message->to, *heartbeat);
            } else if (std::holds_alternative<ListVms>(it)) {
                ++m_traffic.storeCalls;
                m_isVmListPending = true;
            } else if (const auto* watch = std::get_if<WatchObject>(&it)) {
                ++m_traffic.storeCalls;
                m_pendingWatch = { m_now + configuration::watchWait, watch->token };
            } else if (const auto* read = std::get_if<ReadObject>(&it)) {
                ++m_traffic.storeCalls;
                m_pendingReads.push_back(*read);
            }
        }
        if (std::holds_alternative<Tick>(event))
            answerStore();
    }

    void answerStore()
    {
        if (std::exchange(m_isVmListPending, false))
            reduceEvent(m_vmList);
        for (const auto& it : std::exchange(m_pendingReads, {})) {
            const std::string text = "part:region-0,";
            const Manifest manifest { 1, "c", { { "regions", sha256Hex(text) } } };
            reduceEvent(ObjectRead { it.token, it.key, 1, it.key == manifestKey ? manifestToJson(manifest) : text });
        }
        if (m_pendingWatch && m_now >= m_pendingWatch->first) {
            const auto token = std::exchange(m_pendingWatch, std::nullopt)->second;
            reduceEvent(StoreCallFailed { token, std::string(manifestKey), StoreFailure::TimedOut, {} });
        }
    }

    State m_state;
    TimePoint m_now { 1000s };
    std::vector<Member> m_members;
    VmListRead m_vmList;
    std::vector<Heartbeat> m_pendingAnswers; ///< heartbeats that peers send before the next tick
    std::set<VmId> m_inboundDaemons; ///< daemons that have this daemon as their peer
    Traffic m_traffic;
    bool m_isMeasuring = false;
    bool m_isVmListPending = false;
    std::optional<std::pair<TimePoint, StoreToken>> m_pendingWatch;
    std::vector<ReadObject> m_pendingReads;
};

void steadyState(benchmark::State& run)
{
    const auto& scale = scales[static_cast<std::size_t>(run.range(0))];
    SimulatedDaemon simulatedDaemon(scale, run.range(1) != 0);
    Traffic traffic;
    while (run.KeepRunning()) {
        traffic = simulatedDaemon.run(60s);
        run.SetIterationTime(traffic.reducerSeconds);
    }
    const auto perSecond = [&](std::size_t n) { return static_cast<double>(n) / traffic.seconds; };
    run.counters["sent/s"] = perSecond(traffic.sentMessages);
    run.counters["received/s"] = perSecond(traffic.receivedMessages);
    run.counters["KB/s"] = perSecond(traffic.namedBytes) / 1e3;
    run.counters["KB/s array"] = perSecond(traffic.arrayBytes) / 1e3;
    run.counters["store/s"] = perSecond(traffic.storeCalls);
    run.counters["core%"] = 100 * traffic.reducerSeconds / traffic.seconds;
    run.SetLabel(std::to_string(scale.daemons) + (run.range(1) != 0 ? " relay" : " non-relay"));
}

BENCHMARK(steadyState)->ArgsProduct({ { 0, 1, 2, 3 }, { 0, 1 } })->Iterations(1)->UseManualTime();

} // namespace

BENCHMARK_MAIN();
