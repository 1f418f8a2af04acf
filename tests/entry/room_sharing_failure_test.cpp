#include <arbutuscrank/core/random.hpp>
#include <arbutuscrank/entry.hpp>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <queue>

namespace arbutuscrank::entry::test {

namespace {

    using std::chrono::milliseconds;

    constexpr std::size_t targetCount = 16;
    constexpr std::size_t slotsPerTarget = 4;
    constexpr std::size_t queueLength = 9;
    constexpr Duration step = milliseconds(5);
    constexpr Duration reportDelay = milliseconds(400);
    constexpr Duration viewDelay = milliseconds(300);
    constexpr Duration timeLimit = milliseconds(3000);

    struct Kind {
        std::string route;
        std::uint32_t priority;
        Duration objective;
        double work; ///< mean in seconds; drawn from 0.5 to 1.5 times of it
        double perSecond;
    };

    /// Demand of 56 of 64 slots. The routes of priority 1 belong to two accounts.
    const std::array<Kind, 4> kinds { { { "urgent", 0, milliseconds(250), 0.1, 160 },
        { "first", 1, milliseconds(400), 0.25, 36 }, { "second", 1, milliseconds(400), 0.25, 36 },
        { "batch", 2, milliseconds(1000), 0.4, 55 } } };

    struct Call {
        std::size_t kind = 0;
        std::size_t vm = 0;
        TimePoint firstSentAt {};
        TimePoint sentAt {};
        double work = 0;
        double loadPerSlot = 0;
        TimePoint endsAt {};
        int returns = 0;
    };

    struct Target {
        std::vector<Call> running;
        std::deque<Call> waiting;
        [[nodiscard]] std::size_t load() const { return running.size() + waiting.size(); }
    };

    struct Outcome {
        double asked = 0;
        double inTime = 0;
        double answered = 0;
        double refusals = 0;
        [[nodiscard]] double inTimeShare() const { return inTime / asked; }
        [[nodiscard]] double answeredShare() const { return answered / asked; }
    };
    using Outcomes = std::array<Outcome, kinds.size()>;

    /// Load on a service: demand factor by kind and second, and how callers behave.
    struct Load {
        std::function<double(std::size_t kind, double second)> factor;
        bool returnsAtOnce = false; ///< callers ignore Retry-After
        std::optional<double> restartAt; ///< second at which all VMs lose what they know
        Duration roundTrip {}; ///< to the targets and back, in which no slot is busy
        std::size_t vmCount = 20;
    };

    /// VMs and targets of one region in logical time. VMs know loads that are \ref viewDelay old and demand that is
    /// \ref reportDelay old.
    class Model {
    public:
        Model(Load load, bool sharesRoom, std::uint64_t seed)
            : m_load(std::move(load))
            , m_sharesRoom(sharesRoom)
            , m_random(seed)
            , m_vms(m_load.vmCount)
            , m_targets(targetCount)
        {
        }

        /// Counts the requests that are first sent in the given seconds.
        Outcomes run(double firstCounted, double lastCounted, double end)
        {
            for (int i = 0; seconds(m_now) < end; ++i, m_now += step) {
                if (m_load.restartAt && std::abs(seconds(m_now) - *m_load.restartAt) < 0.001) {
                    m_vms.assign(m_vms.size(), RoomSharing());
                    m_reports.clear();
                    m_asked.clear();
                }
                m_isCounted = seconds(m_now) >= firstCounted && seconds(m_now) < lastCounted;
                runTargets();
                if (i % 40 == 0)
                    exchangeReports();
                m_views.push_back(m_targets);
                if (m_views.size() > static_cast<std::size_t>(viewDelay / step))
                    m_views.pop_front();
                offerCalls();
            }
            return m_outcomes;
        }

    private:
        static double seconds(TimePoint time) { return std::chrono::duration<double>(time.time_since_epoch()).count(); }
        static Duration duration(double s)
        {
            return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s));
        }

