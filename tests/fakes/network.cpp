#include "network.hpp"

#include <arbutuscrank/config/codec.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace arbutuscrank::fakes {

namespace {

    constexpr Duration tickInterval = std::chrono::milliseconds(50);
    constexpr Duration membershipInterval = std::chrono::milliseconds(500);
    constexpr Duration suspicionTimeout = std::chrono::seconds(3);
    constexpr Duration maxVmListLag = std::chrono::seconds(30);
    constexpr Duration watchTimeout = std::chrono::seconds(30);
    constexpr std::string_view failureDomainSuffixes = "ab";

    std::size_t estimateBytes(const PeerMessage& message)
    {
        if (const auto* it = std::get_if<LoanRequest>(&message))
            return 50 + it->quota.size() + 9 * it->finishedLoans.size();
        if (const auto* it = std::get_if<LoanReply>(&message))
            return 70 + it->quota.size();
        if (std::holds_alternative<ShareConfirm>(message))
            return 30;
        const auto* push = std::get_if<LedgerPush>(&message);
        if (push == nullptr)
            return 0;
        std::size_t n = 40;
        for (const auto& [key, entry] : push->ledger.quotas)
            n += 40 + key.size() + entry.holders.size() * 110;
        return n;
    }

    /// Whether a request refused for this reason spent no token. A request refused later has spent its tokens and
    /// counts as admitted.
    bool isRefusedBeforeAdmission(std::string_view reason)
    {
        constexpr std::array<std::string_view, 3> reasons { "rate-exceeded", "deadline-exceeded",
            "configuration-stale" };
        return std::find(reasons.begin(), reasons.end(), reason) != reasons.end();
    }

} // namespace

// --- Document and quota checks
// -----------------------------------------------------------------------------------------

Document makeDocument(const std::vector<TestAccount>& accounts)
{
    Document document;
    const NetworkOptions defaults;
    for (const auto& it : defaults.regions)
        document.regions.push_back({ it, { it + "-a", it + "-b" } });
    Service service;
    service.name = "svc";
    service.pathPrefix = "/svc/";
    document.services.push_back(service);
    for (const auto& it : accounts) {
        Account account;
        account.name = it.name;
        account.keys.push_back({ it.name, sha256Hex(it.name + ".secret"), false });
        account.ratePerSecond = it.rate;
        account.burst = it.burst;
        account.services = { "svc" };
        account.regions = defaults.regions;
        document.accounts.push_back(account);
    }
    return document;
}

const Outcome* findExcess(const std::vector<Outcome>& admissions, double rate, double burst)
{
    // The level is in units of 1e-12 tokens: a rate in micro-tokens per second times microseconds.
    const auto unitsPerMicro = std::llround(rate * 1e6);
    const auto fullLevel = std::llround(burst * 1e12);
    constexpr std::int64_t token = 1'000'000'000'000;
    auto level = fullLevel;
    const Outcome* previous = nullptr;
    for (const auto& it : admissions) {
        if (previous != nullptr) {
            const auto elapsed = (it.resolvedAt - previous->resolvedAt).count();
            level = elapsed > fullLevel / unitsPerMicro ? fullLevel
                                                        : std::min(fullLevel, level + elapsed * unitsPerMicro);
        }
        level -= token;
        if (level < 0)
            return &it;
        previous = &it;
    }
    return nullptr;
}

std::size_t countRefusalsWithinRate(std::vector<Outcome> outcomes, double rate, double burst)
{
    std::stable_sort(outcomes.begin(), outcomes.end(), [](auto& a, auto& b) { return a.arrivedAt < b.arrivedAt; });
    std::size_t refusedCount = 0;
    double level = burst;
    TimePoint last {};
    for (const auto& it : outcomes) {
        level = std::min(burst, level + rate * std::chrono::duration<double>(it.arrivedAt - last).count());
        last = it.arrivedAt;
        if (level < 1)
            continue;
        level -= 1;
        refusedCount += it.admitted ? 0 : 1;
    }
    return refusedCount;
}

