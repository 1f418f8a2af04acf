#pragma once

#include <arbutuscrank/core/state.hpp>

#include <algorithm>
#include <functional>
#include <gtest/gtest.h>
#include <memory>

/// \file
/// \brief A few entries of one region with the routing topic only: views of the membership are set directly, messages
/// between the entries tryTake one millisecond. Invariants are checked after every event.

namespace arbutuscrank::routing_test {

inline constexpr Duration ms = std::chrono::milliseconds(1);
inline constexpr const char* serviceName = "kitty";
inline constexpr const char* regionName = "bangor";

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
    std::map<RequestId, std::string> running; ///< request to target
    std::map<RequestId, TimePoint> queued; ///< request to the time when it was queued
    std::map<RequestId, std::string> refused; ///< reasons of queue refusals
    std::map<LogEvent, int> logs;
    std::map<std::string, int> probes;
};

class Fleet {
public:
    Fleet(std::size_t entries, const Document& document)
    {
        for (std::size_t n = 0; n < entries; ++n)
            all.push_back(std::make_unique<Entry>(n));
        for (auto& a : all) {
            for (auto& b : all) {
                if (a != b)
                    hear(*a, *b);
            }
            apply(*a, document);
        }
    }

    Entry& operator[](std::size_t n) { return *all.at(n); }
    void hear(Entry& at, Entry& of) const
    {
        auto& entry = record(at, of);
        entry.member = membership::selfMember(of.state);
        entry.lastHeartbeatAt = now;
        entry.suspected = false;
    }
    static MemberRecord& record(Entry& at, Entry& of) { return at.state.membership.members[of.vm()]; }

    /// Runs a function of the topic on one entry and handles what it asks for.
    template <typename F> auto call(Entry& entry, F function)
    {
        Outbox outbox;
        Context context { now, outbox };
        if constexpr (std::is_void_v<decltype(function(entry.state, context))>) {
            function(entry.state, context);
            handle(entry, outbox);
            check();
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

    /// Lets one entry hear another one, or stops that.
    void view(std::size_t at, std::size_t of, bool acknowledgedReports)
    {
        record(*all[at], *all[of]).suspected = !acknowledgedReports;
        const auto change = acknowledgedReports ? MemberChange::Trusted : MemberChange::Suspected;
        changed(at, of, change);
    }
    void changed(std::size_t at, std::size_t of, MemberChange change)
    {
        if (!all[at]->alive)
            return;
        const auto process = all[of]->state.self.process;
        call(*all[at], [&](State& s, Context& c) { routing::onMemberChanged(s, { process, change }, c); });
    }
    /// Separates one entry from another, both ways, in views and messages.
    void separate(std::size_t a, std::size_t b, bool apart)
    {
        if (apart)
            m_cut.insert({ all[a]->vm(), all[b]->vm() });
        else
            m_cut.erase({ all[a]->vm(), all[b]->vm() });
        view(a, b, !apart);
        view(b, a, !apart);
    }
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
            return routing::route(s, { id, serviceName, account, regionName, now + 5000 * ms, &excluded, ownOnly }, c);
        });
        if (const auto* here = std::get_if<routing::RunHere>(&decision))
            entry.running[id] = here->target;
        else if (std::holds_alternative<routing::Queued>(decision))
            entry.queued[id] = now;
        check();
        return decision;
    }

    void end(Entry& entry, RequestId id, AttemptOutcome outcome = AttemptOutcome::Complete, bool shed = false,
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

    /// Delivers messages and ticks until the time is over.
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

    std::uint32_t sumOfShares(const std::string& name)
    {
        std::uint32_t sum = 0;
        for (auto& entry : all)
            sum += entry->alive && entry->target(name).owned ? entry->target(name).allowedSlots : 0;
        return sum;
    }
    std::size_t ownerOf(const std::string& name)
    {
        const auto it = std::find_if(
            all.begin(), all.end(), [&](const auto& entry) { return entry->alive && entry->target(name).owned; });
        return static_cast<std::size_t>(it - all.begin());
    }

    std::vector<std::unique_ptr<Entry>> all;
    std::set<VmId> excluded;
    TimePoint now { std::chrono::hours(1) };
    RequestId lastId = 0;
    bool oneOwnerPromised = true; ///< the sum of requests in flight at all owners is checked

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
                    if (all[n]->vm() == sent->to && !m_cut.contains({ entry.vm(), sent->to })
                        && !m_cut.contains({ sent->to, entry.vm() }))
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
                EXPECT_EQ(entry.queued.erase(granted->id), 1U) << "granted a request that does not wait";
                EXPECT_TRUE(entry.running.emplace(granted->id, granted->target).second) << "granted twice";
            } else if (const auto* refusal = std::get_if<QueueRefused>(&event)) {
                EXPECT_EQ(entry.queued.erase(refusal->id), 1U) << "refused a request that does not wait";
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

    void check()
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
                ASSERT_TRUE(!oneOwnerPromised || sums[target.name] <= target.slots)
                    << target.name << " runs " << sums[target.name] << " requests";
            }
            for (const auto& [name, service] : entry->state.routing.services) {
                ASSERT_TRUE(!entry->alive || service.queue.size() == entry->queued.size());
                ASSERT_LE(service.queue.size(), service.queueLimits.total);
            }
            for (const auto& [id, since] : entry->queued)
                ASSERT_LE(now - since, routing::queueWait + 51 * ms) << "a request waits past its bound";
        }
    }

    std::set<std::pair<VmId, VmId>> m_cut;
    std::vector<Message> m_messages;
    TimePoint m_nextTick = now;
    ManifestVersion m_version = 0;
};

} // namespace arbutuscrank::routing_test
