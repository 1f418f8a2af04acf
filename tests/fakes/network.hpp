#pragma once

#include <arbutuscrank/core/reduce.hpp>
#include <arbutuscrank/core/state.hpp>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

/// \file
/// \brief Simulated fleet: the reducers of many daemons, the messages between them, and the platform's store.
///
/// The simulation runs on simulated time in one thread and is determined by the seed. Each node has its own clock
/// origin. The simulation sets the membership and the active configuration of each node directly: a node suspects
/// another after 3 s without contact, and considers it gone 30 s after the other process ended or when it has contact
/// with a later incarnation. Each pair of nodes has a session. The store answers calls of the topic "quota"; it answers
/// those of other topics only if \ref NetworkOptions::answersAllTopics is set.
///
/// \code
/// Network net(NetworkOptions { .seed = 7 }, makeDocument({ { "acme", 50, 5 } }));
/// net.runFor(std::chrono::seconds(10));
/// net.request(3, "acme");
/// net.setRegionIsolated("bangor", true);
/// net.runFor(std::chrono::seconds(1));
/// EXPECT_FALSE(findExcess(net.admissions("acme"), 50, 5));
/// \endcode

namespace arbutuscrank::fakes {

/// \brief Size, latencies and fault probabilities of a \ref Network.
struct NetworkOptions {
    std::uint64_t seed = 1;
    std::vector<std::string> regions { "caerdydd", "bangor", "aberyst" }; ///< the store runs in the first one
    std::size_t nodesPerRegion = 7;
    Duration intraRegionLatency = std::chrono::microseconds(1500); ///< one way, within a region
    Duration interRegionLatency = std::chrono::milliseconds(55); ///< one way, between regions
    Duration storeLatency = std::chrono::milliseconds(3); ///< added to the network latency in each direction
    double dropProbability = 0; ///< for each message
    double extraLatencyProbability = 0; ///< for each message; order between two nodes is kept
    Duration maxExtraLatency = std::chrono::seconds(1); ///< upper bound of the random extra latency
    double lostAnswerProbability = 0; ///< for each write: it takes effect, but fails as "unknown" for the caller
    bool answersAllTopics = false; ///< whether the store answers calls of all topics, not only "quota"
};

/// \brief An account of \ref makeDocument.
struct TestAccount {
    std::string name;
    double rate = 0; ///< tokens per second
    double burst = 0; ///< tokens
};

/// \brief Creates a document with three regions of two failure domains each, one service with the path prefix "/svc/"
/// and accounts whose key is "NAME.secret".
[[nodiscard]] Document makeDocument(const std::vector<TestAccount>& accounts);

/// \brief Result of a request's admission against the quota of its account.
struct Outcome {
    TimePoint arrivedAt; ///< when the caller sent the request
    TimePoint resolvedAt; ///< when the tokens were spent or the request was refused
    bool admitted = false;
    Duration retryAfter {}; ///< of a refusal
};

/// \brief Checks that the admissions of every interval of length t stay within rate x t + burst, in exact arithmetic.
/// \returns the first admission that exceeds the limit in some interval, or nullptr
[[nodiscard]] const Outcome* findExcess(const std::vector<Outcome>& admissions, double rate, double burst);

/// \brief Counts the refused requests that one exact token bucket for the whole fleet would have admitted.
[[nodiscard]] std::size_t countRefusalsWithinRate(std::vector<Outcome> outcomes, double rate, double burst);

/// \brief Store calls and peer messages since the start of the simulation.
struct Counters {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t messages = 0; ///< of the topic "quota"
    std::uint64_t bytes = 0; ///< their estimated size in CBOR, without framing
};

/// \brief Simulated platform store: versioned objects with compare-and-set writes.
struct FakeStore {
    struct Object {
        ObjectVersion version = 0;
        std::string value;
    };
    std::map<std::string, Object> objects;
    ObjectVersion lastVersion = 0;
    bool isDown = false;
};

/// \brief The simulation: its clock, nodes, faults and results.
class Network {
public:
    Network(NetworkOptions options, Document document);

    // --- Time ---
    [[nodiscard]] TimePoint now() const noexcept { return m_now; }
    /// \brief Runs all scheduled actions up to \p time and sets the clock to it.
    void runUntil(TimePoint time);
    void runFor(Duration time) { runUntil(m_now + time); }
    /// \brief Schedules an action; actions of the same time run in the order of scheduling.
    void scheduleAt(TimePoint time, std::function<void()> action);

    // --- Nodes ---
    [[nodiscard]] std::size_t size() const noexcept { return m_nodes.size(); }
    /// \brief State of a running node.
    [[nodiscard]] State& state(std::size_t node) { return *m_nodes[node].state; }
    [[nodiscard]] bool isRunning(std::size_t node) const { return m_nodes[node].state != nullptr; }
    [[nodiscard]] std::size_t nodeOf(const VmId& vm) const { return m_nodeIndices.at(vm); }
    /// \brief Passes an event to a node immediately; ignored if the node does not run.
    void deliver(std::size_t node, const Event& event);
    /// \brief Sends a caller's request to a node immediately; ignored if the node does not run.
    void request(std::size_t node, const std::string& account);