// --- Network ---------------------------------------------------------------------------------------------------------

Network::Network(NetworkOptions options, Document document)
    : m_options(std::move(options))
    , m_document(std::move(document))
    , m_random(m_options.seed)
{
    for (const auto& region : m_options.regions) {
        for (std::size_t n = 0; n < m_options.nodesPerRegion; ++n) {
            Node node;
            node.self.process.vm = region + "-" + std::to_string(n);
            node.self.region = region;
            node.self.failureDomain = region + "-" + failureDomainSuffixes[n % failureDomainSuffixes.size()];
            node.clockOrigin = std::chrono::seconds(m_random.below(1'000'000));
            m_nodeIndices[node.self.process.vm] = m_nodes.size();
            m_nodes.push_back(std::move(node));
        }
    }
    for (auto& it : m_nodes)
        it.lastContactAt.resize(m_nodes.size());
    for (std::size_t n = 0; n < m_nodes.size(); ++n)
        start(n);
    updateMembership();
}

void Network::start(std::size_t node)
{
    auto& it = m_nodes[node];
    ++it.startCount;
    it.self.process.incarnation
        = (static_cast<Incarnation>(m_now.time_since_epoch().count() / 1000) << 22U) + m_random.below(1U << 22U);
    it.state = std::make_unique<State>(it.self, m_random.next());
    it.endedAt.reset();
    it.pausedUntil = {};
    std::fill(it.lastContactAt.begin(), it.lastContactAt.end(), TimePoint {});
    applyConfiguration(node);
    const auto startCount = it.startCount;
    scheduleOnNode(node, startCount, m_now + Duration(m_random.below(tickInterval.count())),
        [this, node, startCount] { tick(node, startCount); });
}

void Network::applyConfiguration(std::size_t node)
{
    auto& configuration = m_nodes[node].state->configuration;
    configuration.active = std::make_shared<ActiveDocument>(m_version, m_document);
    configuration.manifest.version = m_version;
    deliver(node, ConfigurationApplied { m_version });
}

void Network::tick(std::size_t node, std::uint64_t startCount)
{
    scheduleOnNode(node, startCount, m_now + tickInterval, [this, node, startCount] { tick(node, startCount); });
    m_nodes[node].state->configuration.confirmedAt = m_now + m_nodes[node].clockOrigin;
    deliver(node, Tick {});
}

void Network::updateMembership()
{
    scheduleAt(m_now + membershipInterval, [this] { updateMembership(); });
    const auto isResponsive = [this](std::size_t n) { return m_nodes[n].state && m_nodes[n].pausedUntil <= m_now; };
    for (std::size_t n = 0; n < m_nodes.size(); ++n) {
        if (!isResponsive(n))
            continue;
        for (std::size_t other = 0; other < m_nodes.size(); ++other) {
            if (other == n || !isResponsive(n))
                continue;
            const auto& peer = m_nodes[other];
            auto& observer = m_nodes[n];
            auto& members = observer.state->membership.members;
            const bool hasContact = isResponsive(other) && areConnected(n, other);
            if (hasContact)
                observer.lastContactAt[other] = m_now;
            if (!hasContact && !members.contains(peer.self.process.vm))
                continue;
            auto& record = members[peer.self.process.vm];
            const auto before = record;
            if (hasContact) {
                record.member = membership::selfMember(*peer.state);
                record.lastHeartbeatAt = m_now + observer.clockOrigin;
                record.gone = false;
            }
            record.suspected = m_now - observer.lastContactAt[other] >= suspicionTimeout;
            record.gone = record.gone || (peer.endedAt && m_now - *peer.endedAt >= maxVmListLag);
            if (record.gone)
                record.lastGoneIncarnation = record.member.process.incarnation;
            else if (record.member.process.incarnation > before.member.process.incarnation)
                record.lastGoneIncarnation = std::max(record.lastGoneIncarnation, before.member.process.incarnation);
            const auto process = record.member.process;
            if (before.member.process != process)
                deliver(n, MemberChanged { process, MemberChange::Joined });
            else if (record.gone && !before.gone)
                deliver(n, MemberChanged { process, MemberChange::Gone });
            else if (record.member.leaving && !before.member.leaving)
                deliver(n, MemberChanged { process, MemberChange::Leaving });
            else if (record.suspected != before.suspected)
                deliver(
                    n, MemberChanged { process, record.suspected ? MemberChange::Suspected : MemberChange::Trusted });
        }
    }
}

