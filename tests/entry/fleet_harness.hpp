#pragma once

#include "entry/entry_harness.hpp"

#include <algorithm>
#include <deque>
#include <set>
#include <utility>

/// \file
/// \brief Several entries that exchange their datagrams through a network with delays, losses and cuts, in logical
/// time.

namespace arbutuscrank::entry::test {

class Fleet {
public:
    static constexpr Duration step = milliseconds(5);

    /// \param vmsPerDomain VMs "a1", "a2", ... of failure domain "a", and so on; the first has the most capacity
    Fleet(std::vector<int> vmsPerDomain, TrafficPolicy policy, std::uint64_t seed = 1)
        : m_random(seed)
        , m_policy(std::move(policy))
    {
        char domain = 'a';
        for (const int n : vmsPerDomain) {
            for (int i = 1; i <= n; ++i) {
                const auto vm = std::string(1, domain) + std::to_string(i);
                m_records.push_back({ .process = { vm, 0 },
                    .region = "north",
                    .failureDomain = std::string(1, domain),
                    .callerAddress = vm + ":80",
                    .reportAddress = vm + ":90",
                    .capacity = i == 1 ? 2.0 : 1.0 });
            }
            ++domain;
        }
        for (const auto& record : m_records)
            start(record.process.vm);
    }

    void start(const VmId& vm)
    {
        auto record = recordOf(vm);
        record.process.incarnation = ++m_incarnations;
        EntrySettings settings;
        settings.vm = vm;
        settings.region = record.region;
        settings.failureDomain = record.failureDomain;
        auto& entry = m_entries.insert_or_assign(vm, EntryState(settings, record, ++m_seed)).first->second;
        handle(entry, PolicyRead { m_policy });
        handle(entry, TargetsListed { { makeTarget("t1"), makeTarget("t2"), makeTarget("t3") } });
        handle(entry, MembersListed { m_records });
        handle(entry, StoreAnswered {});
    }

    void kill(const VmId& vm) { m_entries.erase(vm); }

    /// Nothing that a VM sends arrives any more, or everything does again.
    void mute(const VmId& vm, bool muted = true)
    {
        if (muted)
            m_muted.insert(vm);
        else
            m_muted.erase(vm);
    }

    void setLoss(double share) { m_loss = share; }

    /// Lets time pass. Requests of the account come in at random VMs.
    void run(Duration duration, double requestsPerSecond = 0)
    {
        for (const auto end = now + duration; now < end;) {
            now += step;
            deliver();
            expireAdmissions();
            m_due += requestsPerSecond * std::chrono::duration<double>(step).count();
            for (; m_due >= 1; m_due -= 1)
                request();
            if ((now - TimePoint {}) % milliseconds(200) == Duration::zero())
                tickAll();
        }
    }

    [[nodiscard]] EntryState& at(const VmId& vm) { return m_entries.at(vm); }
    [[nodiscard]] std::vector<VmId> coordinators(const std::string& domain) const
    {
        std::vector<VmId> out;
        for (const auto& [vm, entry] : m_entries) {
            if (entry.settings.failureDomain == domain && entry.coordination.isCoordinator())
                out.push_back(vm);
        }
        return out;
    }

    TimePoint now { std::chrono::hours(1) };
    std::vector<TimePoint> admitted; ///< times at which requests were sent to a target
    std::map<std::uint32_t, std::size_t> refused; ///< by status
    std::size_t asked = 0;

private:
    struct Datagram {
        TimePoint due;
        VmId to;
        FleetMessage message;
    };

    [[nodiscard]] MemberRecord recordOf(const VmId& vm) const
    {
        return *std::ranges::find_if(m_records, [&](const auto& it) { return it.process.vm == vm; });
    }

