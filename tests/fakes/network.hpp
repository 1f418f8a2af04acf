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
/// \brief Many daemons in one test: their reducers, the messages between them, and the platform's store.
///
/// Everything runs on logical time in one thread and depends only on the seed. Each node has its own clock origin.
/// Membership and the configuration in force are set directly from the network's own knowledge: a node suspects another
/// after 3 s without contact, and knows it as gone 30 s after its end or when a later incarnation is heard. Sessions
/// exist between all nodes. Store calls of the topic "quota" are answered; those of other topics only if
/// \ref NetworkOptions::answersAllTopics is set.
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

struct NetworkOptions {
    std::uint64_t seed = 1;
    std::vector<std::string> regions { "caerdydd", "bangor", "aberyst" }; ///< the store is in the first
    std::size_t nodesPerRegion = 7;
    Duration intraRegionLatency = std::chrono::microseconds(1500); ///< one way
    Duration interRegionLatency = std::chrono::milliseconds(55); ///< one way, between regions
    Duration storeLatency = std::chrono::milliseconds(3); ///< added to each way
    double dropProbability = 0; ///< of each message
    double extraLatencyProbability
        = 0; ///< of each message, to take up to \ref maxExtraLatency longer; order per pair is kept
    Duration maxExtraLatency = std::chrono::seconds(1);
    double lostAnswerProbability = 0; ///< of each write: it takes effect, and the caller is told "unknown"
    bool answersAllTopics = false;
};

/// \brief An account of \ref makeDocument.
struct TestAccount {
    std::string name;
    double rate = 0;
    double burst = 0;
};

/// \brief Document with three regions of two failure domains, one service "/svc/" and accounts whose key is
/// "NAME.secret".
[[nodiscard]] Document makeDocument(const std::vector<TestAccount>& accounts);

/// \brief How a request ended, as far as its account's quota is concerned.
struct Outcome {
    TimePoint arrivedAt;
    TimePoint resolvedAt; ///< when the tokens were spent, or the request was refused
    bool admitted = false;
    Duration retryAfter {};
};

/// \brief First admission that exceeds rate x t + burst in some interval, counted exactly over all intervals.
[[nodiscard]] const Outcome* findExcess(const std::vector<Outcome>& admissions, double rate, double burst);

/// \brief Refused requests that one exact bucket for the whole fleet would have admitted.
[[nodiscard]] std::size_t countRefusalsWithinRate(std::vector<Outcome> outcomes, double rate, double burst);

/// \brief Calls and traffic since the start.
struct Counters {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t messages = 0; ///< of the topic "quota"
    std::uint64_t bytes = 0; ///< their estimated size in CBOR, without framing
};

/// \brief The platform's store: objects with versions and conditional updates.
struct FakeStore {
    struct Object {
        ObjectVersion version = 0;
        std::string value;
    };
    std::map<std::string, Object> objects;
    ObjectVersion lastVersion = 0;
    bool isDown = false;
};

class Network {
public:
    Network(NetworkOptions options, Document document);

    // --- Time ---
    [[nodiscard]] TimePoint now() const noexcept { return m_now; }
    void runUntil(TimePoint time);
    void runFor(Duration time) { runUntil(m_now + time); }
    void scheduleAt(TimePoint time, std::function<void()> action);

    // --- Nodes ---
    [[nodiscard]] std::size_t size() const noexcept { return m_nodes.size(); }
    [[nodiscard]] State& state(std::size_t node) { return *m_nodes[node].state; }
    [[nodiscard]] bool isRunning(std::size_t node) const { return m_nodes[node].state != nullptr; }
    [[nodiscard]] std::size_t nodeOf(const VmId& vm) const { return m_nodeIndices.at(vm); }
    /// \brief Hands an event to a node now.
    void deliver(std::size_t node, const Event& event);
    /// \brief A caller's request arrives now. Ignored if the node does not run.
    void request(std::size_t node, const std::string& account);

