#include <arbutuscrank/core/state.hpp>

#include <benchmark/benchmark.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <memory>
#include <queue>

/// \file
/// \brief Cost of a routing decision, and a discrete-event simulation that compares owned targets with entries that
/// choose targets independently.

namespace arbutuscrank {
namespace {

    constexpr const char* serviceName = "kitty";
    constexpr const char* regionName = "caerdydd";

    Document makeDocument(std::size_t targets, std::uint32_t slots)
    {
        Service service;
        service.name = serviceName;
        service.slotsPerTarget = slots;
        service.connectionsPerTarget = 800;
        for (std::size_t n = 0; n < targets; ++n)
            service.targets.push_back({ "t" + std::to_string(n), "10.0.0.1:80", regionName, "caerdydd-1", false });
        Document document;
        document.services.push_back(std::move(service));
        return document;
    }

    std::unique_ptr<State> makeEntry(
        std::size_t self, std::size_t memberCount, const Document& document, TimePoint now, std::uint64_t seed)
    {
        const auto process = [](std::size_t n) { return ProcessId { "vm" + std::to_string(n), 100 }; };
        auto state = std::make_unique<State>(
            Self { process(self), regionName, "caerdydd-1", "", "10.1.0.1:1" }, seed * 1000 + self);
        for (std::size_t n = 0; n < memberCount; ++n) {
            if (n == self)
                continue;
            auto& record = state->membership.members[process(n).vm];
            record.member = { process(n), regionName, "caerdydd-1", "", "10.1.0.1:1", false };
            record.suspected = false;
        }
        state->configuration.active = std::make_shared<ActiveDocument>(1, document);
        Outbox outbox;
        Context context { now, outbox };
        routing::onConfigurationApplied(*state, {}, context);
        return state;
    }

    // --- Cost of a decision ------------------------------------------------------------------------------------------

    /// Runs one decision and the end of its attempt. All slots of this entry are occupied half of the time, so that the
    /// entry both runs and forwards requests.
    void routeDecision(benchmark::State& run)
    {
        TimePoint now { std::chrono::hours(1) };
        const auto memberCount = static_cast<std::size_t>(run.range(1));
        auto state = makeEntry(0, memberCount, makeDocument(static_cast<std::size_t>(run.range(0)), 6), now, 1);
        std::uint32_t ownSlots = 0;
        for (const auto& target : state->routing.targets)
            ownSlots += target.owned ? target.slots : 0;
        for (std::size_t n = 1; n < memberCount; ++n) {
            Heartbeat heartbeat;
            heartbeat.sender.process = { "vm" + std::to_string(n), 100 };
            heartbeat.loads = { { serviceName, 12, 3, 0 } };
            Outbox outbox;
            Context context { now, outbox };
            routing::onHeartbeat(*state, heartbeat, context);
        }
        const std::set<VmId> excludedVms;
        RequestId id = 0;
        std::vector<std::string> heldTargets;
        bool isFilling = true;
        while (run.KeepRunning()) {
            Outbox outbox;
            now += Duration(10);
            Context context { now, outbox };
            auto decision = routing::route(*state,
                { ++id, serviceName, "account", regionName, now + std::chrono::seconds(5), &excludedVms, false },
                context);
            AttemptEnded ended;
            ended.id = id;
            ended.attempt = 1;
            ended.outcome = AttemptOutcome::Complete;
            if (auto* here = std::get_if<routing::RunHere>(&decision)) {
                if (isFilling && heldTargets.size() < ownSlots)
                    heldTargets.push_back(std::move(here->target));
                else
                    routing::recordAttemptEnd(*state, here->target, ended, std::chrono::milliseconds(10), context);
            } else if (auto* forward = std::get_if<routing::ForwardTo>(&decision)) {
                routing::recordForwardEnd(*state, forward->owner, serviceName, ended, context);
            } else {
                routing::cancelQueued(*state, id, context);
            }
            isFilling = id % 20'000 < 10'000;
            if (!isFilling && !heldTargets.empty()) {
                routing::recordAttemptEnd(*state, heldTargets.back(), ended, std::chrono::milliseconds(10), context);
                heldTargets.pop_back();
            }
            benchmark::DoNotOptimize(decision);
        }
    }
    BENCHMARK(routeDecision)->ArgsProduct({ { 10, 100, 1000 }, { 2, 20, 90 } });

