#pragma once

#include "entry/entry_harness.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>

/// \file
/// \brief Model in logical time: entry VMs of one region, and targets with slots, queues, caches and a changing speed.

namespace arbutuscrank::entry::test {

/// How long work takes at a target, 1 as usual, by its number and the seconds since the start.
using SpeedPlan = std::function<double(std::size_t target, double seconds)>;

struct SpeedModelOptions {
    std::size_t vms = 8;
    std::size_t targets = 24;
    std::size_t objects = 240;
    double load = 0.6; ///< work of all requests with warm caches, as a fraction of the slots
    bool reportsWorkTime = true;
    std::uint64_t seed = 1;
};

struct SpeedModelResult {
    std::size_t requests = 0;
    std::size_t late = 0; ///< answered after the latency objective, or refused
    std::size_t attemptsAtSlow = 0; ///< sent to a target that took at least twice as long as usual
    std::size_t attemptsWithFigure = 0; ///< sent while the VM had a figure younger than \ref WorkTime::maxAge
    std::vector<std::string> order; ///< target of each attempt

    [[nodiscard]] double slowShare() const { return shareOfAttempts(attemptsAtSlow); }
    [[nodiscard]] double figureShare() const { return shareOfAttempts(attemptsWithFigure); }
    [[nodiscard]] double shareOfAttempts(std::size_t n) const
    {
        return static_cast<double>(n) / static_cast<double>(order.size());
    }
};

class SpeedModel {
public:
    static constexpr Duration step = milliseconds(5);
    static constexpr double stepSeconds = 0.005;
    static constexpr std::uint32_t slots = 4; ///< of each target, see \ref makeTarget
    static constexpr double workSeconds = 0.2; ///< of a request whose object is cached
    static constexpr double coldFactor = 3.3;
    static constexpr std::size_t cachedObjects = 26;
    static constexpr Duration objective = milliseconds(500);
    static constexpr Duration warmUp = seconds(6);

    SpeedModel(const SpeedModelOptions& options, SpeedPlan plan)
        : m_options(options)
        , m_plan(std::move(plan))
        , m_random(options.seed)
        , m_targets(options.targets)
    {
        std::vector<MemberRecord> members;
        for (std::size_t i = 0; i < options.vms; ++i) {
            const auto vm = "vm" + std::to_string(i);
            members.push_back({ .process = { vm, 1 },
                .region = "north",
                .failureDomain = i % 2 == 0 ? "north-a" : "north-b",
                .reportAddress = vm });
        }
        std::vector<TargetRecord> records;
        for (std::size_t i = 0; i < options.targets; ++i) {
            records.push_back(makeTarget("t" + std::to_string(i)));
            m_numbers[records.back().id] = i;
        }
        for (const auto& member : members) {
            auto settings = makeSettings();
            settings.vm = member.process.vm;
            settings.failureDomain = member.failureDomain;
            settings.sharesRoom = false;
            auto& entry = m_entries.emplace(member.process.vm, EntryState(settings, member, ++m_seed)).first->second;
            handle(entry, MembersListed { members });
            handle(entry, PolicyRead { makePolicy() });
            handle(entry, TargetsListed { records });
            handle(entry, StoreAnswered {});
        }
    }

    /// Loads the caches, then counts the requests of \p duration.
    SpeedModelResult run(Duration duration)
    {
        const auto begin = m_start + warmUp;
        const auto end = begin + duration;
        double due = 0;
        while (m_now < end + seconds(1)) {
            m_now += step;
            m_isCounting = m_now >= begin && m_now < end;
            runTargets();
            deliver();
            fireTimers();
            if ((m_now - TimePoint {}) % milliseconds(200) == Duration::zero()) {
                for (auto& [vm, entry] : m_entries) {
                    handle(entry, PolicyConfirmed { m_now });
                    handle(entry, StoreAnswered {});
                    handle(entry, Tick {});
                }
            }
            if (m_now < end)
                due += requestsPerStep();
            while (due >= 1) {
                due -= 1;
                raiseRequest();
            }
        }
        return m_result;
    }

private:
    struct Work {
        std::string vm;
        RequestId request = 0;
        AttemptId attempt = 0;
        std::string object;
        double remaining = -1; ///< seconds of work; negative while it waits
    };
    struct ModelTarget {
        std::deque<Work> work; ///< the first ones run
        std::deque<std::string> cache; ///< least recently used first
    };
    struct Arrival {
        TimePoint at;
        std::string object;
        bool isCounted = false;
    };