    // --- Faults ---
    /// \brief Pauses a process; events that arrive during the pause are handled when it resumes.
    void pause(std::size_t node, Duration time);
    /// \brief Ends a process without notice; its requests in flight are lost.
    void crash(std::size_t node);
    /// \brief Crashes a process if it runs, and starts a new incarnation with an empty state.
    void restart(std::size_t node);
    /// \brief Requests a graceful shutdown; the process ends once the node returns ExitProcess.
    void stop(std::size_t node) { deliver(node, StopRequested {}); }
    /// \brief Cuts or restores the links between a region and all others. A region without the store loses the store
    /// too.
    void setRegionIsolated(const std::string& region, bool isIsolated);
    /// \brief Publishes a new version of the configuration, which each running node applies within 2 s.
    void setDocument(Document document);
    NetworkOptions& options() noexcept { return m_options; }
    FakeStore& store() noexcept { return m_store; }

    // --- Results ---
    /// \brief Outcomes of the requests of an account, admitted and refused, in the order in which they were decided.
    [[nodiscard]] const std::vector<Outcome>& outcomes(const std::string& account) { return m_outcomes[account]; }
    /// \brief Admitted requests in the order in which their tokens were spent.
    [[nodiscard]] std::vector<Outcome> admissions(const std::string& account) const;
    [[nodiscard]] const Counters& counters() const noexcept { return m_counters; }
    /// \brief Sums the shares of a quota that the token buckets of all running nodes hold.
    /// \returns the sum of the rates and the sum of the bursts
    [[nodiscard]] std::pair<MicroTokens, MicroTokens> sumShares(const std::string& quota) const;

private:
    struct PendingRequest {
        std::string account;
        TimePoint arrivedAt;
    };
    struct Node {
        Self self;
        Duration clockOrigin {};
        std::uint64_t startCount = 0; ///< counts starts; events scheduled for an earlier process are dropped
        std::unique_ptr<State> state;
        TimePoint pausedUntil;
        std::optional<TimePoint> endedAt;
        std::map<RequestId, PendingRequest> pending;
        std::vector<TimePoint> lastContactAt; ///< by node index: time of the last contact
    };
    struct ScheduledAction {
        TimePoint time;
        std::uint64_t sequence = 0;
        std::function<void()> run;
        bool operator<(const ScheduledAction& other) const
        {
            return std::tie(other.time, other.sequence) < std::tie(time, sequence);
        }
    };
    struct ActiveWatch {
        std::size_t node = 0;
        std::uint64_t startCount = 0;
        WatchObject call;
        bool isDone = false;
    };

    void start(std::size_t node);
    /// Sets the active configuration of a node to the current document.
    void applyConfiguration(std::size_t node);
    /// Delivers a tick to a node and schedules the next one.
    void tick(std::size_t node, std::uint64_t startCount);
    /// Updates the membership records of all nodes from the state of the simulation; schedules the next update.
    void updateMembership();
    /// Runs an action on a node at the given time, or when a pause ends; drops it if that process has ended by then.
    void scheduleOnNode(std::size_t node, std::uint64_t startCount, TimePoint time, std::function<void()> action);
    void performEffect(std::size_t node, const Effect& effect);
    void send(std::size_t from, const SendMessage& message);
    /// Calls \p applyAtStore when a request reaches the store, and schedules the event that it returns on the node.
    void callStore(std::size_t node, const std::string& key, std::function<Event()> applyAtStore, StoreToken token);
    void scheduleStoreAnswer(std::size_t node, std::uint64_t startCount, Event event, Duration after);
    /// Answers the watches of an object whose version now exceeds the version that they name.
    void notifyWatches(const std::string& key);
    [[nodiscard]] bool areConnected(std::size_t a, std::size_t b) const;
    [[nodiscard]] bool canReachStore(std::size_t node) const;
    [[nodiscard]] Duration oneWayStoreLatency(std::size_t node) const;
    /// Records the outcome of each pending request of a node that has left the admission phase.
    void recordOutcomes(std::size_t node, const Outbox& outbox);

    NetworkOptions m_options;
    Document m_document;
    ManifestVersion m_version = 1;
    Random m_random;
    TimePoint m_now { std::chrono::seconds(1000) };
    std::vector<Node> m_nodes;
    std::map<VmId, std::size_t> m_nodeIndices;
    std::set<std::string> m_isolatedRegions;
    std::priority_queue<ScheduledAction> m_scheduledActions;
    std::uint64_t m_lastSequence = 0;
    RequestId m_lastRequestId = 0;
    std::map<std::pair<std::size_t, std::size_t>, TimePoint> m_lastDeliveryAt;
    FakeStore m_store;
    std::vector<std::shared_ptr<ActiveWatch>> m_watches;
    std::map<std::string, std::vector<Outcome>> m_outcomes;
    Counters m_counters;
};

} // namespace arbutuscrank::fakes