        void offerCalls()
        {
            for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
                const double expected = kinds[kind].perSecond * m_load.factor(kind, seconds(m_now)) * 0.005;
                const auto count = static_cast<int>(std::ceil(std::max(0.0, expected - m_random.unit())));
                for (int n = 0; n < count; ++n) {
                    Call call {
                        .kind = kind, .firstSentAt = m_now, .work = kinds[kind].work * (0.5 + m_random.unit())
                    };
                    m_outcomes.at(kind).asked += m_isCounted ? 1 : 0;
                    call.returns = m_isCounted ? 0 : notCounted;
                    offer(call);
                }
            }
            while (!m_returning.empty() && m_returning.top().first <= m_now) {
                auto call = m_returning.top().second;
                m_returning.pop();
                offer(call);
            }
        }

        void offer(Call call)
        {
            const auto& kind = kinds.at(call.kind);
            call.vm = m_random.below(m_vms.size());
            call.sentAt = m_now;
            auto& room = m_vms[call.vm];
            m_asked[kind.priority] += room.meanWork(kind.route);
            // Callers do not tell how long ago they first sent the request, only how long they still wait.
            RoomAsk ask { .service = "s",
                .route = kind.route,
                .rank = kind.priority,
                .objectiveLeft = kind.objective,
                .timeLeft = timeLimit - (m_now - call.firstSentAt) };
            const auto retryAfter = milliseconds(150) + duration(0.45 * m_random.unit());
            const auto chosen = choose(m_sharesRoom ? room.maxLoad(ask) : defaultMaxLoad(kind.priority));
            if (m_sharesRoom) {
                if (chosen)
                    ask.loadPerSlot = viewedLoad(*chosen) + 1.0 / slotsPerTarget;
                const auto decision = room.decide(ask, m_random);
                if (const auto* rejected = std::get_if<RejectForRoom>(&decision)) {
                    refuse(call, rejected->retryAfter);
                    return;
                }
            }
            if (!chosen || m_targets[*chosen].load() >= slotsPerTarget + queueLength) {
                refuse(call, retryAfter);
                return;
            }
            auto& target = m_targets[*chosen];
            target.waiting.push_back(call);
            target.waiting.back().loadPerSlot = static_cast<double>(target.load()) / slotsPerTarget;
        }

        /// Two homes, the first one up to a load of 1.5, as the selection of targets by affinity does.
        std::optional<std::size_t> choose(double maxLoad)
        {
            const auto first = m_random.below(targetCount);
            const auto second = (first + 1 + m_random.below(targetCount - 1)) % targetCount;
            if (viewedLoad(first) < std::min(1.5, maxLoad))
                return first;
            if (viewedLoad(second) < std::min(1.3, maxLoad))
                return second;
            const auto best = viewedLoad(first) <= viewedLoad(second) ? first : second;
            return viewedLoad(best) < maxLoad ? std::optional(best) : std::nullopt;
        }

        /// Load per slot of a target as the VMs know it.
        [[nodiscard]] double viewedLoad(std::size_t target) const
        {
            return m_views.empty() ? 0.0 : static_cast<double>(m_views.front()[target].load()) / slotsPerTarget;
        }

        void refuse(Call call, Duration retryAfter)
        {
            const bool isCounted = call.returns < notCounted;
            m_outcomes.at(call.kind).refusals += isCounted ? 1 : 0;
            const auto back = m_now + (m_load.returnsAtOnce ? Duration(step) : retryAfter);
            if (++call.returns % notCounted < 3 && back < call.firstSentAt + timeLimit)
                m_returning.emplace(back, call);
        }

        void runTargets()
        {
            for (auto& target : m_targets) {
                std::erase_if(target.running, [&](const Call& call) {
                    if (call.endsAt > m_now)
                        return false;
                    const auto answeredAt = m_now + m_load.roundTrip;
                    m_vms[call.vm].recordAttempt(
                        kinds.at(call.kind).route, answeredAt - call.sentAt, call.loadPerSlot, m_now);
                    auto& outcome = m_outcomes.at(call.kind);
                    if (call.returns < notCounted) {
                        ++outcome.answered;
                        outcome.inTime += answeredAt - call.firstSentAt <= kinds.at(call.kind).objective ? 1 : 0;
                    }
                    return true;
                });
                while (target.running.size() < slotsPerTarget && !target.waiting.empty()) {
                    auto call = target.waiting.front();
                    target.waiting.pop_front();
                    call.endsAt = m_now + duration(call.work);
                    target.running.push_back(call);
                }
            }
        }

        void exchangeReports()
        {
            WorkByRank smoothed = m_reports.empty() ? WorkByRank {} : m_reports.back();
            for (const auto& [priority, work] : m_asked)
                smoothed[priority] += 0.22 * (work / 0.2 - smoothed[priority]);
            for (auto& [priority, work] : m_asked)
                work = 0;
            m_reports.push_back(smoothed);
            if (m_reports.size() > static_cast<std::size_t>(reportDelay / milliseconds(200)))
                m_reports.pop_front();
            for (auto& it : m_vms)
                (void)it.update("s", targetCount * slotsPerTarget, m_reports.front(), 0.2);
        }

        static constexpr int notCounted = 1000; ///< number of returns that marks calls which are not counted

        struct IsLater {
            bool operator()(const std::pair<TimePoint, Call>& a, const std::pair<TimePoint, Call>& b) const
            {
                return a.first > b.first;
            }
        };

        Load m_load;
        bool m_sharesRoom;
        Random m_random;
        std::vector<RoomSharing> m_vms;
        std::vector<Target> m_targets;
        std::deque<std::vector<Target>> m_views;
        std::deque<WorkByRank> m_reports;
        WorkByRank m_asked;
        std::priority_queue<std::pair<TimePoint, Call>, std::vector<std::pair<TimePoint, Call>>, IsLater> m_returning;
        Outcomes m_outcomes {};
        TimePoint m_now {};
        bool m_isCounted = false;
    };

    struct Comparison {
        Outcomes before;
        Outcomes after;
    };

    Comparison compare(const Load& load, double firstCounted, double lastCounted, std::uint64_t seeds = 3)
    {
        Comparison out;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            for (const bool sharesRoom : { false, true }) {
                const auto outcomes = Model(load, sharesRoom, seed).run(firstCounted, lastCounted, lastCounted + 3);
                for (std::size_t i = 0; i < kinds.size(); ++i) {
                    auto& sum = (sharesRoom ? out.after : out.before).at(i);
                    sum.asked += outcomes.at(i).asked;
                    sum.inTime += outcomes.at(i).inTime;
                    sum.answered += outcomes.at(i).answered;
                    sum.refusals += outcomes.at(i).refusals;
                }
            }
        }
        return out;
    }

    std::string describe(const Comparison& it)
    {
        std::string out;
        for (std::size_t i = 0; i < kinds.size(); ++i)
            out += fmt::format("{}: in time {:.3f} -> {:.3f}, answered {:.3f} -> {:.3f}\n", kinds.at(i).route,
                it.before.at(i).inTimeShare(), it.after.at(i).inTimeShare(), it.before.at(i).answeredShare(),
                it.after.at(i).answeredShare());
        return out;
    }

    /// The most urgent kind is served better than before and at least as often as any other, and none starves.
    void expectUrgentServed(const Comparison& it)
    {
        SCOPED_TRACE(describe(it));
        const auto& urgent = it.after[0];
        EXPECT_GT(urgent.inTimeShare(), it.before[0].inTimeShare() + 0.02);
        double asked = 0;
        double answered = 0;
        for (const auto& kind : it.after) {
            asked += kind.asked;
            answered += kind.answered;
            EXPECT_GE(urgent.answeredShare() + 0.02, kind.answeredShare());
        }
        for (const auto& kind : it.after)
            EXPECT_GE(kind.answeredShare(), 0.25 * answered / asked);
    }

} // namespace