    [[nodiscard]] double requestsPerStep() const
    {
        const double perSecond = m_options.load * slots * static_cast<double>(m_options.targets) / workSeconds;
        return std::min(1.0, secondsSinceStart() / 5) * perSecond * stepSeconds; // caches are loaded step by step
    }
    [[nodiscard]] double secondsSinceStart() const { return std::chrono::duration<double>(m_now - m_start).count(); }
    [[nodiscard]] double speedOf(std::size_t target) const
    {
        const auto sinceWarm = secondsSinceStart() - std::chrono::duration<double>(warmUp).count();
        return sinceWarm < 0 ? 1 : m_plan(target, sinceWarm);
    }

    void raiseRequest()
    {
        auto it = m_entries.begin();
        std::advance(it, static_cast<std::ptrdiff_t>(m_random.below(m_entries.size())));
        auto object = std::to_string(m_random.below(m_options.objects));
        m_arrivals[++m_lastRequest] = { m_now, object, m_isCounting };
        m_result.requests += m_isCounting ? 1 : 0;
        handle(it->second,
            RequestArrived { .request = m_lastRequest,
                .host = host,
                .path = "/open/1",
                .affinity = object,
                .timeLeft = seconds(2) });
    }

    void startWork(ModelTarget& target, Work& work)
    {
        const auto it = std::ranges::find(target.cache, work.object);
        const bool isCached = it != target.cache.end();
        if (isCached)
            target.cache.erase(it);
        else if (target.cache.size() >= cachedObjects)
            target.cache.pop_front();
        target.cache.push_back(work.object);
        work.remaining = workSeconds * (0.85 + 0.3 * m_random.unit()) * (isCached ? 1 : coldFactor);
    }

    void runTargets()
    {
        for (std::size_t i = 0; i < m_targets.size(); ++i) {
            auto& target = m_targets[i];
            const double done = stepSeconds / speedOf(i);
            std::vector<Work> ended;
            for (std::size_t k = 0; k < std::min<std::size_t>(slots, target.work.size()); ++k) {
                if (target.work[k].remaining < 0)
                    startWork(target, target.work[k]);
                target.work[k].remaining = std::max(0.0, target.work[k].remaining - done);
            }
            for (std::size_t k = std::min<std::size_t>(slots, target.work.size()); k-- > 0;) {
                if (target.work[k].remaining > 0)
                    continue;
                ended.push_back(target.work[k]);
                target.work.erase(target.work.begin() + static_cast<std::ptrdiff_t>(k));
            }
            for (const auto& work : ended) {
                const auto all = static_cast<std::uint32_t>(target.work.size() + 1);
                LoadReport load { std::min<std::uint32_t>(slots, all), all - std::min<std::uint32_t>(slots, all), slots,
                    std::nullopt };
                if (m_options.reportsWorkTime)
                    load.workTimePercent = 100 * speedOf(i);
                handle(m_entries.at(work.vm),
                    AttemptAnswered { .request = work.request, .attempt = work.attempt, .status = 200, .load = load });
            }
        }
    }

    void deliver()
    {
        for (auto& [vm, message] : std::exchange(m_messages, {})) {
            auto& entry = m_entries.at(vm);
            if (const auto* report = std::get_if<VmReport>(&message))
                handle(entry, VmReportReceived { *report });
            else if (const auto* domain = std::get_if<DomainReport>(&message))
                handle(entry, DomainReportReceived { *domain });
            else if (const auto* digest = std::get_if<Digest>(&message))
                handle(entry, DigestReceived { *digest });
        }
    }

