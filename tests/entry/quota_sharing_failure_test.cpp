#include "entry/entry_harness.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>

namespace arbutuscrank::entry::test {

namespace {

    /// Coordinators of failure domains that tell each other their use, with delays, losses, cuts and restarts.
    class QuotaFleet {
    public:
        QuotaFleet(int domains, double rate, double burst, std::uint64_t seed)
            : m_random(seed)
        {
            m_policy.version = 1;
            m_policy.accounts = { { .name = "acme", .ratePerSecond = rate, .burst = burst } };
            for (int i = 0; i < domains; ++i)
                m_names.push_back("domain" + std::to_string(i));
            for (const auto& name : m_names)
                m_nodes.push_back(makeNode(name));
        }

        /// Runs for a time with so many requests a second over the whole fleet.
        void run(Duration duration, double perSecond)
        {
            for (const auto end = m_now + duration; m_now < end; m_now += step) {
                deliver();
                for (std::size_t i = 0; i < m_nodes.size(); ++i)
                    runNode(i, perSecond);
            }
        }

        void killAll()
        {
            m_inFlight.clear();
            for (std::size_t i = 0; i < m_nodes.size(); ++i)
                m_nodes[i] = makeNode(m_names[i]);
        }

        /// Cuts the first domains off from the others, or heals the cut.
        void cut(std::size_t domains) { m_cut = domains; }

        /// Another VM takes over each domain: it was told of the reports, and begins to admit itself.
        void takeOver()
        {
            for (auto& node : m_nodes) {
                node.incarnation = ++m_incarnations;
                node.sequence = 0;
                node.quota.startCoordinating(m_now);
            }
        }

        /// Most requests admitted in any span of a length.
        [[nodiscard]] std::size_t mostIn(Duration window) const
        {
            std::size_t most = 0;
            for (std::size_t first = 0, last = 0; last < m_admitted.size(); ++last) {
                while (m_admitted[last] - m_admitted[first] >= window)
                    ++first;
                most = std::max(most, last - first + 1);
            }
            return most;
        }

        [[nodiscard]] std::size_t admitted() const { return m_admitted.size(); }
        [[nodiscard]] std::size_t asked() const { return m_asked; }

    private:
        static constexpr Duration step = milliseconds(5);

        struct Node {
            QuotaSharing quota;
            DomainReportTable domains;
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

        void runNode(std::size_t i, double perSecond)
        {
            auto& node = m_nodes[i];
            const double expected = perSecond * 0.005 / static_cast<double>(m_nodes.size());
            const auto requests = static_cast<int>(expected + m_random.unit());
            for (int n = 0; n < requests; ++n) {
                ++m_asked;
                if (node.quota.admit("acme", m_now))
                    m_admitted.push_back(m_now);
            }
            if (m_now - node.lastTickAt >= milliseconds(200)) {
                node.lastTickAt = m_now;
                std::set<std::string> others(m_names.begin(), m_names.end());
                others.erase(m_names[i]);
                node.quota.updateShares(others, m_now);
            }
            const auto interval = node.quota.needsExchange() ? milliseconds(50)
                : node.quota.hasLowBucket()                  ? milliseconds(200)
                                                             : milliseconds(300);
            if (m_now - node.lastReportAt >= interval)
                report(i);
        }

        [[nodiscard]] std::map<std::string, ReportId> heardReports(const Node& node) const
        {
            std::map<std::string, ReportId> out;
            for (const auto& [name, entry] : node.domains.all()) {
                if (DomainReportTable::isFresh(entry, m_now))
                    out[name] = { entry.report.coordinator.incarnation, entry.report.sequence };
            }
            return out;
        }

        void report(std::size_t i)
        {
            auto& node = m_nodes[i];
            node.lastReportAt = m_now;
            const DomainReport report { .coordinator = { "vm-of-" + m_names[i], node.incarnation },
                .sequence = ++node.sequence,
                .failureDomain = m_names[i],
                .acknowledgedReports = heardReports(node),
                .accounts = node.quota.collectUsage(m_now) };
            node.quota.recordSentReport({ node.incarnation, report.sequence }, m_now);
            for (std::size_t to = 0; to < m_nodes.size(); ++to) {
                const bool isCut = (i < m_cut) != (to < m_cut);
                if (to != i && !isCut && m_random.unit() > 0.02)
                    m_inFlight.push_back(
                        { m_now + milliseconds(1 + static_cast<int>(m_random.below(60))), to, report });
            }
        }

        void deliver()
        {
            std::erase_if(m_inFlight, [&](const Datagram& it) {
                if (it.due > m_now)
                    return false;
                auto& node = m_nodes[it.to];
                if (node.domains.apply(it.report, m_now))
                    node.quota.applyReport(it.report, m_now);
                return true;
            });
        }

        Random m_random;
        TrafficPolicy m_policy;
        std::vector<std::string> m_names;
        std::vector<Node> m_nodes;
        std::deque<Datagram> m_inFlight;
        std::vector<TimePoint> m_admitted;
        std::size_t m_asked = 0;
        std::size_t m_cut = 0;
        Incarnation m_incarnations = 0;
        TimePoint m_now { std::chrono::hours(1) };
    };

    double allowed(double rate, double burst)
    {
        const Bounds bounds;
        const double window = std::chrono::duration<double>(bounds.quotaWindow).count();
        return (rate * window + burst) * (1 + bounds.quotaOverage) + bounds.quotaSlack;
    }

} // namespace

// Guards against an account that exceeds its rate and burst over all VMs: when its demand jumps, when coordinators
// cannot hear each other or are replaced, and when all processes are killed and start again.
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
            fleet.killAll();
            fleet.run(seconds(3), rate * 4);
            break;
        case 2:
            fleet.takeOver();
            fleet.run(seconds(3), rate * 4);
            break;
        default:
            fleet.cut(static_cast<std::size_t>(domains) / 3);
            fleet.run(seconds(4), rate * 3);
            fleet.cut(0);
            break;
        }
        fleet.run(seconds(1), rate * 0.6);
    }
    RC_ASSERT(static_cast<double>(fleet.mostIn(Bounds {}.quotaWindow)) <= allowed(rate, burst));
}

// Guards against refusals of an account that stays below its rate.
TEST(QuotaSharingFleet, AdmitsAnAccountBelowItsRate)
{
    QuotaFleet fleet(22, 40, 40, 20261204);
    fleet.run(seconds(5), 5); // the bucket fills
    const auto askedBefore = fleet.asked();
    const auto admittedBefore = fleet.admitted();
    fleet.run(seconds(20), 25);
    const auto asked = fleet.asked() - askedBefore;
    EXPECT_GE(fleet.admitted() - admittedBefore, asked * 97 / 100);
}

// Guards against an account that gets much less than its rate when it asks for more.
TEST(QuotaSharingFleet, GivesAnAccountAboveItsRateAboutThatRate)
{
    QuotaFleet fleet(22, 40, 40, 20261204);
    fleet.run(seconds(4), 200);
    const auto before = fleet.admitted();
    fleet.run(seconds(20), 200);
    EXPECT_GE(static_cast<double>(fleet.admitted() - before), 0.85 * 40 * 20);
}

} // namespace arbutuscrank::entry::test