    void request()
    {
        if (m_entries.empty())
            return;
        auto it = m_entries.begin();
        std::advance(it, static_cast<std::ptrdiff_t>(m_random.below(m_entries.size())));
        ++asked;
        handle(it->second,
            RequestArrived {
                .request = ++m_lastRequest, .host = host, .path = "/read/1", .key = key, .timeLeft = seconds(3) });
    }

    void tickAll()
    {
        for (auto& [vm, entry] : m_entries) {
            handle(entry, PolicyConfirmed { now });
            handle(entry, Tick {});
        }
    }

    void handle(EntryState& entry, const EntryEvent& event)
    {
        std::vector<EntryEffect> effects;
        reduce(entry, event, now, effects);
        for (const auto& effect : effects)
            perform(entry, effect);
    }

    void perform(EntryState& entry, const EntryEffect& effect)
    {
        const auto& vm = entry.members.self().process.vm;
        if (const auto* it = std::get_if<SendMessage>(&effect)) {
            for (const auto& address : it->addresses) {
                if (!m_muted.contains(vm) && m_random.unit() >= m_loss)
                    m_network.push_back({ now + milliseconds(1 + static_cast<int>(m_random.below(30))),
                        address.substr(0, address.find(':')), it->message });
            }
        } else if (const auto* due = std::get_if<SetAdmissionTimer>(&effect)) {
            m_admissions[{ vm, due->request }] = due->at;
        } else if (const auto* own = std::get_if<SendLocalAnswer>(&effect)) {
            ++refused[own->status];
        } else if (const auto* sent = std::get_if<SendAttempt>(&effect)) {
            admitted.push_back(now);
            // The target answers at once: its slots are not what is tested here.
            m_answers.push_back({ vm, { .request = sent->request, .attempt = sent->attempt, .status = 200 } });
        }
    }

    void deliver()
    {
        for (auto& [vm, answer] : std::exchange(m_answers, {})) {
            if (const auto it = m_entries.find(vm); it != m_entries.end())
                handle(it->second, answer);
        }
        for (auto& datagram : std::exchange(m_network, {})) {
            if (datagram.due > now) {
                m_network.push_back(std::move(datagram));
                continue;
            }
            if (const auto it = m_entries.find(datagram.to); it != m_entries.end())
                handle(it->second, toEvent(datagram.message));
        }
    }

    static EntryEvent toEvent(const FleetMessage& message)
    {
        struct Visitor {
            EntryEvent operator()(const VmReport& it) const { return VmReportReceived { it }; }
            EntryEvent operator()(const DomainReport& it) const { return DomainReportReceived { it }; }
            EntryEvent operator()(const Digest& it) const { return DigestReceived { it }; }
            EntryEvent operator()(const AdmissionRequest& it) const { return AdmissionRequestReceived { it }; }
            EntryEvent operator()(const AdmissionDecision& it) const { return AdmissionDecisionReceived { it }; }
            EntryEvent operator()(const TokenReturn& it) const { return TokenReturnReceived { it }; }
        };
        return std::visit(Visitor {}, message);
    }

    void expireAdmissions()
    {
        for (const auto& [asker, at] : std::exchange(m_admissions, {})) {
            const auto it = m_entries.find(asker.first);
            if (it == m_entries.end())
                continue;
            if (at > now)
                m_admissions.emplace(asker, at);
            else
                handle(it->second, AdmissionTimedOut { asker.second });
        }
    }

    Random m_random;
    TrafficPolicy m_policy;
    std::vector<MemberRecord> m_records;
    std::map<VmId, EntryState> m_entries;
    std::deque<Datagram> m_network;
    std::vector<std::pair<VmId, AttemptAnswered>> m_answers;
    std::map<std::pair<VmId, RequestId>, TimePoint> m_admissions;
    std::set<VmId> m_muted;
    double m_loss = 0;
    double m_due = 0;
    RequestId m_lastRequest = 0;
    Incarnation m_incarnations = 0;
    std::uint64_t m_seed = 0;
};

} // namespace arbutuscrank::entry::test