    void fireTimers()
    {
        for (const auto& [timer, at] : std::exchange(m_timers, {})) {
            if (at > m_now)
                m_timers.emplace(timer, at);
            else if (timer.second.second)
                handle(m_entries.at(timer.first), HedgeDue { timer.second.first });
            else
                handle(m_entries.at(timer.first), RequestExpired { timer.second.first });
        }
    }

    void endRequest(const std::string& vm, RequestId request, bool isAnswered)
    {
        m_timers.erase({ vm, { request, false } });
        m_timers.erase({ vm, { request, true } });
        const auto it = m_arrivals.find(request);
        const auto taken = m_now - it->second.at;
        if (it->second.isCounted)
            m_result.late += isAnswered && taken <= objective ? 0 : 1;
        m_arrivals.erase(it);
    }

    void send(EntryState& entry, const std::string& vm, const SendAttempt& sent)
    {
        const auto number = m_numbers.at(sent.target);
        auto& target = m_targets[number];
        target.work.push_back({ vm, sent.request, sent.attempt, m_arrivals.at(sent.request).object });
        if (!m_isCounting)
            return;
        m_result.order.push_back(sent.target);
        m_result.attemptsAtSlow += speedOf(number) >= 2 ? 1 : 0;
        const auto& workTime = entry.targets.find(sent.target)->workTime;
        m_result.attemptsWithFigure += workTime && m_now - workTime->reportedAt < WorkTime::maxAge ? 1 : 0;
    }

    void handle(EntryState& entry, const EntryEvent& event)
    {
        std::vector<EntryEffect> effects;
        reduce(entry, event, m_now, effects);
        const auto& vm = entry.settings.vm;
        for (const auto& effect : effects) {
            if (const auto* sent = std::get_if<SendAttempt>(&effect)) {
                send(entry, vm, *sent);
            } else if (const auto* cancelled = std::get_if<CancelAttempt>(&effect)) {
                for (auto& target : m_targets)
                    std::erase_if(
                        target.work, [&](const Work& it) { return it.vm == vm && it.attempt == cancelled->attempt; });
            } else if (const auto* answer = std::get_if<DeliverAnswer>(&effect)) {
                endRequest(vm, answer->request, true);
            } else if (const auto* refusal = std::get_if<SendLocalAnswer>(&effect)) {
                endRequest(vm, refusal->request, false);
            } else if (const auto* expiry = std::get_if<SetExpiryTimer>(&effect)) {
                m_timers[{ vm, { expiry->request, false } }] = expiry->at;
            } else if (const auto* hedge = std::get_if<SetHedgeTimer>(&effect)) {
                m_timers[{ vm, { hedge->request, true } }] = hedge->at;
            } else if (const auto* message = std::get_if<SendMessage>(&effect)) {
                for (const auto& address : message->addresses)
                    m_messages.emplace_back(address, message->message);
            }
        }
    }

    SpeedModelOptions m_options;
    SpeedPlan m_plan;
    Random m_random;
    TimePoint m_start { std::chrono::hours(1) };
    TimePoint m_now = m_start;
    bool m_isCounting = false;
    std::uint64_t m_seed = 0;
    RequestId m_lastRequest = 0;
    std::map<std::string, EntryState> m_entries;
    std::vector<ModelTarget> m_targets;
    std::map<std::string, std::size_t> m_numbers;
    std::map<RequestId, Arrival> m_arrivals;
    std::map<std::pair<std::string, std::pair<RequestId, bool>>, TimePoint> m_timers; ///< true: hedge
    std::vector<std::pair<std::string, FleetMessage>> m_messages;
    SpeedModelResult m_result;
};

} // namespace arbutuscrank::entry::test
