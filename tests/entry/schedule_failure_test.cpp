#include "entry/entry_harness.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace arbutuscrank::entry::test {

namespace {

    /// Raises random events at one entry VM and records what callers and targets observe.
    class Schedule {
    public:
        explicit Schedule(std::uint64_t seed)
            : m_random(seed)
            , m_entry(seed)
        {
            for (int i = 0; i < 6; ++i)
                m_records.push_back(makeTarget("t" + std::to_string(i), i < 4 ? "north" : "south"));
            m_entry.useTargets(m_records);
        }

        void run(int steps)
        {
            for (int i = 0; i < steps; ++i) {
                m_entry.effects.clear();
                m_entry.now += milliseconds(m_random.below(60));
                fireTimers();
                checkEffects();
                m_entry.effects.clear();
                raiseRandomEvent();
                checkEffects();
            }
            finishAll();
        }

    private:
        struct Sent {
            RequestId request;
            std::string target;
        };

        void raiseRandomEvent()
        {
            switch (m_random.below(12)) {
            case 0:
            case 1:
            case 2:
            case 3:
                m_entry.request(m_random.below(2) == 0 ? "/read/1" : "/write/1");
                m_isIdempotent[m_entry.lastRequest] = m_entry.state.requests.contains(m_entry.lastRequest)
                    && m_entry.state.requests.at(m_entry.lastRequest).idempotent;
                return;
            case 4:
            case 5:
            case 6:
            case 7:
            case 8:
                endAttempt();
                return;
            case 9:
                if (!m_isIdempotent.empty())
                    disconnect(std::next(
                        m_isIdempotent.begin(), static_cast<std::ptrdiff_t>(m_random.below(m_isIdempotent.size())))
                                   ->first);
                return;
            case 10:
                changeStore();
                return;
            default:
                m_entry.handle(Tick {});
                return;
            }
        }

        void endAttempt()
        {
            if (m_inFlightAttempts.empty())
                return;
            const auto it = std::next(
                m_inFlightAttempts.begin(), static_cast<std::ptrdiff_t>(m_random.below(m_inFlightAttempts.size())));
            const auto [attempt, sent] = *it;
            m_inFlightAttempts.erase(it);
            const auto kind = m_random.below(6);
            if (kind < 3) {
                const auto progress = static_cast<AttemptProgress>(kind);
                if (progress == AttemptProgress::Sent)
                    ++m_possibleRuns[sent.request];
                m_entry.handle(AttemptFailed { sent.request, attempt, progress, "test" });
                return;
            }
            const auto answer = static_cast<AnswerKind>(m_random.below(4));
            if (answer == AnswerKind::Complete || answer == AnswerKind::Failure)
                ++m_possibleRuns[sent.request];
            m_entry.handle(AttemptAnswered { .request = sent.request,
                .attempt = attempt,
                .kind = answer,
                .status = answer == AnswerKind::Complete ? 200U : 500U,
                .deliverable = answer == AnswerKind::Complete || m_random.below(2) == 0,
                .load = LoadReport { 1, 0, 4 } });
        }

        void disconnect(RequestId request)
        {
            if (!m_answered.contains(request) && !m_disconnected.contains(request)) {
                m_disconnected.insert(request);
                m_entry.handle(CallerDisconnected { request });
            }
        }

        void changeStore()
        {
            auto record = m_records[m_random.below(m_records.size())];
            switch (m_random.below(5)) {
            case 0:
                record.draining = true;
                m_entry.handle(TargetChanged { record });
                return;
            case 1:
                m_entry.handle(TargetRemoved { record.id });
                return;
            case 2:
                m_entry.handle(StoreFailed {});
                return;
            case 3:
                m_entry.handle(StoreAnswered {});
                m_entry.handle(PolicyConfirmed { m_entry.now });
                return;
            default:
                m_entry.handle(TargetsListed { m_records });
                return;
            }
        }

        void fireTimers()
        {
            for (auto it = m_timers.begin(); it != m_timers.end();) {
                if (it->first > m_entry.now) {
                    ++it;
                    continue;
                }
                const auto event = it->second;
                it = m_timers.erase(it);
                m_entry.handle(event);
            }
        }

        /// Ends every request by its timeout and checks the final state.
        void finishAll()
        {
            m_entry.effects.clear();
            m_entry.now += seconds(10);
            fireTimers();
            checkEffects();
            RC_ASSERT(m_entry.state.requests.empty());
            for (const auto& [id, target] : m_entry.state.targets.all())
                RC_ASSERT(target.inFlight == 0U);
            for (const auto& [request, idempotent] : m_isIdempotent)
                RC_ASSERT(m_answered.contains(request) != m_disconnected.contains(request));
        }

        void checkEffects()
        {
            for (const auto& effect : m_entry.effects)
                std::visit([this](const auto& it) { observe(it); }, effect);
        }

        void observe(const SendAttempt& it)
        {
            const auto* target = m_entry.state.targets.find(it.target);
            RC_ASSERT(target != nullptr && !target->record.draining);
            RC_ASSERT(++m_attempts[it.request] <= 6); // at most 3 attempts reach a target
            // A request that is not idempotent is only sent again if no earlier attempt may have run.
            RC_ASSERT(m_isIdempotent[it.request] || m_possibleRuns[it.request] == 0);
            m_inFlightAttempts[it.attempt] = { it.request, it.target };
        }
        void observe(const CancelAttempt& it) { m_inFlightAttempts.erase(it.attempt); }
        void observe(const DeliverAnswer& it) { RC_ASSERT(m_answered.insert(it.request).second); }
        void observe(const SendLocalAnswer& it)
        {
            RC_ASSERT(m_answered.insert(it.request).second);
            const bool saysNotRun = it.status == 503 || it.status == 429;
            RC_ASSERT(!saysNotRun || m_possibleRuns[it.request] == 0 || m_isIdempotent[it.request]);
        }
        void observe(const SetExpiryTimer& it) { m_timers.emplace(it.at, RequestExpired { it.request }); }
        void observe(const SetHedgeTimer& it) { m_timers.emplace(it.at, HedgeDue { it.request }); }
        template <typename T> void observe(const T&) { }

        Random m_random;
        Entry m_entry;
        std::vector<TargetRecord> m_records;
        std::map<AttemptId, Sent> m_inFlightAttempts;
        std::map<RequestId, int> m_possibleRuns; ///< attempts that may have run
        std::map<RequestId, int> m_attempts;
        std::map<RequestId, bool> m_isIdempotent;
        std::set<RequestId> m_answered;
        std::set<RequestId> m_disconnected;
        std::multimap<TimePoint, EntryEvent> m_timers;
    };

} // namespace

// Guards against a second run of a request that is not idempotent, a refusal as not run of a request that may have run,
// a request with no final answer or with two, and in-flight counters that do not return to zero.
RC_GTEST_PROP(EntrySchedule, KeepsItsInvariantsUnderRandomEvents, ())
{
    Schedule schedule(*rc::gen::arbitrary<std::uint64_t>());
    schedule.run(400);
}

} // namespace arbutuscrank::entry::test
