#include "entry/entry_harness.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>

namespace arbutuscrank::entry::test {

namespace {

    /// Coordinators that exchange usage reports with delays, losses, partitions and restarts.
    class QuotaFleet {
    public:
        QuotaFleet(int domains, double rate, double burst, std::uint64_t seed)
            : m_random(seed)
        {
            m_policy.version = 1;
            m_policy.accounts = { { .name = "acme", .ratePerSecond = rate, .burst = burst } };
            for (int i = 0; i < domains; ++i)
                m_domainNames.push_back("domain" + std::to_string(i));
            for (const auto& name : m_domainNames)
                m_nodes.push_back(makeNode(name));
        }

        /// Advances the clock while requests arrive, spread evenly over all coordinators.
        void run(Duration duration, double requestsPerSecond)
        {
            for (const auto end = m_now + duration; m_now < end; m_now += step) {
                deliver();
                for (std::size_t i = 0; i < m_nodes.size(); ++i)
                    runNode(i, requestsPerSecond);
            }
        }

        void restartAll()
        {
            m_datagrams.clear();
            for (std::size_t i = 0; i < m_nodes.size(); ++i)
                m_nodes[i] = makeNode(m_domainNames[i]);
        }

        /// Separates the first \p domains failure domains from the others by a network partition; 0 ends it.
        void partition(std::size_t domains) { m_partitionedDomains = domains; }

        /// Gives each coordinator a new incarnation and lets it start to coordinate with its state. Unlike a real
        /// standby, it keeps admissions that were not reported.
        void restartCoordination()
        {
            for (auto& node : m_nodes) {
                node.incarnation = ++m_incarnations;
                node.sequence = 0;
                node.quota.startCoordinating(m_now);
            }
        }

        /// Largest number of requests admitted in any window of a length.
        [[nodiscard]] std::size_t maxCountInWindow(Duration window) const
        {
            std::size_t most = 0;
            for (std::size_t first = 0, last = 0; last < m_admissionTimes.size(); ++last) {
                while (m_admissionTimes[last] - m_admissionTimes[first] >= window)
                    ++first;
                most = std::max(most, last - first + 1);
            }
            return most;
        }

        [[nodiscard]] std::size_t admittedCount() const { return m_admissionTimes.size(); }
        [[nodiscard]] std::size_t requestCount() const { return m_requestCount; }

    private:
        static constexpr Duration step = milliseconds(5);

        struct Node {
            QuotaSharing quota;
            DomainReportTable domainReports;
            Incarnation incarnation = 0;
            std::uint64_t sequence = 0;
            TimePoint lastReportAt {};
            TimePoint lastTickAt {};
        };
        struct Datagram {
            TimePoint due;
            std::size_t to;
            DomainReport report;
        };

        Node makeNode(const std::string& name)
        {
            Node node { .quota = QuotaSharing(Bounds {}, name) };
            node.incarnation = ++m_incarnations;
            node.quota.setPolicy(m_policy, m_now);
            node.quota.startCoordinating(m_now);
            return node;
        }

        void runNode(std::size_t i, double requestsPerSecond)
        {
            auto& node = m_nodes[i];
            const double expected = requestsPerSecond * 0.005 / static_cast<double>(m_nodes.size());
            const auto requests = static_cast<int>(expected + m_random.unit());
            for (int n = 0; n < requests; ++n) {
                ++m_requestCount;
                if (node.quota.admit("acme", m_now))
                    m_admissionTimes.push_back(m_now);
            }
            if (m_now - node.lastTickAt >= milliseconds(200)) {
                node.lastTickAt = m_now;
                std::set<std::string> others(m_domainNames.begin(), m_domainNames.end());
                others.erase(m_domainNames[i]);
                node.quota.updateShares(others, m_now);
            }
            const auto interval = node.quota.needsExchange() ? milliseconds(50)
                : node.quota.hasLowBucket()                  ? milliseconds(200)
                                                             : milliseconds(300);
            if (m_now - node.lastReportAt >= interval)
                sendReport(i);
        }

        [[nodiscard]] std::map<std::string, ReportId> collectAcknowledgedReports(const Node& node) const
        {
            std::map<std::string, ReportId> out;
            for (const auto& [name, entry] : node.domainReports.all()) {
                if (DomainReportTable::isFresh(entry, m_now))
                    out[name] = { entry.report.coordinator.incarnation, entry.report.sequence };
            }
            return out;
        }

