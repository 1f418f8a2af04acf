#pragma once

#include <arbutuscrank/config/codec.hpp>
#include <arbutuscrank/core/manifest_codec.hpp>
#include <arbutuscrank/core/reduce.hpp>
#include <arbutuscrank/core/state.hpp>

#include <cstdio>
#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

/// \file
/// \brief Fleet of decision cores on simulated time for tests, with a network, a store and a VM list that can fail.
///
/// All randomness derives from one seed. A test injects faults by assigning to public members between calls of
/// Fleet::run.

namespace arbutuscrank::fakes {

using namespace std::chrono_literals;

/// \brief Builds a document from the parts that \ref Fleet::publish writes; the part "regions" lists region names.
/// \returns std::nullopt if a part does not start with "part:"
inline std::optional<Document> joinFakeParts(const std::map<std::string, std::string>& parts)
{
    Document document;
    for (const auto& [name, text] : parts) {
        if (!text.starts_with("part:"))
            return std::nullopt;
        if (name != "regions")
            continue;
        for (std::size_t at = 5; at < text.size();) {
            const auto end = std::min(text.find(',', at), text.size());
            document.regions.push_back({ text.substr(at, end - at), {} });
            at = end + 1;
        }
    }
    return document;
}

/// \brief Injected faults of the store and of the VM list.
struct StoreFaults {
    bool isDown = false; ///< whether the store and the VM list are unreachable for all
    std::set<std::string> cutRegions; ///< regions that cannot reach the store or the VM list
    double lostAnswerProbability = 0; ///< probability that a call is never answered
    double staleReadProbability = 0; ///< probability that a read returns an older version of the object
    double invalidReadProbability = 0; ///< probability that a read returns a text that is neither a manifest nor a part
    Duration oneWayDelay = 2ms; ///< network delay in each direction
    bool isVmListDown = false; ///< whether reads of the VM list fail
    Duration maxVmListAge = 25s; ///< a read returns the list as it was at a random time up to this long ago
};

/// \brief The simulation: its clock, daemons, faults and counters.
class Fleet {
public:
    /// \brief One daemon.
    struct Node {
        explicit Node(State initial)
            : state(std::move(initial))
        {
        }

        State state;
        bool isRunning = true;
        std::uint64_t startCount = 0; ///< counts starts and crashes; events scheduled before the last one are dropped
        TimePoint pausedUntil;
        std::set<VmId> peers;
        ManifestVersion highestVersion = 0;
    };

    /// \param domainsPerRegion failure domains in each region
    /// \param daemonsPerDomain daemons in each failure domain
    Fleet(std::uint64_t seed, std::size_t regions, std::size_t domainsPerRegion, std::size_t daemonsPerDomain)
        : random(seed)
    {
        std::printf("fleet seed=%llu\n", static_cast<unsigned long long>(seed));
        for (std::size_t r = 0; r < regions; ++r)
            regionNames.push_back("r" + std::to_string(r));
        for (std::size_t n = 0; n < regions * domainsPerRegion * daemonsPerDomain; ++n) {
            const auto domain = n / daemonsPerDomain;
            const auto vm = "vm" + std::to_string(n);
            const auto address = "10.0.0." + std::to_string(n) + ":1";
            const Self self { { vm, 1 }, regionNames[domain / domainsPerRegion], "d" + std::to_string(domain), address,
                address };
            nodes.emplace_back(makeState(self));
            m_nodeIndices[vm] = n;
        }
        for (std::size_t n = 0; n < nodes.size(); ++n)
            start(n);
    }

    /// \brief Creates the state of a daemon that uses relays, as a large fleet does, instead of a full mesh of peers.
    State makeState(const Self& self)
    {
        State state(self, random.next());
        state.membership.maxFullMeshMembers = 0;
        return state;
    }

    // --- Fault injection and observation ---
    Random random;
    std::vector<std::string> regionNames;
    std::vector<Node> nodes;
    StoreFaults store;
    double dropProbability = 0; ///< probability that a message between daemons is lost
    std::set<std::pair<std::string, std::string>> cutLinks; ///< pairs of regions without a connection, in both orders
    std::function<void(const Node&, const WriteLog&)> onLog; ///< called with each log line of a daemon
    TimePoint now { 1s };

    /// \brief Cuts the links between two regions.
    void cut(const std::string& a, const std::string& b)
    {
        cutLinks.insert({ a, b });
        cutLinks.insert({ b, a });
    }
    /// \brief Cuts the links between a region and all others.
    void isolate(const std::string& region)
    {
        for (const auto& it : regionNames) {
            if (it != region)
                cut(region, it);
        }
    }
    /// \brief Ends a process without notice.
    void crash(std::size_t n)
    {
        nodes[n].isRunning = false;
        ++nodes[n].startCount;
        recordVmList();
    }
    /// \brief Replaces the daemon by a new incarnation with an empty state.
    void restart(std::size_t n)
    {
        auto self = nodes[n].state.self;
        ++self.process.incarnation;
        const auto startCount = nodes[n].startCount + 1;
        nodes[n] = Node(makeState(self));
        nodes[n].startCount = startCount;
        start(n);
    }
    /// \brief Pauses a process; events that arrive during the pause are handled when it resumes.
    void pause(std::size_t n, Duration time) { nodes[n].pausedUntil = now + time; }

