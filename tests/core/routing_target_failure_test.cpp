#include "core/routing_harness.hpp"

// Failures of targets, and overload of one entry.

namespace arbutuscrank::routing_test {
namespace {

    /// Runs one request to its end.
    /// \returns its target, or an empty string if it got no slot
    std::string runOneRequest(Fleet& fleet, AttemptOutcome outcome = AttemptOutcome::Complete, bool shed = false)
    {
        (void)fleet.request(fleet[0]);
        if (fleet[0].running.empty())
            return {};
        const auto [id, target] = *fleet[0].running.begin();
        fleet.endRequest(fleet[0], id, outcome, shed);
        return target;
    }

    void deliverProbeResult(Fleet& fleet, const std::string& target, bool healthy)
    {
        fleet.call(fleet[0], [&](State& s, Context& c) { routing::onProbeEnded(s, { target, healthy, {} }, c); });
    }

    // Guards against a target that sheds load and still gets as many requests: the limit must drop at once, once per
    // round, and rise again step by step.
    TEST(RoutingTargetFailure, ShedHalvesOncePerRoundAndRecovers)
    {
        Fleet fleet(1, makeDocument(1, 6));
        for (int n = 0; n < 6; ++n)
            (void)fleet.request(fleet[0]);
        fleet.advance(10 * ms);
        fleet.endRequest(fleet[0], 1, AttemptOutcome::NotRun, true);
        fleet.endRequest(fleet[0], 2, AttemptOutcome::NotRun, true);
        EXPECT_EQ(routing::ownLoads(fleet[0].state).front().slots, 3U) << "one round, one decrease";
        while (!fleet[0].running.empty())
            fleet.endRequest(fleet[0], fleet[0].running.begin()->first);
        for (int n = 0; n < 12; ++n)
            runOneRequest(fleet);
        EXPECT_EQ(routing::ownLoads(fleet[0].state).front().slots, 6U);
    }

    // Guards against wrong load reports: a target that always reports full load must not lose capacity, and one that
    // reports no load while it runs requests must not attract more.
    TEST(RoutingTargetFailure, MisreportedLoadDoesNotChangeCapacity)
    {
        Fleet fleet(1, makeDocument(2, 3));
        for (const double misreportedLoad : { 1.0, 0.0 }) {
            for (int n = 0; n < 4; ++n)
                (void)fleet.request(fleet[0]);
            std::map<std::string, int> counts;
            for (const auto& [id, target] : fleet[0].running)
                ++counts[target];
            EXPECT_GE(counts["t0"], 1);
            EXPECT_GE(counts["t1"], 1);
            while (!fleet[0].running.empty()) {
                const auto [id, target] = *fleet[0].running.begin();
                fleet.endRequest(fleet[0], id, AttemptOutcome::Complete, false, 10 * ms,
                    target == "t0" ? std::optional(misreportedLoad) : std::nullopt);
            }
            EXPECT_EQ(routing::ownLoads(fleet[0].state).front().slots, 6U);
        }
    }

    // Guards against repeated readmission of a target that answers probes but no requests. Each of its requests
    // occupies a slot until the deadline.
    TEST(RoutingTargetFailure, HealthyProbesDoNotOutweighFailedRequests)
    {
        Fleet fleet(1, makeDocument(2, 1));
        std::map<std::string, int> failures;
        while (!fleet[0].target("t0").health.isEjected()) {
            (void)fleet.request(fleet[0]);
            (void)fleet.request(fleet[0]);
            fleet.cancelQueued(fleet[0]);
            while (!fleet[0].running.empty()) {
                const auto [id, target] = *fleet[0].running.begin();
                failures[target] += target == "t0" ? 1 : 0;
                fleet.endRequest(fleet[0], id, target == "t0" ? AttemptOutcome::Unknown : AttemptOutcome::Complete,
                    false, 5000 * ms);
            }
        }
        EXPECT_EQ(failures["t0"], 3);
        for (int n = 0; n < 3; ++n)
            EXPECT_EQ(runOneRequest(fleet), "t1");
        int returns = 0;
        for (int n = 0; n < 600; ++n) { // one minute, a healthy probe every 100 ms
            fleet.advance(100 * ms);
            deliverProbeResult(fleet, "t0", true);
            if (fleet[0].target("t0").health.isEjected())
                continue;
            ++returns;
            while (!fleet[0].target("t0").health.isEjected()) {
                (void)fleet.request(fleet[0]);
                const auto [id, target] = *fleet[0].running.begin();
                fleet.endRequest(fleet[0], id, target == "t0" ? AttemptOutcome::NotRun : AttemptOutcome::Complete);
            }
            while (!fleet[0].running.empty())
                fleet.endRequest(fleet[0], fleet[0].running.begin()->first);
        }
        // Without a growing delay the target would be readmitted by each of the 600 probes.
        EXPECT_LE(returns, 6);
        EXPECT_GE(returns, 2);
    }