void Network::scheduleAt(TimePoint time, std::function<void()> action)
{
    m_scheduledActions.push({ time, ++m_lastSequence, std::move(action) });
}

void Network::runUntil(TimePoint time)
{
    while (!m_scheduledActions.empty() && m_scheduledActions.top().time <= time) {
        const auto action = m_scheduledActions.top();
        m_scheduledActions.pop();
        m_now = action.time;
        action.run();
    }
    m_now = time;
}

void Network::scheduleOnNode(std::size_t node, std::uint64_t startCount, TimePoint time, std::function<void()> action)
{
    scheduleAt(time, [this, node, startCount, action = std::move(action)] {
        const auto& it = m_nodes[node];
        if (!it.state || it.startCount != startCount)
            return;
        if (it.pausedUntil > m_now)
            return scheduleOnNode(node, startCount, it.pausedUntil, action);
        action();
    });
}

void Network::deliver(std::size_t node, const Event& event)
{
    auto& it = m_nodes[node];
    if (!it.state)
        return;
    Outbox outbox;
    reduce(*it.state, event, m_now + it.clockOrigin, outbox);
    recordOutcomes(node, outbox);
    for (const auto& effect : outbox.effects)
        performEffect(node, effect);
}

void Network::request(std::size_t node, const std::string& account)
{
    auto& it = m_nodes[node];
    if (!it.state)
        return;
    const auto id = ++m_lastRequestId;
    const auto arrivedAt = m_now;
    scheduleOnNode(node, it.startCount, m_now, [this, node, id, account, arrivedAt] {
        m_nodes[node].pending[id] = { account, arrivedAt };
        RequestArrived event;
        event.id = id;
        event.method = "GET";
        event.path = "/svc/item";
        event.key = account + ".secret";
        deliver(node, event);
    });
}

void Network::recordOutcomes(std::size_t node, const Outbox& outbox)
{
    auto& it = m_nodes[node];
    std::erase_if(it.pending, [&](const auto& entry) {
        const auto& [id, pending] = entry;
        const auto& requests = it.state->requests.requests;
        const auto request = requests.find(id);
        if (request != requests.end() && request->second.phase == RequestPhase::Admission)
            return false;
        // A request that left the admission phase without such a refusal has spent its tokens, even if it ended within
        // the same event. A request that waits while its process is paused may end with "deadline-exceeded" on resume.
        Outcome outcome { pending.arrivedAt, m_now, true, {} };
        for (const auto& effect : outbox.effects) {
            const auto* refusal = std::get_if<RefuseRequest>(&effect);
            if (refusal != nullptr && refusal->id == id && isRefusedBeforeAdmission(refusal->refusal.reason)) {
                outcome.admitted = false;
                outcome.retryAfter = refusal->refusal.retryAfter;
            }
        }
        m_outcomes[pending.account].push_back(outcome);
        return true;
    });
}

std::vector<Outcome> Network::admissions(const std::string& account) const
{
    std::vector<Outcome> found;
    const auto it = m_outcomes.find(account);
    if (it != m_outcomes.end())
        std::copy_if(
            it->second.begin(), it->second.end(), std::back_inserter(found), [](auto& o) { return o.admitted; });
    return found;
}

