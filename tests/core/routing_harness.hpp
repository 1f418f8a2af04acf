#pragma once

#include <arbutuscrank/core/state.hpp>

#include <algorithm>
#include <functional>
#include <gtest/gtest.h>
#include <memory>

/// \file
/// \brief Simulation of a few entries of one region that run the routing topic only. Tests set the membership state
/// directly. Messages between entries are delivered at each tick, 1 ms after it and at the end of an advance, so that
/// they arrive after 1 to 50 ms. Invariants are checked after every event.

namespace arbutuscrank::routing_test {

inline constexpr Duration ms = std::chrono::milliseconds(1);
inline constexpr const char* serviceName = "kitty";
inline constexpr const char* regionName = "bangor";

/// A document with one service and its targets "t0", "t1" and so on in one failure domain.
/// \param slots of each target
inline Document makeDocument(std::size_t targets, std::uint32_t slots)
{
    Service service;
    service.name = serviceName;
    service.slotsPerTarget = slots;
    service.connectionsPerTarget = 800;
    for (std::size_t n = 0; n < targets; ++n) {
        const auto name = "t" + std::to_string(n);
        service.targets.push_back({ name, "10.0.0." + std::to_string(n) + ":80", regionName, "bangor-1", false });
    }
    Document document;
    document.services.push_back(std::move(service));
    return document;
}

/// One entry with its state and the effects that its routing topic requested.
struct Entry {
    explicit Entry(std::size_t n)
        : state({ { "vm" + std::to_string(10 + n), 100 }, regionName, "bangor-1", "", "10.1.0." + std::to_string(n) },
            20261204 + n)
    {
    }

    const VmId& vm() const { return state.self.process.vm; }
    RoutingTarget& target(const std::string& name)
    {
        return state.routing.targets.at(state.routing.targetIndex.at(name));
    }

    State state;
    bool alive = true;
    std::map<RequestId, std::string> running; ///< target by request
    std::map<RequestId, TimePoint> queued; ///< time of queueing by request
    std::map<RequestId, std::string> refused; ///< reason of the queue refusal by request
    std::map<LogEvent, int> logs; ///< number of log lines by event
    std::map<std::string, int> probes; ///< number of probes by target
};

/// Entries that exchange messages in simulated time.
class Fleet {
public:
    Fleet(std::size_t entries, const Document& document)
    {
        for (std::size_t n = 0; n < entries; ++n)
            all.push_back(std::make_unique<Entry>(n));
        for (auto& a : all) {
            for (auto& b : all) {
                if (a != b)
                    introduce(*a, *b);
            }
            apply(*a, document);
        }
    }

    Entry& operator[](std::size_t n) { return *all.at(n); }
    /// Makes one entry a trusted member in the membership state of another.
    void introduce(Entry& observer, Entry& subject) const
    {
        auto& entry = record(observer, subject);
        entry.member = membership::selfMember(subject.state);
        entry.lastHeartbeatAt = now;
        entry.suspected = false;
    }
    /// Record of one entry in the membership state of another.
    static MemberRecord& record(Entry& observer, Entry& subject)
    {
        return observer.state.membership.members[subject.vm()];
    }

    /// Runs a function of the topic on one entry and handles its effects and follow-up events.
    template <typename F> auto call(Entry& entry, F function)
    {
        Outbox outbox;
        Context context { now, outbox };
        if constexpr (std::is_void_v<decltype(function(entry.state, context))>) {
            function(entry.state, context);
            handle(entry, outbox);
            checkInvariants();
        } else {
            auto result = function(entry.state, context);
            handle(entry, outbox);
            return result;
        }
    }

    void apply(Entry& entry, const Document& document)
    {
        entry.state.configuration.active = std::make_shared<ActiveDocument>(++m_version, document);
        call(entry, [](State& s, Context& c) { routing::onConfigurationApplied(s, {}, c); });
    }

    /// Sets whether one entry hears another one, and notifies it of the change.
    void setHeard(std::size_t observer, std::size_t subject, bool heard)
    {
        record(*all[observer], *all[subject]).suspected = !heard;
        const auto change = heard ? MemberChange::Trusted : MemberChange::Suspected;
        notifyMemberChange(observer, subject, change);
    }
    void notifyMemberChange(std::size_t observer, std::size_t subject, MemberChange change)
    {
        if (!all[observer]->alive)
            return;
        const auto process = all[subject]->state.self.process;
        call(*all[observer], [&](State& s, Context& c) { routing::onMemberChanged(s, { process, change }, c); });
    }
    /// Cuts or restores the link between two entries in both directions, for membership and messages.
    void setSeparated(std::size_t a, std::size_t b, bool separated)
    {
        if (separated)
            m_blockedLinks.insert({ all[a]->vm(), all[b]->vm() });
        else
            m_blockedLinks.erase({ all[a]->vm(), all[b]->vm() });
        setHeard(a, b, !separated);
        setHeard(b, a, !separated);
    }
    /// Crashes an entry together with its requests.
    void kill(std::size_t n)
    {
        all[n]->alive = false;
        all[n]->running.clear();
        all[n]->queued.clear();
    }

    routing::Decision request(Entry& entry, std::string_view account = "a", bool ownOnly = true)
    {
        const auto id = ++lastId;
        auto decision = call(entry, [&](State& s, Context& c) {
            return routing::route(
                s, { id, serviceName, account, regionName, now + 5000 * ms, &excludedOwners, ownOnly }, c);
        });
        if (const auto* here = std::get_if<routing::RunHere>(&decision))
            entry.running[id] = here->target;
        else if (std::holds_alternative<routing::Queued>(decision))
            entry.queued[id] = now;
        checkInvariants();
        return decision;
    }