    /// Handles one change of the membership, as when a member is suspected, trusted again, joins or leaves.
    void memberChange(benchmark::State& run)
    {
        TimePoint now { std::chrono::hours(1) };
        auto state = makeEntry(
            0, static_cast<std::size_t>(run.range(1)), makeDocument(static_cast<std::size_t>(run.range(0)), 6), now, 1);
        while (run.KeepRunning()) {
            Outbox outbox;
            Context context { now, outbox };
            auto& record = state->membership.members.begin()->second;
            record.suspected = !record.suspected;
            routing::onMemberChanged(*state, { record.member.process, MemberChange::Trusted }, context);
        }
    }
    BENCHMARK(memberChange)->ArgsProduct({ { 100, 1000 }, { 20, 90 } });

    // --- Comparison --------------------------------------------------------------------------------------------------

    constexpr std::size_t entryCount = 22;
    constexpr Duration hopLatency = std::chrono::microseconds(1250);
    constexpr double meanServiceMs = 20;
    constexpr Duration simulatedTime = std::chrono::seconds(40);
    constexpr Duration warmUp = std::chrono::seconds(5);

    struct Setup {
        std::size_t targets;
        std::uint32_t slots;
        double load; ///< offered load as a fraction of all slots, without the excess of account 0
        bool hasOverloadingAccount; ///< whether account 0 sends five times its rate
        std::uint64_t seed;
    };

    struct Outcome {
        std::vector<std::vector<double>> latenciesMs; ///< indexed by account
        std::uint64_t shedCount = 0; ///< requests that a target received beyond its slots
        std::uint64_t refusedCount = 0; ///< refused requests of the accounts within their rates
        std::uint64_t requestCount = 0; ///< requests of the accounts within their rates
        std::uint64_t hopCount = 0;
    };

    /// Runs events in the order of their times, and events at the same time in the order of their creation.
    class Simulation {
    public:
        explicit Simulation(const Setup& setup)
            : m_setup(setup)
            , m_random(setup.seed)
        {
            m_outcome.latenciesMs.resize(accountShares.size());
        }
        virtual ~Simulation() = default;
        Simulation(const Simulation&) = delete;
        Simulation& operator=(const Simulation&) = delete;

        Outcome run()
        {
            for (std::size_t account = 0; account < accountShares.size(); ++account)
                scheduleArrival(account);
            prepare();
            while (!m_events.empty() && m_events.top().at < m_start + simulatedTime) {
                auto event = m_events.top();
                m_events.pop();
                m_now = event.at;
                event.action();
            }
            return std::move(m_outcome);
        }

    protected:
        struct Job {
            std::size_t account;
            std::size_t entry;
            TimePoint arrivedAt;
            Duration serviceTime;
            int tryCount = 0;
            std::set<VmId> excludedVms;
        };

        virtual void prepare() { }
        virtual void arrive(RequestId id) = 0;

        void schedule(Duration after, std::function<void()> action)
        {
            m_events.push({ m_now + after, ++m_sequence, std::move(action) });
        }
        void complete(RequestId id)
        {
            const auto& job = m_jobs.at(id);
            if (job.arrivedAt >= m_start + warmUp)
                m_outcome.latenciesMs[job.account].push_back(
                    std::chrono::duration<double, std::milli>(m_now - job.arrivedAt).count());
            m_jobs.erase(id);
        }
        void refuse(RequestId id)
        {
            const auto& job = m_jobs.at(id);
            if (job.arrivedAt >= m_start + warmUp && !(m_setup.hasOverloadingAccount && job.account == 0))
                ++m_outcome.refusedCount;
            m_jobs.erase(id);
        }