// Guards against a burst of less urgent work that makes the urgent kind late.
TEST(RoomSharingLoad, BurstOfOneKind)
{
    expectUrgentServed(compare(
        { .factor = [](std::size_t kind, double s) { return kind == 3 && s >= 4 && s < 12 ? 3.0 : 1.0; } }, 5, 12));
}

// Guards against one account of a lower priority that takes the room of the urgent kind.
TEST(RoomSharingLoad, OneAccountAtSevenTimesItsRate)
{
    expectUrgentServed(compare(
        { .factor = [](std::size_t kind, double s) { return kind == 1 && s >= 4 && s < 12 ? 7.0 : 1.0; } }, 5, 12));
}

// Guards against the urgent kind suffering while VMs that have restarted learn the work of routes again.
TEST(RoomSharingLoad, RestartOfAllUnderLoad)
{
    expectUrgentServed(
        compare({ .factor = [](std::size_t kind, double) { return kind == 3 ? 2.5 : 1.0; }, .restartAt = 6.0 }, 6, 12));
}

// Guards against callers that return at once and crowd out the urgent kind.
TEST(RoomSharingLoad, ImmediateRetries)
{
    expectUrgentServed(compare(
        { .factor = [](std::size_t kind, double) { return kind >= 1 ? 1.8 : 1.0; }, .returnsAtOnce = true }, 5, 12));
}