std::pair<MicroTokens, MicroTokens> Network::sumShares(const std::string& quota) const
{
    std::pair<MicroTokens, MicroTokens> sum;
    for (const auto& it : m_nodes) {
        if (!it.state || !it.state->quota.pools.contains(quota))
            continue;
        const auto& bucket = it.state->quota.pools.at(quota).bucket;
        sum.first += bucket.rate();
        sum.second += bucket.burst();
    }
    return sum;
}

// --- Faults ----------------------------------------------------------------------------------------------------------

void Network::pause(std::size_t node, Duration time) { m_nodes[node].pausedUntil = m_now + time; }

void Network::crash(std::size_t node)
{
    auto& it = m_nodes[node];
    if (!it.state)
        return;
    it.state.reset();
    it.pending.clear();
    it.endedAt = m_now;
}

void Network::restart(std::size_t node)
{
    crash(node);
    start(node);
}

void Network::setRegionIsolated(const std::string& region, bool isIsolated)
{
    if (isIsolated)
        m_isolatedRegions.insert(region);
    else
        m_isolatedRegions.erase(region);
}

void Network::setDocument(Document document)
{
    m_document = std::move(document);
    ++m_version;
    for (std::size_t n = 0; n < m_nodes.size(); ++n) {
        if (m_nodes[n].state)
            scheduleOnNode(n, m_nodes[n].startCount, m_now + Duration(m_random.below(2'000'000)),
                [this, n] { applyConfiguration(n); });
    }
}

// --- Messages --------------------------------------------------------------------------------------------------------

bool Network::areConnected(std::size_t a, std::size_t b) const
{
    const auto& from = m_nodes[a].self.region;
    const auto& to = m_nodes[b].self.region;
    return from == to || (!m_isolatedRegions.contains(from) && !m_isolatedRegions.contains(to));
}

void Network::send(std::size_t from, const SendMessage& message)
{
    const auto it = m_nodeIndices.find(message.to);
    if (it == m_nodeIndices.end())
        return;
    const auto to = it->second;
    const auto size = estimateBytes(message.message);
    m_counters.messages += size > 0 ? 1 : 0;
    m_counters.bytes += size;
    if (!areConnected(from, to) || m_random.unit() < m_options.dropProbability)
        return;
    const bool sameRegion = m_nodes[from].self.region == m_nodes[to].self.region;
    auto latency = sameRegion ? m_options.intraRegionLatency : m_options.interRegionLatency;
    if (m_random.unit() < m_options.extraLatencyProbability)
        latency += Duration(m_random.below(m_options.maxExtraLatency.count()));
    auto& last = m_lastDeliveryAt[{ from, to }];
    last = std::max(last + Duration(1), m_now + latency);
    const auto sender = m_nodes[from].self.process;
    scheduleAt(last, [this, to, sender, content = message.message] {
        scheduleOnNode(to, m_nodes[to].startCount, m_now, [this, to, sender, content] {
            deliver(to, PeerMessageReceived { sender, content });
        });
    });
}

// --- Store -----------------------------------------------------------------------------------------------------------

bool Network::canReachStore(std::size_t node) const
{
    const auto& region = m_nodes[node].self.region;
    const auto& home = m_options.regions.front();
    return !m_store.isDown
        && (region == home || (!m_isolatedRegions.contains(region) && !m_isolatedRegions.contains(home)));
}

Duration Network::oneWayStoreLatency(std::size_t node) const
{
    const bool home = m_nodes[node].self.region == m_options.regions.front();
    return m_options.storeLatency + (home ? m_options.intraRegionLatency : m_options.interRegionLatency);
}

void Network::scheduleStoreAnswer(std::size_t node, std::uint64_t startCount, Event event, Duration after)
{
    scheduleOnNode(node, startCount, m_now + after, [this, node, event = std::move(event)] { deliver(node, event); });
}