    void endRequest(Entry& entry, RequestId id, AttemptOutcome outcome = AttemptOutcome::Complete, bool shed = false,
        Duration took = 10 * ms, std::optional<double> load = {})
    {
        const auto target = entry.running.at(id);
        entry.running.erase(id);
        AttemptEnded event;
        event.id = id;
        event.attempt = 1;
        event.outcome = outcome;
        event.shed = shed;
        event.status = shed ? 429 : 0;
        event.reportedLoad = load;
        call(entry, [&](State& s, Context& c) { routing::recordAttemptEnd(s, target, event, took, c); });
    }

    void cancelQueued(Entry& entry)
    {
        while (!entry.queued.empty()) {
            const auto id = entry.queued.begin()->first;
            entry.queued.erase(id);
            call(entry, [id](State& s, Context& c) { routing::cancelQueued(s, id, c); });
        }
    }

    /// Advances the simulated time, delivering messages and ticks.
    void advance(Duration time)
    {
        const auto until = now + time;
        while (now < until) {
            now = std::min(until, m_nextTick);
            deliver();
            if (now == m_nextTick) {
                m_nextTick += 50 * ms;
                for (auto& entry : all) {
                    if (entry->alive)
                        call(*entry, [](State& s, Context& c) { routing::onTick(s, c); });
                }
                now += ms;
                deliver();
            }
        }
    }

    /// Allowed slots on a target, summed over all live owners.
    std::uint32_t sumOfAllowedSlots(const std::string& name)
    {
        std::uint32_t sum = 0;
        for (auto& entry : all)
            sum += entry->alive && entry->target(name).owned ? entry->target(name).allowedSlots : 0;
        return sum;
    }
    /// Index of the first live entry that owns a target.
    std::size_t ownerOf(const std::string& name)
    {
        const auto it = std::find_if(
            all.begin(), all.end(), [&](const auto& entry) { return entry->alive && entry->target(name).owned; });
        return static_cast<std::size_t>(it - all.begin());
    }

    std::vector<std::unique_ptr<Entry>> all;
    std::set<VmId> excludedOwners;
    TimePoint now { std::chrono::hours(1) };
    RequestId lastId = 0;
    bool checksTotalInFlight = true; ///< checks that the requests of all owners on a target do not exceed its slots

private:
    struct Message {
        std::size_t to = 0;
        ProcessId from;
        PeerMessage message;
    };

    void handle(Entry& entry, Outbox& outbox)
    {
        for (auto& effect : outbox.effects) {
            if (auto* sent = std::get_if<SendMessage>(&effect)) {
                for (std::size_t n = 0; n < all.size(); ++n) {
                    if (all[n]->vm() == sent->to && !m_blockedLinks.contains({ entry.vm(), sent->to })
                        && !m_blockedLinks.contains({ sent->to, entry.vm() }))
                        m_messages.push_back({ n, entry.state.self.process, std::move(sent->message) });
                }
            } else if (auto* log = std::get_if<WriteLog>(&effect)) {
                ++entry.logs[log->event];
            } else if (auto* probe = std::get_if<ProbeTarget>(&effect)) {
                ++entry.probes[probe->target];
            }
        }
        for (auto& event : outbox.followUps) {
            if (const auto* granted = std::get_if<SlotGranted>(&event)) {
                EXPECT_EQ(entry.queued.erase(granted->id), 1U) << "granted a slot to a request that is not queued";
                EXPECT_TRUE(entry.running.emplace(granted->id, granted->target).second)
                    << "granted a second slot to a request";
            } else if (const auto* refusal = std::get_if<QueueRefused>(&event)) {
                EXPECT_EQ(entry.queued.erase(refusal->id), 1U) << "refused a request that is not queued";
                entry.refused[refusal->id] = refusal->reason;
            }
        }
    }

    void deliver()
    {
        auto messages = std::move(m_messages);
        m_messages.clear();
        for (auto& it : messages) {
            if (!all[it.to]->alive)
                continue;
            call(*all[it.to], [&](State& s, Context& c) {
                if (const auto* query = std::get_if<OwnerQuery>(&it.message))
                    routing::onOwnerQuery(s, it.from, *query, c);
                else if (const auto* reply = std::get_if<OwnerReply>(&it.message))
                    routing::onOwnerReply(s, it.from, *reply, c);
            });
        }
    }

    /// Checks slot counts, slot limits, queue lengths and queue waits of all entries.
    void checkInvariants()
    {
        std::map<std::string, std::uint32_t> sums;
        for (auto& entry : all) {
            std::map<std::string, std::uint32_t> counts;
            for (const auto& [id, target] : entry->running)
                ++counts[target];
            for (const auto& target : entry->state.routing.targets) {
                if (entry->alive) {
                    ASSERT_EQ(target.inFlight, counts[target.name]) << target.name;
                    ASSERT_LE(target.inFlight, target.slots) << target.name;
                    sums[target.name] += target.inFlight;
                }
                ASSERT_TRUE(!checksTotalInFlight || sums[target.name] <= target.slots)
                    << target.name << " runs " << sums[target.name] << " requests";
            }
            for (const auto& [name, service] : entry->state.routing.services) {
                ASSERT_TRUE(!entry->alive || service.queue.size() == entry->queued.size());
                ASSERT_LE(service.queue.size(), service.queueLimits.total);
            }
            for (const auto& [id, since] : entry->queued)
                ASSERT_LE(now - since, routing::maxQueueWait + 51 * ms) << "a request waits longer than maxQueueWait";
        }
    }

    std::set<std::pair<VmId, VmId>> m_blockedLinks;
    std::vector<Message> m_messages;
    TimePoint m_nextTick = now;
    ManifestVersion m_version = 0;
};

} // namespace arbutuscrank::routing_test