        Setup m_setup; // NOLINT(readability-identifier-naming)
        Random m_random;
        TimePoint m_start { std::chrono::hours(1) };
        TimePoint m_now = m_start;
        std::map<RequestId, Job> m_jobs;
        Outcome m_outcome;

    private:
        struct ScheduledAction {
            TimePoint at;
            std::uint64_t sequence;
            std::function<void()> action;
            bool operator<(const ScheduledAction& other) const
            {
                return std::tie(other.at, other.sequence) < std::tie(at, sequence);
            }
        };

        Duration sampleExponential(double meanMs)
        {
            const double sampledMicros = -std::log(1 - m_random.unit()) * meanMs * 1000;
            return Duration(static_cast<std::int64_t>(sampledMicros) + 1);
        }

        void scheduleArrival(std::size_t account)
        {
            const double arrivalsPerMs
                = static_cast<double>(m_setup.targets * m_setup.slots) * m_setup.load / meanServiceMs;
            const double rateFactor = m_setup.hasOverloadingAccount && account == 0 ? 5 : 1;
            schedule(sampleExponential(1 / (arrivalsPerMs * accountShares.at(account) * rateFactor)), [this, account] {
                const auto id = ++m_lastId;
                m_jobs[id] = { account, m_random.below(entryCount), m_now, sampleExponential(meanServiceMs), 0, {} };
                if (m_now >= m_start + warmUp && !(m_setup.hasOverloadingAccount && account == 0))
                    ++m_outcome.requestCount;
                scheduleArrival(account);
                arrive(id);
            });
        }

        /// Fraction of the load by account: eight accounts, two of them large.
        static constexpr std::array<double, 8> accountShares { 0.1, 0.25, 0.25, 0.1, 0.1, 0.1, 0.05, 0.05 };

        std::priority_queue<ScheduledAction> m_events;
        std::uint64_t m_sequence = 0;
        RequestId m_lastId = 0;
    };

    /// Each entry chooses a random target and counts only its own requests there; a target sheds requests beyond its
    /// slots. A shed request is retried at another target up to three times, because an entry that does not know how
    /// busy a target is cannot queue for it.
    class NaiveSimulation : public Simulation {
    public:
        using Simulation::Simulation;

    private:
        void prepare() override
        {
            m_inFlight.resize(m_setup.targets);
            m_ownInFlight.resize(entryCount, std::vector<std::uint32_t>(m_setup.targets));
        }
        void arrive(RequestId id) override
        {
            auto& job = m_jobs.at(id);
            auto& ownInFlight = m_ownInFlight[job.entry];
            std::size_t target = m_random.below(m_setup.targets);
            for (std::size_t n = 0; n < m_setup.targets && ownInFlight[target] >= m_setup.slots; ++n)
                target = (target + 1) % m_setup.targets;
            ++ownInFlight[target];
            if (m_inFlight[target] >= m_setup.slots) {
                ++m_outcome.shedCount;
                --ownInFlight[target];
                constexpr int maxTryCount = 4;
                if (++job.tryCount >= maxTryCount)
                    return refuse(id);
                return schedule(std::chrono::milliseconds(1), [this, id] { arrive(id); });
            }
            ++m_inFlight[target];
            schedule(job.serviceTime, [this, id, target] {
                --m_inFlight[target];
                --m_ownInFlight[m_jobs.at(id).entry][target];
                complete(id);
            });
        }

        std::vector<std::uint32_t> m_inFlight;
        std::vector<std::vector<std::uint32_t>> m_ownInFlight;
    };

    /// Each target has one owner that admits requests to it; every entry runs the production routing code.
    class OwnerSimulation : public Simulation {
    public:
        using Simulation::Simulation;

