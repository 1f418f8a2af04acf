#include "entry/entry_harness.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>

namespace arbutuscrank::entry::test {

namespace {

    /// A fleet of admissions that tell each other their use, with delays, losses, cuts and restarts.
    class QuotaFleet {
    public:
        QuotaFleet(int vms, double rate, double burst, std::uint64_t seed)
            : m_random(seed)
        {
            m_policy.version = 1;
            m_policy.accounts = { { .name = "acme", .ratePerSecond = rate, .burst = burst } };
            for (int i = 0; i < vms; ++i)
                m_records.push_back({ .process = { "vm" + std::to_string(i), 0 }, .region = "north" });
            for (int i = 0; i < vms; ++i)
                m_nodes.push_back(makeNode(i));
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
                m_nodes[i] = makeNode(static_cast<int>(i));
        }

        /// Cuts the first VMs off from the others, or heals the cut.
        void cut(std::size_t vms) { m_cut = vms; }

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
            MemberTable members;
            QuotaSharing quota;
            Incarnation incarnation = 0;
            std::uint64_t sequence = 0;
            TimePoint reportedAt {};
            TimePoint tickedAt {};
        };
        struct Datagram {
            TimePoint due;
            std::size_t to;
            Report report;
        };

        Node makeNode(int i)
        {
            Node node { MemberTable(m_records[static_cast<std::size_t>(i)]), QuotaSharing(Bounds {}) };
            node.incarnation = ++m_incarnations;
            node.members.applySnapshot(m_records, m_now);
            node.quota.setPolicy(m_policy, m_now);
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
            if (m_now - node.tickedAt >= milliseconds(200)) {
                node.tickedAt = m_now;
                node.quota.updateShares(node.members, m_now);
            }
            const auto interval = node.quota.wantsReport() ? milliseconds(60)
                : node.quota.isPressed()                   ? milliseconds(200)
                                                           : milliseconds(500);
            if (m_now - node.reportedAt >= interval)
                report(i);
        }

        void report(std::size_t i)
        {
            auto& node = m_nodes[i];
            node.reportedAt = m_now;
            const Report report { .process = { m_records[i].process.vm, node.incarnation },
                .sequence = ++node.sequence,
                .accounts = node.quota.takeUse(m_now) };
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
                if (node.members.applyReport(it.report, m_now))
                    node.quota.applyReport(node.members.others().at(it.report.process.vm), m_now);
                return true;
            });
        }

        Random m_random;
        TrafficPolicy m_policy;
        std::vector<MemberRecord> m_records;
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

// Guards against an account that exceeds its rate and burst over all VMs: when its demand jumps, when VMs cannot hear
// each other, and when all processes are killed and start again.
RC_GTEST_PROP(QuotaSharingFleet, KeepsToTheQuotaUnderFailures, ())
{
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto vms = *rc::gen::inRange(2, 24);
    const double rate = *rc::gen::inRange(10, 200);
    const double burst = rate;
    QuotaFleet fleet(vms, rate, burst, seed);
    fleet.run(seconds(4), rate * 0.6);
    for (int i = 0; i < 4; ++i) {
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            fleet.run(seconds(4), rate * 8);
            break;
        case 1:
            fleet.killAll();
            fleet.run(seconds(3), rate * 4);
            break;
        default:
            fleet.cut(static_cast<std::size_t>(vms) / 3);
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