    /// \brief Writes a new version of the configuration to the store. \returns the version
    ManifestVersion publish()
    {
        Manifest manifest { publishedVersion + 1, "change" + std::to_string(publishedVersion + 1), {} };
        std::string regions = "part:";
        for (const auto& it : regionNames)
            regions += it + ",";
        for (const auto& [name, text] : { std::pair<std::string, std::string> { "regions", regions },
                 { "accounts", "part:accounts" + std::to_string(manifest.version) } }) {
            const auto hash = sha256Hex(text);
            manifest.parts[name] = hash;
            write(partKey(hash), text);
        }
        write(std::string(manifestKey), manifestToJson(manifest));
        return publishedVersion = manifest.version;
    }

    /// \brief Advances simulated time; calls \p check with the daemon after each event that it handles.
    void run(Duration time, const std::function<void(Node&)>& check = {})
    {
        const auto end = now + time;
        while (!m_queue.empty() && m_queue.top().at <= end) {
            auto next = m_queue.top();
            m_queue.pop();
            now = next.at;
            auto& node = nodes[next.node];
            if (next.startCount != node.startCount)
                continue;
            if (now < node.pausedUntil) {
                next.at = node.pausedUntil;
                m_queue.push(std::move(next));
                continue;
            }
            handleEvent(next.node, next.event);
            if (check)
                check(node);
        }
        now = end;
    }

    /// \brief Passes an event to a daemon immediately.
    void deliver(std::size_t n, const Event& event) { handleEvent(n, event); }

    /// \brief Counts the running daemons whose configuration is not the version published last.
    [[nodiscard]] std::size_t countOutdatedDaemons() const
    {
        std::size_t n = 0;
        for (const auto& it : nodes)
            n += it.isRunning && configuration::version(it.state) != publishedVersion ? 1 : 0;
        return n;
    }

    ManifestVersion publishedVersion = 0;
    std::uint64_t sentMessageCount = 0; ///< including messages that were lost
    std::uint64_t storeCallCount = 0; ///< reads, watches and reads of the VM list
    bool hasVersionDecreased = false; ///< whether any daemon ever replaced its configuration by a lower version

private:
    struct ScheduledEvent {
        TimePoint at;
        std::uint64_t sequence = 0;
        std::size_t node = 0;
        std::uint64_t startCount = 0;
        Event event;
        bool operator<(const ScheduledEvent& other) const
        {
            return std::pair(other.at, other.sequence) < std::pair(at, sequence);
        }
    };
    struct ActiveWatch {
        std::size_t node = 0;
        std::uint64_t startCount = 0;
        WatchObject call;
        TimePoint end;
    };
    struct StoredObject {
        ObjectVersion version = 0;
        std::vector<std::string> values;
    };