// Guards against a gain that depends on the number of VMs or on the size of the burst.
RC_GTEST_PROP(RoomSharingLoad, BurstOfAnySizeWithAnyNumberOfVms, ())
{
    const auto kind = *rc::gen::inRange<std::size_t>(1, 4);
    const double burst = 0.1 * *rc::gen::inRange(30, 70);
    const auto vmCount = *rc::gen::inRange<std::size_t>(3, 301);
    const auto it
        = compare({ .factor = [&](std::size_t k, double s) { return k == kind && s >= 4 && s < 10 ? burst : 1.0; },
                      .vmCount = vmCount },
            5, 10, 1);
    RC_LOG(describe(it));
    RC_ASSERT(it.after[0].inTimeShare() > it.before[0].inTimeShare());
    RC_ASSERT(it.after[0].answeredShare() > it.before[0].answeredShare());
}

// Guards against rejections where targets have free slots, because the learned work contains the way to them.
TEST(RoomSharingLoad, RoundTripIsNoReasonToReject)
{
    const auto it
        = compare({ .factor = [](std::size_t, double) { return 0.7; }, .roundTrip = milliseconds(110) }, 3, 10);
    SCOPED_TRACE(describe(it));
    for (std::size_t i = 0; i < kinds.size(); ++i) {
        EXPECT_LE(it.after.at(i).refusals, it.before.at(i).refusals + 0.01 * it.after.at(i).asked);
        EXPECT_GE(it.after.at(i).inTimeShare(), it.before.at(i).inTimeShare() - 0.01);
    }
}

// Guards against rejections that outlast a burst, because callers that were rejected during it ask again.
TEST(RoomSharingLoad, RejectionsEndWithTheBurst)
{
    const auto it = compare(
        { .factor = [](std::size_t kind, double s) { return kind == 3 && s >= 4 && s < 5 ? 4.0 : 0.7; } }, 8, 11);
    SCOPED_TRACE(describe(it));
    for (std::size_t i = 0; i < kinds.size(); ++i)
        EXPECT_GE(it.after.at(i).answeredShare(), it.before.at(i).answeredShare() - 0.01);
    EXPECT_LE(it.after[3].refusals, 0.05 * it.after[3].asked);
}

// Guards against rejections and changes for callers while there is room.
TEST(RoomSharingLoad, CalmLoadIsServedAsBefore)
{
    const auto it = compare({ .factor = [](std::size_t, double) { return 0.8; } }, 3, 10);
    for (std::size_t i = 0; i < kinds.size(); ++i) {
        EXPECT_EQ(it.after.at(i).refusals, it.before.at(i).refusals);
        EXPECT_EQ(it.after.at(i).inTime, it.before.at(i).inTime);
    }
}

} // namespace arbutuscrank::entry::test