void Network::callStore(std::size_t node, const std::string& key, std::function<Event()> applyAtStore, StoreToken token)
{
    const auto startCount = m_nodes[node].startCount;
    scheduleAt(
        m_now + oneWayStoreLatency(node), [this, node, startCount, key, token, applyAtStore = std::move(applyAtStore)] {
            if (!canReachStore(node))
                return scheduleStoreAnswer(node, startCount,
                    StoreCallFailed { token, key, StoreFailure::Unavailable, "down" }, oneWayStoreLatency(node));
            scheduleStoreAnswer(node, startCount, applyAtStore(), oneWayStoreLatency(node));
        });
}

void Network::notifyWatches(const std::string& key)
{
    const auto& object = m_store.objects[key];
    for (const auto& it : m_watches) {
        if (it->isDone || it->call.key != key || it->call.after >= object.version || !canReachStore(it->node))
            continue;
        it->isDone = true;
        scheduleStoreAnswer(it->node, it->startCount, ObjectRead { it->call.token, key, object.version, object.value },
            oneWayStoreLatency(it->node));
    }
    std::erase_if(m_watches, [](const auto& it) { return it->isDone; });
}

void Network::performEffect(std::size_t node, const Effect& effect)
{
    if (const auto* it = std::get_if<SendMessage>(&effect))
        return send(node, *it);
    if (std::holds_alternative<ExitProcess>(effect))
        return scheduleAt(m_now, [this, node] { crash(node); });
    const auto isAnswered
        = [this](StoreToken token) { return m_options.answersAllTopics || topicOf(token) == StoreTopic::Quota; };
    if (const auto* it = std::get_if<ReadObject>(&effect); it != nullptr && isAnswered(it->token)) {
        ++m_counters.reads;
        callStore(
            node, it->key,
            [this, call = *it]() -> Event {
                const auto& object = m_store.objects[call.key];
                return ObjectRead { call.token, call.key, object.version, object.value };
            },
            it->token);
    } else if (const auto* write = std::get_if<WriteObject>(&effect); write != nullptr && isAnswered(write->token)) {
        ++m_counters.writes;
        callStore(
            node, write->key,
            [this, call = *write]() -> Event {
                auto& object = m_store.objects[call.key];
                if (object.version != call.expected)
                    return StoreCallFailed { call.token, call.key, StoreFailure::Conflict, "version" };
                object = { ++m_store.lastVersion, call.value };
                notifyWatches(call.key);
                if (m_random.unit() < m_options.lostAnswerProbability)
                    return StoreCallFailed { call.token, call.key, StoreFailure::Unknown, "lost" };
                return ObjectWritten { call.token, call.key, object.version };
            },
            write->token);
    } else if (const auto* watch = std::get_if<WatchObject>(&effect); watch != nullptr && isAnswered(watch->token)) {
        ++m_counters.watches;
        const auto startCount = m_nodes[node].startCount;
        auto entry = std::make_shared<ActiveWatch>(ActiveWatch { node, startCount, *watch, false });
        scheduleAt(m_now + oneWayStoreLatency(node), [this, node, startCount, entry] {
            const auto& call = entry->call;
            if (!canReachStore(node))
                return scheduleStoreAnswer(node, startCount,
                    StoreCallFailed { call.token, call.key, StoreFailure::Unavailable, "down" },
                    oneWayStoreLatency(node));
            m_watches.push_back(entry);
            notifyWatches(call.key);
        });
        scheduleAt(m_now + watchTimeout, [this, node, startCount, entry] {
            if (std::exchange(entry->isDone, true))
                return;
            std::erase(m_watches, entry);
            scheduleStoreAnswer(node, startCount,
                StoreCallFailed { entry->call.token, entry->call.key, StoreFailure::TimedOut, "" }, {});
        });
    }
}

} // namespace arbutuscrank::fakes