    // --- Faults ---
    /// \brief The process gets no time; everything that reaches it waits.
    void pause(std::size_t node, Duration time);
    void crash(std::size_t node);
    void restart(std::size_t node);
    /// \brief Graceful stop; the node is removed when it reports that it is done.
    void stop(std::size_t node) { deliver(node, StopRequested {}); }
    /// \brief Cuts a region off from the others, and from the store unless it is the store's.
    void setRegionIsolated(const std::string& region, bool isIsolated);
    void setDocument(Document document);
    NetworkOptions& options() noexcept { return m_options; }
    FakeStore& store() noexcept { return m_store; }

    // --- Results ---
    [[nodiscard]] const std::vector<Outcome>& outcomes(const std::string& account) { return m_outcomes[account]; }
    /// \brief Admissions in the order in which the tokens were spent.
    [[nodiscard]] std::vector<Outcome> admissions(const std::string& account) const;
    [[nodiscard]] const Counters& counters() const noexcept { return m_counters; }
    /// \brief Sum of the spending shares of a quota over all running nodes.
    [[nodiscard]] std::pair<MicroTokens, MicroTokens> sumShares(const std::string& quota) const;

private:
    struct PendingRequest {
        std::string account;
        TimePoint arrivedAt;
    };
    struct Node {
        Self self;
        Duration clockOrigin {};
        std::uint64_t startCount = 0; ///< counts restarts, so that what was meant for an earlier run is dropped
        std::unique_ptr<State> state;
        TimePoint pausedUntil;
        std::optional<TimePoint> endedAt;
        std::map<RequestId, PendingRequest> pending;
        std::vector<TimePoint> lastContactAt; ///< last contact with each other node
    };
    struct Action {
        TimePoint time;
        std::uint64_t sequence = 0;
        std::function<void()> run;
        bool operator<(const Action& other) const
        {
            return std::tie(other.time, other.sequence) < std::tie(time, sequence);
        }
    };
    struct Watch {
        std::size_t node = 0;
        std::uint64_t startCount = 0;
        WatchObject call;
        bool isDone = false;
    };

    void start(std::size_t node);
    void applyConfiguration(std::size_t node);
    void tick(std::size_t node, std::uint64_t startCount);
    void updateMembership();
    /// Runs an action at a node when it arrives there, or after its pause; drops it if the process ended since.
    void scheduleOnNode(std::size_t node, std::uint64_t startCount, TimePoint time, std::function<void()> action);
    void performEffect(std::size_t node, const Effect& effect);
    void send(std::size_t from, const SendMessage& message);
    void callStore(std::size_t node, const std::string& key, std::function<Event()> applyAtStore, StoreToken token);
    void scheduleStoreAnswer(std::size_t node, std::uint64_t startCount, Event event, Duration after);
    void notifyWatches(const std::string& key);
    [[nodiscard]] bool areConnected(std::size_t a, std::size_t b) const;
    [[nodiscard]] bool canReachStore(std::size_t node) const;
    [[nodiscard]] Duration oneWayStoreLatency(std::size_t node) const;
    void recordOutcomes(std::size_t node, const Outbox& outbox);

    NetworkOptions m_options;
    Document m_document;
    ManifestVersion m_version = 1;
    Random m_random;
    TimePoint m_now { std::chrono::seconds(1000) };
    std::vector<Node> m_nodes;
    std::map<VmId, std::size_t> m_nodeIndices;
    std::set<std::string> m_isolatedRegions;
    std::priority_queue<Action> m_scheduledActions;
    std::uint64_t m_lastSequence = 0;
    RequestId m_lastRequestId = 0;
    std::map<std::pair<std::size_t, std::size_t>, TimePoint> m_lastDeliveryAt;
    FakeStore m_store;
    std::vector<std::shared_ptr<Watch>> m_watches;
    std::map<std::string, std::vector<Outcome>> m_outcomes;
    Counters m_counters;
};

} // namespace arbutuscrank::fakes
