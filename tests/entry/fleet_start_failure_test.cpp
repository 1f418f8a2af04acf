#include "entry/entry_harness.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>

namespace arbutuscrank::entry::test {

namespace {

    /// Requests per second that the callers of each region send.
    constexpr int demandPerRegion = 400;
    constexpr int requestsPerTick = demandPerRegion / 5;

    /// The coordinator of region "north", which has just started, beside the coordinators of two other regions.
    class StartingRegion {
    public:
        explicit StartingRegion(const std::map<std::string, int>& targetsByRegion)
            : m_state(makeSettings(), record("north"), 1)
        {
            std::vector<TargetRecord> targets;
            for (const auto& [region, n] : targetsByRegion) {
                for (int i = 0; i < n; ++i)
                    targets.push_back(makeTarget(region + std::to_string(i), region));
            }
            handle(MembersListed { { record("north"), record("south"), record("west") } });
            handle(PolicyRead { makePolicy() });
            handle(TargetsListed { targets });
            handle(StoreAnswered {});
            handle(Tick {});
        }

        /// Advances the clock by a tick, in which the callers of region "north" send \p requests.
        void runTick(int requests)
        {
            m_now += milliseconds(200);
            for (int i = 0; i < requests; ++i)
                raiseRequest();
            handle(StoreAnswered {});
            handle(PolicyConfirmed { m_now });
            handle(Tick {});
        }

        /// Delivers the report of another region's coordinator.
        void report(const std::string& region, double perSecond, Duration uptime)
        {
            handle(DomainReportReceived { { .coordinator = record(region).process,
                .sequence = ++m_sequence,
                .failureDomain = region + "-a",
                .region = region,
                .storeUptime = uptime,
                .demand = { { "cart", perSecond } } } });
        }

        /// Fraction of the affinity values that stay in region "north".
        [[nodiscard]] double localFraction() const
        {
            return m_state.selection.splits().at("cart").fractions.at("north");
        }

    private:
        static MemberRecord record(const std::string& region)
        {
            return { .process = { region + "1", 1 },
                .region = region,
                .failureDomain = region + "-a",
                .callerAddress = region + ":80",
                .reportAddress = region + ":90",
                .capacity = 1 };
        }

        void raiseRequest()
        {
            const auto effects = handle(RequestArrived { .request = ++m_lastRequest,
                .host = host,
                .path = "/open/1",
                .affinity = std::to_string(m_lastRequest),
                .timeLeft = seconds(3) });
            for (const auto& effect : effects) {
                if (const auto* sent = std::get_if<SendAttempt>(&effect))
                    handle(AttemptAnswered { .request = sent->request, .attempt = sent->attempt, .status = 200 });
            }
        }

        std::vector<EntryEffect> handle(const EntryEvent& event)
        {
            std::vector<EntryEffect> effects;
            reduce(m_state, event, m_now, effects);
            return effects;
        }

        TimePoint m_now { std::chrono::hours(1) };
        EntryState m_state;
        std::uint64_t m_sequence = 0;
        RequestId m_lastRequest = 0;
    };

} // namespace

// Guards against a region near the store that sends a large part of its requests to other regions after a start of all
// VMs: its VMs are ready first, so that only its demand is known. The other regions have neither the objects nor the
// room, because their own callers arrive a little later. The split must be that of the measured demand from the start.
RC_GTEST_PROP(FleetStartFailure, RegionThatIsReadyFirstKeepsItsRequests, ())
{
    const auto targets = [] { return *rc::gen::inRange(2, 40); };
    StartingRegion north({ { "north", targets() }, { "south", targets() }, { "west", targets() } });
    const auto ticksUntilOthersAreReady = *rc::gen::inRange(1, 6);
    const auto ticks = 30;
    std::vector<double> fractions;
    for (int tick = 1; tick <= ticks; ++tick) {
        north.runTick(requestsPerTick);
        fractions.push_back(north.localFraction());
        for (const auto* region : { "south", "west" }) {
            if (tick >= ticksUntilOthersAreReady)
                north.report(region, demandPerRegion, (tick - ticksUntilOthersAreReady) * milliseconds(200));
        }
    }
    RC_ASSERT(std::ranges::min(fractions) >= fractions.back() - 0.01);
}

// Guards against a VM that ignores the reported demand after it has started alone, in a fleet that has long been up.
TEST(FleetStartFailure, VmThatStartsAloneFollowsTheReportedDemandAtOnce)
{
    StartingRegion north({ { "north", 2 }, { "south", 12 }, { "west", 9 } });
    for (int tick = 1; tick <= 3; ++tick) {
        north.report("south", 60, seconds(60));
        north.report("west", 60, seconds(60));
        north.runTick(80);
    }
    EXPECT_LT(north.localFraction(), 0.4);
}

// Guards against regions whose callers moved before the start: the demand is followed once all VMs have measured it.
TEST(FleetStartFailure, DemandIsFollowedOnceItHasBeenMeasured)
{
    StartingRegion north({ { "north", 2 }, { "south", 12 }, { "west", 9 } });
    for (int tick = 1; tick <= 15; ++tick) {
        north.report("south", 60, tick * milliseconds(200));
        north.report("west", 60, tick * milliseconds(200));
        north.runTick(80);
    }
    EXPECT_LT(north.localFraction(), 0.4);
}

} // namespace arbutuscrank::entry::test