        void sendReport(std::size_t i)
        {
            auto& node = m_nodes[i];
            node.lastReportAt = m_now;
            const DomainReport report { .coordinator = { "vm-of-" + m_domainNames[i], node.incarnation },
                .sequence = ++node.sequence,
                .failureDomain = m_domainNames[i],
                .acknowledgedReports = collectAcknowledgedReports(node),
                .accounts = node.quota.collectUsage(m_now) };
            node.quota.recordSentReport({ node.incarnation, report.sequence }, m_now);
            for (std::size_t to = 0; to < m_nodes.size(); ++to) {
                const bool isPartitioned = (i < m_partitionedDomains) != (to < m_partitionedDomains);
                if (to != i && !isPartitioned && m_random.unit() > 0.02)
                    m_datagrams.push_back(
                        { m_now + milliseconds(1 + static_cast<int>(m_random.below(60))), to, report });
            }
        }

        void deliver()
        {
            std::erase_if(m_datagrams, [&](const Datagram& it) {
                if (it.due > m_now)
                    return false;
                auto& node = m_nodes[it.to];
                if (node.domainReports.apply(it.report, m_now))
                    node.quota.applyReport(it.report, m_now);
                return true;
            });
        }

        Random m_random;
        TrafficPolicy m_policy;
        std::vector<std::string> m_domainNames;
        std::vector<Node> m_nodes;
        std::deque<Datagram> m_datagrams;
        std::vector<TimePoint> m_admissionTimes;
        std::size_t m_requestCount = 0;
        std::size_t m_partitionedDomains = 0;
        Incarnation m_incarnations = 0;
        TimePoint m_now { std::chrono::hours(1) };
    };

    double maxAdmitted(double rate, double burst)
    {
        const Bounds bounds;
        const double window = std::chrono::duration<double>(bounds.quotaWindow).count();
        return (rate * window + burst) * (1 + bounds.quotaOverage) + bounds.quotaSlack;
    }

} // namespace

// Guards against an account that exceeds its rate and burst over all VMs when its demand jumps, when a partition
// separates coordinators, when coordinators are replaced, and when all processes crash and restart.
RC_GTEST_PROP(QuotaSharingFleet, KeepsToTheQuotaUnderFailures, ())
{
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto domains = *rc::gen::inRange(2, 24);
    const double rate = *rc::gen::inRange(10, 200);
    const double burst = rate;
    QuotaFleet fleet(domains, rate, burst, seed);
    fleet.run(seconds(4), rate * 0.6);
    for (int i = 0; i < 4; ++i) {
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            fleet.run(seconds(4), rate * 8);
            break;
        case 1:
            fleet.restartAll();
            fleet.run(seconds(3), rate * 4);
            break;
        case 2:
            fleet.restartCoordination();
            fleet.run(seconds(3), rate * 4);
            break;
        default:
            fleet.partition(static_cast<std::size_t>(domains) / 3);
            fleet.run(seconds(4), rate * 3);
            fleet.partition(0);
            break;
        }
        fleet.run(seconds(1), rate * 0.6);
    }
    RC_ASSERT(static_cast<double>(fleet.maxCountInWindow(Bounds {}.quotaWindow)) <= maxAdmitted(rate, burst));
}

// Guards against refusals of an account whose demand stays below its rate.
TEST(QuotaSharingFleet, AdmitsAnAccountBelowItsRate)
{
    QuotaFleet fleet(22, 40, 40, 20261204);
    fleet.run(seconds(5), 5); // the bucket is refilled
    const auto requestsBefore = fleet.requestCount();
    const auto admittedBefore = fleet.admittedCount();
    fleet.run(seconds(20), 25);
    const auto newRequests = fleet.requestCount() - requestsBefore;
    EXPECT_GE(fleet.admittedCount() - admittedBefore, newRequests * 97 / 100);
}

// Guards against an account that is granted much less than its rate when its demand exceeds the rate.
TEST(QuotaSharingFleet, GivesAnAccountAboveItsRateAboutThatRate)
{
    QuotaFleet fleet(22, 40, 40, 20261204);
    fleet.run(seconds(4), 200);
    const auto before = fleet.admittedCount();
    fleet.run(seconds(20), 200);
    EXPECT_GE(static_cast<double>(fleet.admittedCount() - before), 0.85 * 40 * 20);
}

} // namespace arbutuscrank::entry::test
