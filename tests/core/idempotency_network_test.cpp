#include <arbutuscrank/core/random.hpp>
#include <arbutuscrank/core/reduce.hpp>
#include <arbutuscrank/core/state.hpp>

#include <gtest/gtest.h>

#include <iostream>
#include <map>
#include <memory>
#include <set>

/// \file
/// \brief Tests of the topic "idempotency" with several daemons, whose messages are delayed, duplicated and lost.

namespace arbutuscrank {

namespace {

    constexpr Duration step = std::chrono::milliseconds(50);
    const std::string account = "shop";

    /// Simulated network of the entries e0 and e1 and the record holders h0, h1 and h2 of one account.
    class Network {
    public:
        static constexpr std::size_t entryCount = 2;
        static constexpr std::size_t holderCount = 3;

        explicit Network(std::uint64_t seed)
            : m_random(seed)
        {
            for (std::size_t n = 0; n < entryCount; ++n)
                restart("e" + std::to_string(n));
            for (std::size_t n = 0; n < holderCount; ++n)
                restart("h" + std::to_string(n));
        }

        std::uint64_t lossPercent = 0;
        std::uint64_t maxDelaySteps = 0;
        std::set<std::pair<VmId, VmId>> cutLinks; ///< pairs of entry and holder whose messages are dropped

        State& state(const VmId& vm) { return *m_states.at(vm); }
        Random& random() { return m_random; }

        /// Starts a new incarnation of a VM without any records.
        void restart(const VmId& vm)
        {
            m_states[vm] = std::make_unique<State>(Self { { vm, ++m_incarnation }, "r", "d", "", "" }, m_incarnation);
            for (auto& [name, it] : m_states) {
                for (auto& [otherName, other] : m_states) {
                    if (name == otherName)
                        continue;
                    MemberRecord record;
                    record.member = { other->self.process, "r", "d", "", "", false };
                    record.lastHeartbeatAt = m_now;
                    record.suspected = false;
                    it->membership.members[otherName] = std::move(record);
                }
                if (name != vm)
                    handle(name, [&](State& s, Context& c) {
                        idempotency::onMemberChanged(s, { m_states[vm]->self.process, MemberChange::Joined }, c);
                    });
            }
        }
        /// Drops the messages between an entry and a holder, and sets whether the entry suspects the holder.
        void cutOff(const VmId& entry, const VmId& holder, bool suspected)
        {
            cutLinks.emplace(entry, holder);
            state(entry).membership.members.at(holder).suspected = suspected;
        }

        void reserve(const VmId& entry, RequestId id, const std::string& key)
        {
            handle(entry, [&](State& s, Context& c) {
                // The holders are passed directly, because this network has no quota ledger to choose them by.
                idempotency::reserveWithHolders(s, id, account, key, { "h0", "h1", "h2" }, c);
            });
        }
        /// Ends a granted request with an outcome.
        void endRequest(const VmId& entry, RequestId id, RecordState outcome)
        {
            handle(entry, [&](State& s, Context& c) { idempotency::reportOutcome(s, id, outcome, c); });
        }

        /// Advances the time by one step, delivers the messages that are due and runs a tick on each VM.
        void advance()
        {
            m_now += step;
            const auto due = m_messagesInFlight.upper_bound(m_now);
            std::vector<std::pair<VmId, PeerMessageReceived>> arrived;
            for (auto it = m_messagesInFlight.begin(); it != due; ++it)
                arrived.push_back(std::move(it->second));
            m_messagesInFlight.erase(m_messagesInFlight.begin(), due);
            for (auto& [to, event] : arrived)
                deliver(to, event);
            for (const auto& [vm, it] : m_states)
                handle(vm, [](State& s, Context& c) { idempotency::onTick(s, c); });
        }
        void advanceBy(Duration time)
        {
            for (auto n = time / step; n > 0; --n)
                advance();
        }

        /// Whether a holder has the record of a request that may run.
        bool hasRecordOf(const VmId& holder, const std::pair<VmId, RequestId>& request, const std::string& key)
        {
            const auto& entry = state(request.first);
            const auto reservationId = entry.idempotency.granted.at(request.second).reservationId;
            const auto& accounts = state(holder).idempotency.accounts;
            const auto records = accounts.find(account);
            if (records == accounts.end() || !records->second.records.contains(key))
                return false;
            const auto& record = records->second.records.at(key);
            return record.owner == entry.self.process && record.reservationId == reservationId;
        }

        /// Results of the reservations by entry and request.
        std::map<std::pair<VmId, RequestId>, ReservationResolved> resolved;

