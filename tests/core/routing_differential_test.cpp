#include "core/routing_harness.hpp"

#include <rapidcheck/gtest.h>

// Compares the queue, slot counts and choice of owner with reference versions that recompute everything from a plain
// log.

namespace arbutuscrank::routing_test {
namespace {

    /// Reference for FairQueue: a list of waiting requests and a list of turns, scanned in full by every operation.
    struct NaiveQueue {
        struct Item {
            std::string account;
            RequestId id;
            TimePoint expires;
        };

        [[nodiscard]] std::size_t length(const std::string& account) const
        {
            return static_cast<std::size_t>(
                std::count_if(items.begin(), items.end(), [&](const Item& item) { return item.account == account; }));
        }
        void removeEmptyTurns()
        {
            std::erase_if(turns, [this](const std::string& account) { return length(account) == 0; });
        }
        std::pair<bool, std::optional<RequestId>> push(
            const std::string& account, RequestId id, TimePoint expires, const FairQueue::Limits& limits)
        {
            if (length(account) >= limits.perAccount)
                return { false, {} };
            std::optional<RequestId> displaced;
            if (items.size() >= limits.total) {
                std::string longest;
                for (const auto& item : items) {
                    const auto n = length(item.account);
                    if (longest.empty() || n > length(longest) || (n == length(longest) && item.account < longest))
                        longest = item.account;
                }
                if (longest.empty() || length(longest) < length(account) + 2)
                    return { false, {} };
                for (std::size_t n = items.size(); n-- > 0 && !displaced;) {
                    if (items[n].account == longest) {
                        displaced = items[n].id;
                        items.erase(items.begin() + static_cast<std::ptrdiff_t>(n));
                    }
                }
            }
            if (length(account) == 0)
                turns.push_back(account);
            items.push_back({ account, id, expires });
            return { true, displaced };
        }
        std::optional<RequestId> pop()
        {
            if (items.empty())
                return {};
            const auto account = turns.front();
            const auto it
                = std::find_if(items.begin(), items.end(), [&](const Item& item) { return item.account == account; });
            const auto id = it->id;
            items.erase(it);
            turns.erase(turns.begin());
            turns.push_back(account);
            removeEmptyTurns();
            return id;
        }
        std::set<RequestId> removeIf(const std::function<bool(const Item&)>& matches)
        {
            std::set<RequestId> removed;
            std::erase_if(items, [&](const Item& item) { return matches(item) && removed.insert(item.id).second; });
            removeEmptyTurns();
            return removed;
        }

        std::vector<Item> items;
        std::vector<std::string> turns;
    };

    // Guards against a fair queue that serves accounts out of turn, exceeds a limit, displaces the wrong request, or
    // loses or repeats one.
    RC_GTEST_PROP(RoutingDifferential, FairQueueMatchesNaiveQueue, ())
    {
        const FairQueue::Limits limits { *rc::gen::inRange<std::uint32_t>(0, 5),
            *rc::gen::inRange<std::uint32_t>(0, 9) };
        FairQueue queue;
        NaiveQueue naive;
        TimePoint now {};
        RequestId lastId = 0;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
        for (const auto step : steps) {
            now += (step % 7) * ms;
            if (step % 10 < 5) {
                const std::string account(1, static_cast<char>('a' + step % 4));
                const auto expires = now + (step % 50) * ms;
                const auto result = queue.push(account, ++lastId, expires, limits);
                const auto expected = naive.push(account, lastId, expires, limits);
                RC_ASSERT(result.queued == expected.first);
                RC_ASSERT(result.displaced == expected.second);
            } else if (step % 10 < 7) {
                RC_ASSERT(queue.pop() == naive.pop());
            } else if (step % 10 < 9) {
                const auto id = lastId - std::min<RequestId>(lastId, static_cast<RequestId>(step % 5));
                RC_ASSERT(
                    queue.remove(id) == !naive.removeIf([id](const auto& item) { return item.id == id; }).empty());
            } else {
                const auto expired = queue.takeExpired(now);
                RC_ASSERT(std::set<RequestId>(expired.begin(), expired.end())
                    == naive.removeIf([now](const auto& item) { return item.expires <= now; }));
            }
            RC_ASSERT(queue.size() == naive.items.size());
            RC_ASSERT(queue.accounts() == naive.turns.size());
            RC_ASSERT(queue.size() <= limits.total);
        }
    }