    // Guards against ejection by a health endpoint that reports failure while requests succeed.
    TEST(RoutingTargetFailure, FailedProbesDoNotOutweighSuccessfulRequests)
    {
        Fleet fleet(1, makeDocument(2, 1));
        for (int n = 0; n < 20; ++n) {
            for (const auto* name : { "t0", "t1" })
                deliverProbeResult(fleet, name, false);
            (void)fleet.request(fleet[0]);
            (void)fleet.request(fleet[0]);
            while (!fleet[0].running.empty())
                fleet.endRequest(fleet[0], fleet[0].running.begin()->first);
            fleet.advance(1000 * ms);
        }
        EXPECT_EQ(routing::ownLoads(fleet[0].state).front().slots, 2U);
    }

    // Guards against several outstanding probes of one target. Each probe costs the target 6 ms, which would add to the
    // load of a target that is already slow.
    TEST(RoutingTargetFailure, AtMostOneProbeIsOutstanding)
    {
        Fleet fleet(1, makeDocument(1, 1));
        fleet.advance(10'000 * ms);
        EXPECT_EQ(fleet[0].probes["t0"], 1);
        deliverProbeResult(fleet, "t0", true);
        fleet.advance(2050 * ms);
        EXPECT_EQ(fleet[0].probes["t0"], 2);
    }

    // Guards against ejection of more than half of the targets when all fail at once, as when this entry's own network
    // fails.
    TEST(RoutingTargetFailure, AtMostHalfOfTheTargetsIsEjected)
    {
        for (const std::size_t targets : { 1U, 2U, 5U, 8U }) {
            Fleet fleet(1, makeDocument(targets, 2));
            for (int n = 0; n < 400; ++n) {
                runOneRequest(fleet, AttemptOutcome::NotRun);
                fleet.advance(20 * ms);
                const auto ejected = std::count_if(fleet[0].state.routing.targets.begin(),
                    fleet[0].state.routing.targets.end(), [](const auto& it) { return it.health.isEjected(); });
                ASSERT_LE(static_cast<std::size_t>(ejected), targets / 2);
            }
        }
    }

    // Guards against full load on a readmitted target: its caches are cold and it would fail again.
    TEST(RoutingTargetFailure, ReadmittedTargetStartsCold)
    {
        Fleet fleet(1, makeDocument(2, 6));
        std::string failedTarget = runOneRequest(fleet, AttemptOutcome::NotRun);
        EXPECT_EQ(fleet[0].logs[LogEvent::TargetUnhealthy], 1);
        deliverProbeResult(fleet, failedTarget, true);
        auto& target = fleet[0].target(failedTarget);
        std::vector<std::uint32_t> limits { target.limit.value() };
        for (int n = 0; n < 70; ++n) {
            fleet.advance(100 * ms);
            for (int request = 0; request < 8; ++request)
                (void)fleet.request(fleet[0]);
            ASSERT_LE(target.inFlight, target.limit.value());
            while (!fleet[0].running.empty())
                fleet.endRequest(fleet[0], fleet[0].running.begin()->first);
            if (target.limit.value() != limits.back())
                limits.push_back(target.limit.value());
        }
        EXPECT_EQ(limits, (std::vector<std::uint32_t> { 1, 2, 4, 6 }));
    }

    // Guards against a drain that admits new requests, cuts running ones off or does not log its end.
    TEST(RoutingTargetFailure, DrainLetsRequestsEndAndIsLogged)
    {
        for (int kind = 0; kind < 4; ++kind) {
            auto document = makeDocument(1, 2);
            Fleet fleet(1, document);
            (void)fleet.request(fleet[0]);
            if (kind == 0)
                document.services[0].targets[0].draining = true;
            else if (kind == 1)
                document.drains.push_back({ DrainKind::Target, "t0" });
            else if (kind == 2)
                document.drains.push_back({ DrainKind::FailureDomain, "bangor-1" });
            else
                document.services[0].targets.clear(); // removed with a request in flight
            fleet.apply(fleet[0], document);
            EXPECT_TRUE(std::holds_alternative<routing::NoRoute>(fleet.request(fleet[0])));
            EXPECT_EQ(fleet[0].logs[LogEvent::TargetDraining], 1);
            EXPECT_EQ(fleet[0].logs[LogEvent::TargetDrained], 0);
            fleet.endRequest(fleet[0], 1);
            EXPECT_EQ(fleet[0].logs[LogEvent::TargetDrained], 1);
            fleet.advance(100 * ms);
            EXPECT_EQ(fleet[0].state.routing.targets.size(), kind == 3 ? 0U : 1U);
        }
    }

    // Guards against an account at five times its rate that delays other accounts' requests or causes their refusal:
    // only its own part of the queue may fill up.
    TEST(RoutingTargetFailure, GreedyAccountDoesNotStarveOthers)
    {
        auto document = makeDocument(2, 3);
        document.services[0].queueTotal = 20;
        Fleet fleet(1, document);
        Random random(20261204);
        Duration worst {};
        int refused = 0;
        for (int step = 0; step < 4000; ++step) {
            for (int n = 0; n < 5; ++n)
                (void)fleet.request(fleet[0], "greedy");
            std::string name = "small";
            name += std::to_string(step % 3);
            refused += std::holds_alternative<routing::NoRoute>(fleet.request(fleet[0], name)) ? 1 : 0;
            const auto small = fleet.lastId;
            for (int n = 0; n < 2 && !fleet[0].running.empty(); ++n) {
                auto it = fleet[0].running.begin();
                std::advance(it, random.below(fleet[0].running.size()));
                fleet.endRequest(fleet[0], it->first);
            }
            fleet.advance(5 * ms);
            for (const auto& [id, since] : fleet[0].queued) {
                if (id % 6 == small % 6)
                    worst = std::max(worst, fleet.now - since);
            }
        }
        EXPECT_EQ(refused, 0);
        EXPECT_LE(worst, 50 * ms); // four accounts take turns at 2 requests per 5 ms; the rest is for ticks
    }

    // Guards against queued requests that keep waiting after this entry has lost the targets that could serve them.
    TEST(RoutingTargetFailure, QueueIsRefusedWhenTargetsAreLost)
    {
        Fleet fleet(1, makeDocument(1, 1));
        (void)fleet.request(fleet[0]);
        (void)fleet.request(fleet[0]);
        fleet[0].state.membership.selfLeaving = true;
        fleet.call(fleet[0], [](State& s, Context& c) { routing::startLeaving(s, c); });
        EXPECT_TRUE(fleet[0].queued.empty());
        EXPECT_EQ(fleet[0].refused[2], "no-target");
    }

    // Guards against a service that cannot retry after an idle time, and against retries that double the load of a
    // failing service.
    TEST(RoutingTargetFailure, RetryBudgetIsTenPercent)
    {
        Fleet fleet(1, makeDocument(1, 1));
        auto& state = fleet[0].state;
        int idle = 0;
        while (routing::tryTakeRetry(state, serviceName))
            ++idle;
        EXPECT_GE(idle, 1);
        int retries = 0;
        for (int n = 0; n < 1000; ++n) {
            routing::countFirstTry(state, serviceName);
            retries += routing::tryTakeRetry(state, serviceName) ? 1 : 0;
        }
        EXPECT_EQ(retries, 100);
        for (int n = 0; n < 1000; ++n)
            routing::countFirstTry(state, serviceName);
        int saved = 0;
        while (routing::tryTakeRetry(state, serviceName))
            ++saved;
        EXPECT_EQ(saved, 10);
    }

} // namespace
} // namespace arbutuscrank::routing_test