        [[nodiscard]] bool mayRun(const VmId& entry, RequestId id) const
        {
            const auto it = resolved.find({ entry, id });
            return it != resolved.end() && it->second.available && it->second.state == RecordState::New;
        }

    private:
        template <typename F> void handle(const VmId& vm, F&& call)
        {
            Outbox outbox;
            Context context { m_now, outbox };
            call(*m_states.at(vm), context);
            for (const auto& it : outbox.followUps) {
                const auto& answer = std::get<ReservationResolved>(it);
                EXPECT_TRUE(resolved.emplace(std::pair(vm, answer.id), answer).second) << "resolved twice";
            }
            for (const auto& it : outbox.effects)
                send(vm, std::get<SendMessage>(it));
        }
        void send(const VmId& from, const SendMessage& message)
        {
            const auto copies
                = m_random.below(100) < lossPercent ? 0U : 1U + (maxDelaySteps > 0 && m_random.below(5) == 0);
            for (auto n = copies; n > 0; --n) {
                const auto delay
                    = maxDelaySteps == 0 ? Duration {} : step * static_cast<int>(m_random.below(maxDelaySteps + 1));
                m_messagesInFlight.emplace(m_now + delay,
                    std::pair(message.to, PeerMessageReceived { m_states.at(from)->self.process, message.message }));
            }
        }
        void deliver(const VmId& to, const PeerMessageReceived& event)
        {
            if (cutLinks.contains({ to, event.from.vm }) || cutLinks.contains({ event.from.vm, to }))
                return;
            handle(to, [&](State& s, Context& c) {
                if (const auto* request = std::get_if<ReserveRequest>(&event.message))
                    idempotency::onReserveRequest(s, event.from, *request, c);
                else if (const auto* reply = std::get_if<ReserveReply>(&event.message))
                    idempotency::onReserveReply(s, event.from, *reply, c);
                else
                    idempotency::onRecordOutcome(s, event.from, std::get<RecordOutcome>(event.message), c);
            });
        }