    // Guards against wrong slot counts: a request runs if and only if a plain count of running requests leaves a slot
    // free, and it goes to a target with the fewest.
    RC_GTEST_PROP(RoutingDifferential, SlotsMatchPlainCounts, ())
    {
        const auto targets = *rc::gen::inRange<std::size_t>(1, 6);
        const auto slots = *rc::gen::inRange<std::uint32_t>(1, 5);
        Fleet fleet(1, makeDocument(targets, slots));
        auto& entry = fleet[0];
        std::vector<std::string> order; ///< accounts of waiting requests
        for (const auto step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000))) {
            std::map<std::string, std::uint32_t> counts;
            for (std::size_t n = 0; n < targets; ++n)
                counts["t" + std::to_string(n)] = 0;
            for (const auto& [id, target] : entry.running)
                ++counts[target];
            const auto least = std::min_element(counts.begin(), counts.end(), [](const auto& a, const auto& b) {
                return a.second < b.second;
            })->second;
            if (step % 3 < 2) {
                const auto decision = fleet.request(entry, "a");
                const auto* here = std::get_if<routing::RunHere>(&decision);
                RC_ASSERT((here != nullptr) == (least < slots));
                if (here != nullptr)
                    RC_ASSERT(counts.at(here->target) == least);
            } else if (!entry.running.empty()) {
                const auto waiting = entry.queued.size();
                auto it = entry.running.begin();
                std::advance(it, static_cast<std::size_t>(step) % entry.running.size());
                fleet.endRequest(entry, it->first);
                RC_ASSERT(entry.queued.size() == (waiting == 0 ? 0 : waiting - 1));
            }
            RC_ASSERT(!::testing::Test::HasFailure());
        }
    }

    /// A forward to an owner.
    struct LoggedForward {
        RequestId id;
        VmId owner;
        int heartbeat; ///< number of heartbeats received from the owner before the forward
        bool ended = false;
    };

    // Guards against a wrong load estimate: of the two owners drawn, the entry must choose the one with more free slots
    // according to a replay of the log.
    RC_GTEST_PROP(RoutingDifferential, OwnerChoiceMatchesReplay, ())
    {
        Fleet fleet(6, makeDocument(18, 2));
        auto& entry = fleet[0];
        while (std::holds_alternative<routing::RunHere>(fleet.request(entry))) { }
        fleet.cancelQueued(entry);
        std::map<VmId, std::uint32_t> owned;
        for (const auto& target : entry.state.routing.targets)
            ++owned[target.owner];
        owned.erase(entry.vm());
        std::vector<VmId> owners; ///< each repeated once per target that it owns
        owners.reserve(18);
        for (const auto& [vm, count] : owned)
            owners.insert(owners.end(), count, vm);
        struct Report {
            int heartbeats = 0;
            std::uint32_t slots = 0;
            std::uint32_t busy = 0;
        };
        std::map<VmId, Report> reports;
        std::vector<LoggedForward> log;
        const auto freeSlots = [&](const VmId& vm) {
            const auto& report = reports[vm];
            const int slots = static_cast<int>(report.heartbeats > 0 ? report.slots : 2 * owned[vm]);
            int endedSince = 0;
            int outstanding = 0;
            for (const auto& it : log) {
                if (it.owner == vm && it.heartbeat == report.heartbeats)
                    outstanding += it.ended ? 0 : 1;
                else if (it.owner == vm && it.ended)
                    ++endedSince;
            }
            return slots - std::max(static_cast<int>(report.busy) - endedSince, 0) - outstanding;
        };
        for (const auto step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10'000))) {
            const auto& vm = owners[static_cast<std::size_t>(step / 10) % owners.size()];
            if (step % 10 == 0) {
                auto& report = reports[vm];
                // The report no longer counts the forwards that ended before this heartbeat, so they are erased.
                std::erase_if(log, [&](const LoggedForward& it) { return it.owner == vm && it.ended; });
                const auto outstandingForwards = static_cast<std::uint32_t>(
                    std::count_if(log.begin(), log.end(), [&](const LoggedForward& it) { return it.owner == vm; }));
                report = { report.heartbeats + 1, 2 * owned[vm],
                    outstandingForwards + static_cast<std::uint32_t>(step / 10 % 3) };
                Heartbeat heartbeat;
                heartbeat.sender.process = { vm, 100 };
                heartbeat.loads = { { serviceName, report.slots, report.busy, 0 } };
                fleet.call(entry, [&](State& s, Context& c) { routing::onHeartbeat(s, heartbeat, c); });
            } else if (step % 10 < 6) {
                auto draws = entry.state.random;
                const auto& a = owners[draws.below(owners.size())];
                auto b = a;
                for (int n = 0; n < 5 && b == a; ++n)
                    b = owners[draws.below(owners.size())];
                const auto best = std::max(freeSlots(a), freeSlots(b));
                if (best <= 0)
                    continue; // the expected wait decides then, also against the own queue
                const auto decision = fleet.request(entry, "a", false);
                const auto* forward = std::get_if<routing::ForwardTo>(&decision);
                RC_ASSERT(forward != nullptr);
                RC_ASSERT(forward->owner == a || forward->owner == b);
                RC_ASSERT(freeSlots(forward->owner) == best);
                log.push_back({ fleet.lastId, forward->owner, reports[forward->owner].heartbeats });
            } else if (!log.empty()) {
                auto& it = log[static_cast<std::size_t>(step) % log.size()];
                if (it.ended)
                    continue;
                it.ended = true;
                AttemptEnded event;
                event.id = it.id;
                event.outcome = AttemptOutcome::Complete;
                fleet.call(entry,
                    [&](State& s, Context& c) { routing::recordForwardEnd(s, it.owner, serviceName, event, c); });
            }
        }
    }

    // Guards against an entry that sends all forwards to one owner when heartbeats are lost: without reports it must
    // spread them by its own counts.
    TEST(RoutingDifferential, ForwardsSpreadWithoutHeartbeats)
    {
        Fleet fleet(6, makeDocument(18, 2));
        std::map<VmId, int> counts;
        for (int n = 0; n < 36; ++n) {
            const auto decision = fleet.request(fleet[0], "a", false);
            if (const auto* forward = std::get_if<routing::ForwardTo>(&decision))
                ++counts[forward->owner];
        }
        std::map<VmId, int> slots;
        for (const auto& target : fleet[0].state.routing.targets)
            slots[target.owner] += 2;
        for (const auto& [vm, count] : counts)
            EXPECT_LE(count, slots[vm] + 3) << vm;
    }

    // Guards against forwards to an owner that just refused the account or could not be connected. A refusal affects
    // one account only, a failed connect all of them.
    TEST(RoutingDifferential, OwnersThatRefusedAreAvoided)
    {
        Fleet fleet(2, makeDocument(8, 1));
        auto& entry = fleet[0];
        const auto refuse = [&](bool shed) {
            AttemptEnded event;
            event.id = fleet.lastId;
            event.outcome = AttemptOutcome::NotRun;
            event.shed = shed;
            event.status = shed ? 503 : 0;
            event.retryAfter = shed ? 400 * ms : Duration {};
            fleet.call(entry,
                [&](State& s, Context& c) { routing::recordForwardEnd(s, fleet[1].vm(), serviceName, event, c); });
        };
        const auto forwards = [&](std::string_view account) {
            const auto decision = fleet.request(entry, account, false);
            fleet.cancelQueued(entry);
            return std::holds_alternative<routing::ForwardTo>(decision);
        };
        while (std::holds_alternative<routing::RunHere>(fleet.request(entry))) { }
        fleet.cancelQueued(entry);
        ASSERT_TRUE(forwards("a"));
        refuse(true);
        EXPECT_FALSE(forwards("a"));
        EXPECT_TRUE(forwards("b"));
        fleet.advance(450 * ms);
        EXPECT_TRUE(forwards("a"));
        refuse(false);
        EXPECT_FALSE(forwards("b"));
        fleet.advance(1050 * ms);
        EXPECT_TRUE(forwards("b"));
        fleet.excludedOwners.insert(fleet[1].vm());
        EXPECT_FALSE(forwards("b"));
    }

} // namespace
} // namespace arbutuscrank::routing_test