    void start(std::size_t n)
    {
        nodes[n].state.configuration.join = joinFakeParts;
        recordVmList();
        schedule(n, Duration(static_cast<std::int64_t>(random.below(50'000))), Tick {});
    }

    void schedule(std::size_t n, Duration delay, Event event)
    {
        m_queue.push({ now + delay, ++m_lastSequence, n, nodes[n].startCount, std::move(event) });
    }

    void handleEvent(std::size_t n, const Event& event)
    {
        auto& node = nodes[n];
        Outbox outbox;
        reduce(node.state, event, now, outbox);
        const auto version = configuration::version(node.state);
        hasVersionDecreased = hasVersionDecreased || version < node.highestVersion;
        node.highestVersion = version;
        for (auto& it : outbox.effects)
            performEffect(n, it);
        if (std::holds_alternative<Tick>(event)) {
            schedule(n, 50ms, Tick {});
            completeWatches();
        }
    }

    void performEffect(std::size_t n, Effect& effect)
    {
        if (auto* message = std::get_if<SendMessage>(&effect)) {
            send(n, *message);
        } else if (auto* peers = std::get_if<SetPeers>(&effect)) {
            nodes[n].peers.clear();
            for (const auto& it : peers->peers)
                nodes[n].peers.insert(it.vm);
        } else if (auto* read = std::get_if<ReadObject>(&effect)) {
            this->read(n, *read);
        } else if (auto* watch = std::get_if<WatchObject>(&effect)) {
            ++storeCallCount;
            if (canReachStore(n))
                m_watches.push_back(
                    { n, nodes[n].startCount, *watch, now + store.oneWayDelay + configuration::watchWait });
            else
                scheduleCallFailure(n, watch->token, watch->key);
            completeWatches();
        } else if (std::holds_alternative<ListVms>(effect)) {
            readVmList(n);
        } else if (auto* log = std::get_if<WriteLog>(&effect); log != nullptr && onLog) {
            onLog(nodes[n], *log);
        }
    }

    void send(std::size_t from, SendMessage& message)
    {
        const auto to = m_nodeIndices.at(message.to);
        const auto& a = nodes[from];
        const auto& b = nodes[to];
        ++sentMessageCount;
        const bool hasSession = a.peers.contains(message.to) || b.peers.contains(a.state.self.process.vm);
        if (!hasSession || !b.isRunning || random.unit() < dropProbability
            || cutLinks.contains({ a.state.self.region, b.state.self.region }))
            return;
        const Duration oneWayDelay = a.state.self.region == b.state.self.region ? 1500us : 55ms;
        schedule(to, oneWayDelay, PeerMessageReceived { a.state.self.process, std::move(message.message) });
    }

    // --- Store ---
    /// Whether daemon \p n can reach the store and the VM list.
    [[nodiscard]] bool canReachStore(std::size_t n) const
    {
        return !store.isDown && !store.cutRegions.contains(nodes[n].state.self.region);
    }

    void write(const std::string& key, std::string value)
    {
        auto& object = m_objects[key];
        ++object.version;
        object.values.push_back(std::move(value));
        completeWatches();
    }

    /// Reports a failed call after the network delay, or never, with equal probability.
    void scheduleCallFailure(std::size_t n, StoreToken token, const std::string& key)
    {
        if (random.unit() < 0.5)
            schedule(n, store.oneWayDelay, StoreCallFailed { token, key, StoreFailure::Unavailable, "down" });
    }

    /// Schedules the answer of a read or a watch, subject to the injected faults.
    void scheduleAnswer(std::size_t n, StoreToken token, const std::string& key)
    {
        if (random.unit() < store.lostAnswerProbability)
            return;
        const auto& object = m_objects[key];
        ObjectRead event { token, key, object.version, object.version == 0 ? "" : object.values.back() };
        if (object.version > 1 && random.unit() < store.staleReadProbability) {
            event.version = 1 + random.below(object.version);
            event.value = object.values[event.version - 1];
        }
        if (random.unit() < store.invalidReadProbability)
            event.value = "{\"version\":";
        schedule(n, store.oneWayDelay, std::move(event));
    }

    void read(std::size_t n, const ReadObject& call)
    {
        ++storeCallCount;
        if (canReachStore(n))
            scheduleAnswer(n, call.token, call.key);
        else
            scheduleCallFailure(n, call.token, call.key);
    }

    /// Ends watches whose object has changed, whose time is over, or whose daemon ended or lost the store.
    void completeWatches()
    {
        std::erase_if(m_watches, [this](const ActiveWatch& it) {
            if (it.startCount != nodes[it.node].startCount || !canReachStore(it.node))
                return true; // the watch gets no answer
            if (m_objects[it.call.key].version > it.call.after)
                scheduleAnswer(it.node, it.call.token, it.call.key);
            else if (now < it.end)
                return false;
            else if (random.unit() >= store.lostAnswerProbability)
                schedule(it.node, store.oneWayDelay,
                    StoreCallFailed { it.call.token, it.call.key, StoreFailure::TimedOut, "" });
            return true;
        });
    }

    // --- VM list ---
    /// Records the running daemons as the VM list of this moment.
    void recordVmList()
    {
        VmListRead list;
        for (const auto& it : nodes) {
            const auto& self = it.state.self;
            if (it.isRunning)
                list.vms.push_back(
                    { self.process.vm, self.region, self.failureDomain, self.callerAddress, self.peerAddress, false });
        }
        m_vmListHistory[now] = std::move(list);
    }

    /// Schedules the answer of a read of the VM list, which may be outdated.
    void readVmList(std::size_t n)
    {
        ++storeCallCount;
        if (store.isVmListDown || !canReachStore(n))
            return schedule(n, 2ms, VmListFailed { "down" });
        const auto age = Duration(
            static_cast<std::int64_t>(random.below(static_cast<std::uint64_t>(store.maxVmListAge.count()) + 1)));
        auto it = m_vmListHistory.upper_bound(now - age);
        if (it != m_vmListHistory.begin())
            --it;
        schedule(n, 2ms, it->second);
    }

    std::map<VmId, std::size_t> m_nodeIndices;
    std::priority_queue<ScheduledEvent> m_queue;
    std::uint64_t m_lastSequence = 0;
    std::vector<ActiveWatch> m_watches;
    std::map<std::string, StoredObject> m_objects;
    std::map<TimePoint, VmListRead> m_vmListHistory;
};

} // namespace arbutuscrank::fakes