        Random m_random;
        TimePoint m_now;
        Incarnation m_incarnation = 0;
        std::map<VmId, std::unique_ptr<State>> m_states;
        std::multimap<TimePoint, std::pair<VmId, PeerMessageReceived>> m_messagesInFlight;
    };

} // namespace

// Guards against a repeated request that runs at another entry.
TEST(IdempotencyNetwork, ARepeatedKeyAtAnotherEntryReturnsTheStateOfTheFirstRequest)
{
    Network net(1);
    net.reserve("e0", 1, "k");
    net.advanceBy(step * 4);
    ASSERT_TRUE(net.mayRun("e0", 1));
    net.reserve("e1", 1, "k");
    net.advanceBy(step * 4);
    EXPECT_EQ((net.resolved.at({ "e1", 1 }).state), RecordState::Started);
    net.endRequest("e0", 1, RecordState::Complete);
    net.advanceBy(step * 4);
    net.reserve("e1", 2, "k");
    net.advanceBy(step * 4);
    EXPECT_EQ((net.resolved.at({ "e1", 2 }).state), RecordState::Complete);
}

// Guards against a key that stays blocked because the message that removes its record was lost.
TEST(IdempotencyNetwork, ARequestThatDidNotRunReleasesItsKey)
{
    Network net(1);
    net.reserve("e0", 1, "k");
    net.advanceBy(step * 4);
    net.lossPercent = 100; // the first removal is lost and retransmitted
    net.endRequest("e0", 1, RecordState::NotRun);
    net.lossPercent = 0;
    net.advanceBy(std::chrono::seconds(2));
    net.reserve("e1", 1, "k");
    net.advanceBy(step * 4);
    EXPECT_TRUE(net.mayRun("e1", 1));
}

// Guards against a request that runs without the answer of a holder that may have its record, or that waits forever.
TEST(IdempotencyNetwork, AnUnresponsiveTrustedHolderMakesTheKeyUnavailableAfterOneSecond)
{
    Network net(1);
    net.cutOff("e0", "h0", false);
    net.reserve("e0", 1, "k");
    net.advanceBy(idempotency::reserveTimeout - step * 2);
    EXPECT_TRUE(net.resolved.empty());
    net.advanceBy(step * 2);
    EXPECT_FALSE((net.resolved.at({ "e0", 1 }).available));
}

// Guards against a key that is unavailable while one holder is down, and against a request that runs on the answers of
// holders that may have lost their records.
TEST(IdempotencyNetwork, TwoLongRunningHoldersAreEnoughIfTheThirdIsSuspected)
{
    Network net(1);
    net.advance();
    net.cutOff("e0", "h0", true);
    net.reserve("e0", 1, "young");
    net.advanceBy(std::chrono::seconds(2));
    EXPECT_FALSE(net.mayRun("e0", 1)) << "a holder may have restarted and lost the record";
    net.advanceBy(idempotency::recordLifetime);
    net.reserve("e0", 2, "old");
    net.advanceBy(step * 4);
    EXPECT_TRUE(net.mayRun("e0", 2));
    net.cutOff("e0", "h1", true);
    net.reserve("e0", 3, "one answer");
    net.advanceBy(std::chrono::seconds(2));
    EXPECT_FALSE(net.mayRun("e0", 3));
}

// Guards against a second run of a request whose record no reachable holder has. Of the holders that have the record,
// h0 is unreachable for the second entry and h1 has restarted; h2 never received it.
TEST(IdempotencyNetwork, ARestartedHolderDoesNotReplaceAnUnreachableOne)
{
    Network net(1);
    net.advanceBy(idempotency::recordLifetime + step);
    net.cutOff("e0", "h2", true);
    net.reserve("e0", 1, "k");
    net.advanceBy(step * 4);
    ASSERT_TRUE(net.mayRun("e0", 1));
    net.restart("h1");
    net.cutOff("e1", "h0", true);
    net.reserve("e1", 1, "k");
    net.advanceBy(std::chrono::seconds(2));
    EXPECT_FALSE(net.mayRun("e1", 1));
}

// Guards against two runs for one key. At most one request per key may run as long as at least one holder that has its
// record does not restart.
TEST(IdempotencyNetwork, RandomSchedulesNeverRunAKeyTwice)
{
    std::size_t runCount = 0;
    for (std::uint64_t seed = 20261204; seed < 20261204 + 400; ++seed) {
        Network net(seed);
        auto& random = net.random();
        if (random.below(2) == 0)
            net.advanceBy(idempotency::recordLifetime + step);
        net.lossPercent = random.below(30);
        net.maxDelaySteps = random.below(8);
        std::map<std::string, std::set<VmId>>
            holdersOfRecord; // holders with the record of the latest run that have not restarted since
        std::map<std::pair<VmId, RequestId>, std::string> openRequests;
        std::map<std::string, std::pair<VmId, RequestId>> runs;
        RequestId id = 0;
        for (int n = 0; n < 120; ++n) {
            const auto entry = "e" + std::to_string(random.below(Network::entryCount));
            const auto holder = "h" + std::to_string(random.below(Network::holderCount));
            switch (random.below(12)) {
            case 0:
                net.restart(holder);
                for (auto& [key, set] : holdersOfRecord)
                    set.erase(holder);
                break;
            case 1:
                net.cutOff(entry, holder, random.below(2) == 0);
                break;
            case 2:
                net.cutLinks.clear();
                for (const auto* it : { "h0", "h1", "h2" })
                    net.state(entry).membership.members.at(it).suspected = false;
                break;
            default: {
                const auto key = std::to_string(random.below(4));
                openRequests[{ entry, ++id }] = key;
                net.reserve(entry, id, key);
            }
            }
            for (auto steps = random.below(8); steps > 0; --steps) {
                net.advance();
                for (const auto& [request, key] : openRequests) {
                    if (!net.mayRun(request.first, request.second))
                        continue;
                    const auto run = runs.find(key);
                    if (run != runs.end() && run->second == request)
                        continue;
                    ASSERT_TRUE(run == runs.end() || holdersOfRecord[key].empty())
                        << "seed " << seed << ": key " << key << " ran twice, step " << n;
                    ++runCount;
                    runs[key] = request;
                    holdersOfRecord[key].clear();
                    for (const auto* it : { "h0", "h1", "h2" }) {
                        if (net.hasRecordOf(it, request, key))
                            holdersOfRecord[key].insert(it);
                    }
                }
                std::erase_if(
                    openRequests, [&](const auto& it) { return net.mayRun(it.first.first, it.first.second); });
            }
            for (const auto& [key, request] : runs) {
                if (random.below(20) == 0)
                    net.endRequest(request.first, request.second,
                        random.below(2) == 0 ? RecordState::Complete : RecordState::Unknown);
            }
        }
    }
    std::cout << "seeds 20261204 to 20261603, " << runCount << " runs\n";
    EXPECT_GT(runCount, 400U) << "most schedules refuse the requests, so the test covers little";
}

} // namespace arbutuscrank
