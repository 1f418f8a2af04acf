#include "entry/entry_harness.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <numeric>

namespace arbutuscrank::entry::test {

namespace {

    double sumOf(const WorkByRank& work)
    {
        return std::accumulate(
            work.begin(), work.end(), 0.0, [](double sum, const auto& item) { return sum + item.second; });
    }

    WorkByRank drawWork()
    {
        WorkByRank work;
        const auto n = *rc::gen::inRange(1, 6);
        for (int i = 0; i < n; ++i)
            work[static_cast<std::uint32_t>(*rc::gen::inRange(0, 9))] = 0.1 * *rc::gen::inRange(1, 20'000);
        return work;
    }

    const WorkByRank overload { { 0, 50 }, { 1, 70 } };

    /// A service with 100 slots for which more work is asked; its routes "quick" and "long" need 0.1 s and 0.4 s.
    RoomSharing makeOverloaded(TimePoint now)
    {
        RoomSharing room;
        for (int i = 0; i < 200; ++i) {
            room.recordAttempt("quick", milliseconds(100), 0.5, now);
            room.recordAttempt("long", milliseconds(400), 0.5, now);
        }
        (void)room.update("cart", 100, overload, 0.2);
        return room;
    }

    RoomAsk ask(std::string_view route, std::uint32_t priority, Duration objectiveLeft = milliseconds(1000))
    {
        return { .service = "cart",
            .route = route,
            .rank = priority,
            .objectiveLeft = objectiveLeft,
            .timeLeft = milliseconds(3000) };
    }

    /// Offers requests of several kinds in turn for some seconds.
    /// \returns fraction of each that was admitted in the last half
    std::vector<double> admitted(RoomSharing& room, const std::vector<RoomAsk>& asks)
    {
        Random random(7);
        std::vector<double> out(asks.size(), 0);
        constexpr int rounds = 100;
        for (int round = 0; round < rounds; ++round) {
            for (int i = 0; i < 10; ++i) {
                for (std::size_t kind = 0; kind < asks.size(); ++kind) {
                    if (std::holds_alternative<Admit>(room.decide(asks[kind], random)) && round >= rounds / 2)
                        out[kind] += 1.0 / (10 * rounds / 2.0);
                }
            }
            (void)room.update("cart", 100, overload, 0.2);
        }
        return out;
    }

} // namespace

// Guards against a less urgent kind being served more often than a more urgent one.
RC_GTEST_PROP(RoomSharing, HigherPriorityNeverGetsLess, ())
{
    const auto fractions = shareRoom(*rc::gen::inRange(1, 2000), drawWork());
    RC_ASSERT(
        std::ranges::is_sorted(fractions, [](const auto& a, const auto& b) { return a.second > b.second + 1e-9; }));
}

// Guards against starvation: no kind may be served less than a quarter as often as all.
RC_GTEST_PROP(RoomSharing, EachPriorityKeepsItsFloor, ())
{
    const double slots = *rc::gen::inRange(1, 2000);
    const auto work = drawWork();
    const double served = std::min(1.0, slots / sumOf(work));
    for (const auto& [priority, fraction] : shareRoom(slots, work))
        RC_ASSERT(fraction >= 0.25 * served);
}

// Guards against admitting more than the targets can run, and against slots that stay idle in an overload.
RC_GTEST_PROP(RoomSharing, AdmittedWorkFillsTheRoomAndNoMore, ())
{
    const double slots = *rc::gen::inRange(1, 2000);
    const auto work = drawWork();
    double admittedWork = 0;
    for (const auto& [priority, fraction] : shareRoom(slots, work))
        admittedWork += fraction * work.at(priority);
    if (work.size() > 1 && sumOf(work) > slots) {
        RC_ASSERT(admittedWork <= slots * (1 + 1e-9));
        RC_ASSERT(admittedWork >= 0.9 * slots * (1 - 1e-9));
    } else {
        RC_ASSERT(std::abs(admittedWork - sumOf(work)) < 1e-6);
    }
}

// Guards against rejections where there is room, or where nothing is gained by them.
TEST(RoomSharing, ChangesNothingWithRoomOrWithOnePriority)
{
    EXPECT_EQ(shareRoom(100, { { 0, 40 }, { 1, 60 } }), (AdmittedFractions { { 0, 1 }, { 1, 1 } }));
    EXPECT_EQ(shareRoom(100, { { 2, 500 } }), (AdmittedFractions { { 2, 1 } }));
    EXPECT_EQ(shareRoom(0, { { 0, 40 }, { 1, 60 } }), (AdmittedFractions { { 0, 1 }, { 1, 1 } }));
    EXPECT_DOUBLE_EQ(defaultMaxLoad(0), 2.0);
    EXPECT_DOUBLE_EQ(defaultMaxLoad(2), 1.2);
    EXPECT_DOUBLE_EQ(defaultMaxLoad(9), 1.1);
}

// Guards against a wait at a target being taken for work, which would make an overload look larger than it is.
TEST(RoomSharing, WorkExcludesTheWaitAtTheTarget)
{
    RoomSharing room;
    const TimePoint now { std::chrono::hours(1) };
    room.recordAttempt("quick", milliseconds(100), 0.5, now);
    room.recordAttempt("quick", milliseconds(200), 2.0, now);
    EXPECT_NEAR(room.meanWork("quick"), 0.1, 1e-9);
}

// Guards against rejecting requests that can still meet their objective while those are admitted that cannot.
TEST(RoomSharing, PrefersRequestsThatCanMeetTheirObjective)
{
    auto room = makeOverloaded(TimePoint { std::chrono::hours(1) });
    const auto fractions = admitted(room, { ask("long", 1), ask("long", 1, milliseconds(200)) });
    EXPECT_GT(fractions[0], fractions[1] + 0.1);
    EXPECT_GT(fractions[1], 0.25 * 0.75) << "late requests keep the floor";
}

// Guards against spending the room on few long requests where many short ones could be answered.
TEST(RoomSharing, PrefersRoutesThatNeedLessWork)
{
    auto room = makeOverloaded(TimePoint { std::chrono::hours(1) });
    const auto fractions = admitted(room, { ask("quick", 1), ask("long", 1) });
    EXPECT_GT(fractions[0], fractions[1] + 0.3);
    EXPECT_GT(fractions[1], 0.25 * 0.75) << "the long ones keep the floor";
    EXPECT_NEAR((0.1 * fractions[0] + 0.4 * fractions[1]) / 0.5, room.fractions("cart").at(1), 0.02)
        << "the admitted work is that of the priority";
}

// Guards against holding a request that certainly cannot be answered by its deadline.
TEST(RoomSharing, RejectsAtOnceWhatCannotBeAnsweredByItsDeadline)
{
    auto room = makeOverloaded(TimePoint { std::chrono::hours(1) });
    Random random(1);
    auto late = ask("long", 0);
    late.timeLeft = milliseconds(150);
    const auto decision = room.decide(late, random);
    ASSERT_TRUE(std::holds_alternative<RejectForRoom>(decision));
    EXPECT_EQ(std::get<RejectForRoom>(decision).cause, "deadline");
    late.timeLeft = milliseconds(1500);
    EXPECT_TRUE(std::holds_alternative<Admit>(room.decide(late, random)));
}

// Guards against callers that return in one wave, and against a Retry-After that outlasts the caller's patience.
TEST(RoomSharing, SpreadsReturningCallers)
{
    auto room = makeOverloaded(TimePoint { std::chrono::hours(1) });
    Random random(1);
    std::vector<Duration> waits;
    for (int i = 0; i < 400; ++i) {
        const auto decision = room.decide(ask("long", 1), random);
        if (const auto* rejected = std::get_if<RejectForRoom>(&decision))
            waits.push_back(rejected->retryAfter);
    }
    ASSERT_GT(waits.size(), 100U);
    const auto [least, most] = std::ranges::minmax(waits);
    EXPECT_GE(least, milliseconds(150));
    EXPECT_LE(most, milliseconds(1000));
    EXPECT_GT(most - least, milliseconds(400));
}

// Guards against a less urgent request that waits at a target longer than a more urgent one may.
RC_GTEST_PROP(RoomSharing, LowerPriorityNeverWaitsLonger, ())
{
    RoomSharing room;
    Random random(1);
    const TimePoint now { std::chrono::hours(1) };
    std::vector<RoomAsk> asks;
    const std::vector<std::string> routes { "r0", "r1", "r2", "r3" };
    for (std::uint32_t i = 0; i < 4; ++i) {
        room.recordAttempt(routes[i], milliseconds(*rc::gen::inRange(5, 900)), 1, now);
        asks.push_back(ask(routes[i], i, milliseconds(*rc::gen::inRange(50, 2000))));
        (void)room.decide(asks.back(), random);
    }
    (void)room.update("cart", 10, { { 0, 20 }, { 1, 20 }, { 2, 20 }, { 3, 20 } }, 0.2);
    for (std::uint32_t i = 1; i < 4; ++i)
        RC_ASSERT(room.maxLoad(asks[i]) <= room.maxLoad(asks[i - 1]));
}

// Guards against VMs that together admit much more or less than the room, with reports 0.5 s old, demand that varies by
// a fifth, and any number of VMs. Bound: 10% of the room, and one request of each VM and kind.
RC_GTEST_PROP(RoomSharing, FleetAdmitsWhatThereIsRoomFor, ())
{
    const auto vmCount = *rc::gen::inRange<std::size_t>(3, 301);
    const double overload = 0.1 * *rc::gen::inRange(12, 40);
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    const TimePoint start { std::chrono::hours(1) };
    constexpr double work = 0.2;
    constexpr double interval = 0.1;
    const double asksPerVm = 12;
    const double demand = asksPerVm * work * static_cast<double>(vmCount);
    const double slots = demand / overload;
    std::vector<RoomSharing> vms(vmCount);
    for (auto& it : vms) {
        for (int i = 0; i < 60; ++i)
            it.recordAttempt("long", milliseconds(200), 1, start);
    }
    std::vector<WorkByRank> reports(5, WorkByRank { { 0, demand / 3 }, { 1, 2 * demand / 3 } });
    double admittedWork = 0;
    constexpr int steps = 30;
    for (int step = 0; step < steps; ++step) {
        WorkByRank asked;
        const double factor = 0.9 + 0.2 * random.unit();
        for (auto& it : vms) {
            (void)it.update("cart", slots, reports.front(), interval);
            for (std::uint32_t kind = 0; kind < 3; ++kind) {
                const std::uint32_t priority = kind == 0 ? 0 : 1;
                if (random.unit() > asksPerVm / 3 * interval * factor)
                    continue;
                asked[priority] += work / interval;
                if (std::holds_alternative<Admit>(it.decide(ask("long", priority), random)))
                    admittedWork += work;
            }
        }
        reports.erase(reports.begin());
        auto smoothed = reports.back();
        for (auto& [priority, slotsAsked] : smoothed)
            slotsAsked += 0.12 * (asked[priority] - slotsAsked);
        reports.push_back(smoothed);
    }
    const double room = slots * steps * interval;
    const double bound = 0.1 * room + work * 2 * static_cast<double>(vmCount);
    RC_ASSERT(admittedWork <= room + bound);
    RC_ASSERT(admittedWork >= 0.9 * room - bound);
}

// Guards against shares on deployments that did not ask for them.
TEST(RoomSharing, IsOffUnlessTheSettingsAskForIt)
{
    for (const bool sharesRoom : { false, true }) {
        auto settings = makeSettings();
        settings.sharesRoom = sharesRoom;
        Entry entry(1, makePolicy(), settings);
        entry.useTargets({ makeTarget("t1") });
        entry.state.serviceDemand["cart"].mix = { .slotsByRank = { { 0, 6 }, { 1, 30 } } };
        entry.handle(Tick {});
        EXPECT_EQ(entry.state.room ? entry.state.room->sharedServiceCount() : 0U, sharesRoom ? 1U : 0U);
    }
}

// Guards against work learned, and reported to other VMs, for a decision that is not in use.
TEST(RoomSharing, LearnsAndReportsNothingWhileItIsOff)
{
    for (const bool sharesRoom : { false, true }) {
        auto settings = makeSettings();
        settings.sharesRoom = sharesRoom;
        Entry entry(1, makePolicy(), settings);
        entry.useTargets({ makeTarget("t1") });
        std::size_t reportsOfWork = 0;
        for (int i = 0; i < 60; ++i) {
            const auto id = entry.request("/read/7");
            const auto sent = entry.last<SendAttempt>();
            ASSERT_TRUE(sent);
            entry.now += milliseconds(100);
            entry.handle(AttemptAnswered { .request = id, .attempt = sent->attempt, .status = 200 });
            entry.handle(PolicyConfirmed { entry.now });
            entry.handle(Tick {});
            reportsOfWork += entry.state.serviceDemand.at("cart").mix.slotsByRank.empty() ? 0 : 1;
            entry.effects.clear();
        }
        if (sharesRoom)
            EXPECT_GT(reportsOfWork, 50U);
        else
            EXPECT_EQ(reportsOfWork, 0U);
        EXPECT_EQ(entry.state.room.has_value(), sharesRoom);
    }
}

// Guards against an account's priority that makes its most and least urgent routes equal.
TEST(RoomSharing, RouteDecidesAmongRequestsOfOnePriority)
{
    RoomSharing room;
    const TimePoint now { std::chrono::hours(1) };
    for (int i = 0; i < 200; ++i)
        room.recordAttempt("long", milliseconds(400), 0.5, now);
    const auto fractions = shareRoom(100, { { { 1, 0 }, 50 }, { { 1, 2 }, 100 } });
    EXPECT_EQ(fractions.at({ 1, 0 }), 1);
    EXPECT_LT(fractions.at({ 1, 2 }), 0.5);

    auto policy = makePolicy();
    policy.routes[0].priority = 2;
    policy.routes[1].priority = 0;
    policy.accounts[0].priority = 1;
    Entry entry(1, policy);
    entry.useTargets({ makeTarget("t1") });
    const auto read = entry.request("/read/7");
    const auto write = entry.request("/write/7");
    EXPECT_LT(entry.state.requests.at(write).rank, entry.state.requests.at(read).rank);
}

// Guards against rejections because other regions or the fleet's figures show too little room, while the target that
// the request goes to has free slots.
TEST(RoomSharing, AdmitsWhatDisplacesNothing)
{
    auto room = makeOverloaded(TimePoint { std::chrono::hours(1) });
    Random random(1);
    auto free = ask("long", 1);
    free.loadPerSlot = 0.75;
    auto queued = ask("long", 1);
    queued.loadPerSlot = 1.25;
    std::size_t freeRejected = 0;
    std::size_t queuedRejected = 0;
    for (int i = 0; i < 200; ++i) {
        freeRejected += std::holds_alternative<RejectForRoom>(room.decide(free, random)) ? 1 : 0;
        queuedRejected += std::holds_alternative<RejectForRoom>(room.decide(queued, random)) ? 1 : 0;
    }
    EXPECT_EQ(freeRejected, 0U);
    EXPECT_GT(queuedRejected, 20U) << "what queues displaces others";
    auto late = ask("long", 1, milliseconds(50));
    EXPECT_FALSE(room.permitsFurtherAttempt(late));
    late.loadPerSlot = 0.5;
    EXPECT_TRUE(room.permitsFurtherAttempt(late));
}

// Guards against a rejection that is not reported as "not run", keeps the token of the quota, or sends an attempt.
TEST(RoomSharing, RejectedRequestIsAnsweredAsNotRun)
{
    auto policy = makePolicy();
    policy.routes[1].priority = 0;
    Entry entry(1, policy);
    entry.useTargets({ makeTarget("t1") });
    std::size_t rejected = 0;
    std::size_t urgentRejected = 0;
    bool isLogged = false;
    std::vector<std::pair<TimePoint, AttemptAnswered>> running;
    for (int i = 0; i < 400; ++i) {
        entry.effects.clear();
        const bool isUrgent = i % 8 == 0;
        const auto before = entry.state.lastAttemptId;
        const auto id = entry.request(isUrgent ? "/write/7" : "/read/7");
        if (const auto sent = entry.last<SendAttempt>())
            running.emplace_back(entry.now + milliseconds(100),
                AttemptAnswered { .request = id, .attempt = sent->attempt, .status = 200 });
        const auto answer = entry.last<SendLocalAnswer>();
        if (answer && answer->reason == "room-shared") {
            ++(isUrgent ? urgentRejected : rejected);
            EXPECT_EQ(answer->status, 503U);
            EXPECT_EQ(entry.state.lastAttemptId, before);
        }
        entry.now += milliseconds(10);
        while (!running.empty() && running.front().first <= entry.now) {
            entry.handle(running.front().second);
            running.erase(running.begin());
        }
        if (i % 20 == 0) {
            entry.handle(PolicyConfirmed { entry.now });
            entry.handle(Tick {});
            for (const auto& effect : entry.effects) {
                const auto* line = std::get_if<WriteLog>(&effect);
                isLogged = isLogged || (line && line->event == LogEvent::RoomShared);
            }
        }
    }
    EXPECT_GT(rejected, 50U);
    EXPECT_EQ(urgentRejected, 0U);
    EXPECT_TRUE(isLogged);
}

// Guards against shares that outlive the reports that they follow from, when the coordinator is lost.
TEST(RoomSharing, EndsWhenNoDigestArrives)
{
    Entry entry;
    entry.useTargets({ makeTarget("t1") });
    entry.handle(MembersListed { { { .process = { "vm0", 1 },
        .region = "north",
        .failureDomain = "north-a",
        .callerAddress = "10.1.0.2:80",
        .reportAddress = "10.1.0.2:90",
        .capacity = 9 } } });
    const ServiceMixes mixes { { "cart", { .slotsByRank = { { 0, 10 }, { 1, 10 } } } } };
    for (std::uint64_t i = 1; i <= 10; ++i) {
        entry.handle(
            DigestReceived { { .coordinator = { "vm0", 1 }, .sequence = i, .mixesByRegion = { { "north", mixes } } } });
        entry.advance(milliseconds(200));
    }
    EXPECT_FALSE(entry.state.coordination.isCoordinator());
    EXPECT_LT(entry.state.room->leastFraction(), 1);
    EXPECT_EQ(entry.state.room->sharedServiceCount(), 1U);
    entry.advance(seconds(3));
    EXPECT_EQ(entry.state.room->leastFraction(), 1);
    EXPECT_EQ(entry.state.room->sharedServiceCount(), 0U);
}

} // namespace arbutuscrank::entry::test