    private:
        void prepare() override
        {
            const auto document = makeDocument(m_setup.targets, m_setup.slots);
            for (std::size_t n = 0; n < entryCount; ++n) {
                m_entries.push_back(makeEntry(n, entryCount, document, m_now, m_setup.seed));
                m_entryByVm[m_entries[n]->self.process.vm] = n;
                schedule(Duration(static_cast<std::int64_t>(m_random.below(1'000'000))), [this, n] { heartbeat(n); });
                schedule(Duration(static_cast<std::int64_t>(m_random.below(50'000))), [this, n] { tick(n); });
            }
        }
        template <typename F> void applyToEntry(std::size_t entry, F function)
        {
            Outbox outbox;
            Context context { m_now, outbox };
            function(*m_entries[entry], context);
            for (const auto& event : outbox.followUps) {
                if (const auto* granted = std::get_if<SlotGranted>(&event))
                    runAt(entry, granted->id, granted->target);
                else if (const auto* refusal = std::get_if<QueueRefused>(&event))
                    refuseAt(entry, refusal->id, refusal->retryAfter);
            }
        }
        void heartbeat(std::size_t n)
        {
            Heartbeat message;
            message.sender.process = m_entries[n]->self.process;
            message.loads = routing::ownLoads(*m_entries[n]);
            for (std::size_t to = 0; to < entryCount; ++to) {
                if (to != n)
                    schedule(hopLatency, [this, to, message] {
                        applyToEntry(to, [&](State& s, Context& c) { routing::onHeartbeat(s, message, c); });
                    });
            }
            schedule(std::chrono::seconds(1), [this, n] { heartbeat(n); });
        }
        void tick(std::size_t n)
        {
            applyToEntry(n, [](State& s, Context& c) { routing::onTick(s, c); });
            schedule(std::chrono::milliseconds(50), [this, n] { tick(n); });
        }
        void arrive(RequestId id) override
        {
            const auto entry = m_jobs.at(id).entry;
            routing::countFirstTry(*m_entries[entry], serviceName);
            routeRequest(id, entry, false);
        }
        void routeRequest(RequestId id, std::size_t entry, bool isForwarded)
        {
            routing::Decision decision;
            const auto& job = m_jobs.at(id);
            const std::string account = "account" + std::to_string(job.account);
            applyToEntry(entry, [&](State& s, Context& c) {
                decision = routing::route(s,
                    { id, serviceName, account, regionName, job.arrivedAt + std::chrono::seconds(5), &job.excludedVms,
                        isForwarded },
                    c);
            });
            if (const auto* here = std::get_if<routing::RunHere>(&decision)) {
                runAt(entry, id, here->target);
            } else if (const auto* forward = std::get_if<routing::ForwardTo>(&decision)) {
                ++m_outcome.hopCount;
                const auto owner = m_entryByVm.at(forward->owner);
                schedule(hopLatency, [this, id, owner] { routeRequest(id, owner, true); });
            } else if (const auto* none = std::get_if<routing::NoRoute>(&decision)) {
                refuseAt(entry, id, none->retryAfter);
            }
        }
        void runAt(std::size_t entry, RequestId id, const std::string& target)
        {
            const auto serviceTime = m_jobs.at(id).serviceTime;
            if (++m_inFlight[target] > m_setup.slots)
                ++m_outcome.shedCount;
            schedule(serviceTime, [this, entry, id, target, serviceTime] {
                --m_inFlight[target];
                AttemptEnded event;
                event.id = id;
                event.attempt = 1;
                event.outcome = AttemptOutcome::Complete;
                applyToEntry(
                    entry, [&](State& s, Context& c) { routing::recordAttemptEnd(s, target, event, serviceTime, c); });
                const auto from = m_jobs.at(id).entry;
                if (from == entry)
                    return complete(id);
                schedule(hopLatency, [this, id, from, entry, event] {
                    applyToEntry(from, [&](State& s, Context& c) {
                        routing::recordForwardEnd(s, m_entries[entry]->self.process.vm, serviceName, event, c);
                    });
                    complete(id);
                });
            });
        }
        void refuseAt(std::size_t entry, RequestId id, Duration after)
        {
            const auto from = m_jobs.at(id).entry;
            if (from == entry)
                return refuse(id);
            schedule(hopLatency, [this, id, from, entry, after] {
                const auto& vm = m_entries[entry]->self.process.vm;
                AttemptEnded event;
                event.id = id;
                event.attempt = 1;
                event.outcome = AttemptOutcome::NotRun;
                event.shed = true;
                event.status = 503;
                event.retryAfter = after;
                applyToEntry(
                    from, [&](State& s, Context& c) { routing::recordForwardEnd(s, vm, serviceName, event, c); });
                m_jobs.at(id).excludedVms.insert(vm);
                if (routing::tryTakeRetry(*m_entries[from], serviceName))
                    routeRequest(id, from, false);
                else
                    refuse(id);
            });
        }

        std::vector<std::unique_ptr<State>> m_entries;
        std::map<VmId, std::size_t> m_entryByVm;
        std::map<std::string, std::uint32_t> m_inFlight;
    };

    double quantile(std::vector<double> values, double q)
    {
        if (values.empty())
            return 0;
        const auto at = static_cast<std::ptrdiff_t>(q * static_cast<double>(values.size() - 1));
        std::nth_element(values.begin(), values.begin() + at, values.end());
        return values[static_cast<std::size_t>(at)];
    }

    /// Returns the highest p99 latency of the accounts except account 0, which exceeds its rate in one of the two runs,
    /// so that both runs compare the same accounts.
    double findWorstP99OfOthers(const Outcome& outcome)
    {
        double worstP99 = 0;
        for (std::size_t n = 1; n < outcome.latenciesMs.size(); ++n)
            worstP99 = std::max(worstP99, quantile(outcome.latenciesMs[n], 0.99));
        return worstP99;
    }

    template <typename S> void compare(const char* design, Setup setup)
    {
        setup.hasOverloadingAccount = false;
        const auto normalOutcome = S(setup).run();
        setup.hasOverloadingAccount = true;
        const auto overloadOutcome = S(setup).run();
        std::vector<double> all;
        for (const auto& it : normalOutcome.latenciesMs)
            all.insert(all.end(), it.begin(), it.end());
        const auto percent = [](const Outcome& it) {
            return 100.0 * static_cast<double>(it.refusedCount)
                / static_cast<double>(std::max<std::uint64_t>(it.requestCount, 1));
        };
        std::printf("%2zu x %u slots %3.0f%%  %-6s  p50 %6.2f  p99 %7.2f  worst %7.2f  sheds %6llu  refused %6.3f%%"
                    "  | account at 5x: worst other %7.2f  ratio %.2f  sheds %6llu  refused %6.3f%%\n",
            setup.targets, setup.slots, setup.load * 100, design, quantile(all, 0.5), quantile(all, 0.99),
            findWorstP99OfOthers(normalOutcome), static_cast<unsigned long long>(normalOutcome.shedCount),
            percent(normalOutcome), findWorstP99OfOthers(overloadOutcome),
            findWorstP99OfOthers(overloadOutcome) / findWorstP99OfOthers(normalOutcome),
            static_cast<unsigned long long>(overloadOutcome.shedCount), percent(overloadOutcome));
    }

    void compareAll()
    {
        constexpr std::uint64_t seed = 20261204;
        std::printf(
            "simulation: 22 entries, service time exponential with mean 20 ms, 40 s, seed %llu; latencies in ms\n",
            static_cast<unsigned long long>(seed));
        for (const auto& [targets, slots] : { std::pair<std::size_t, std::uint32_t> { 30, 6 }, { 12, 3 } }) {
            for (const double load : { 0.6, 0.85, 0.95 }) {
                compare<OwnerSimulation>("owners", { targets, slots, load, false, seed });
                compare<NaiveSimulation>("naive", { targets, slots, load, false, seed });
            }
        }
    }

} // namespace
} // namespace arbutuscrank

int main(int argc, char** argv)
{
    benchmark::Initialize(&argc, argv);
    benchmark::RunSpecifiedBenchmarks();
    arbutuscrank::compareAll();
    return 0;
}
