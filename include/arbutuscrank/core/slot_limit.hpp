#pragma once

#include <arbutuscrank/core/types.hpp>

#include <cstdint>

/// \file
/// \brief Concurrency limit of a target: additive increase, multiplicative decrease, and slow start for a cold target.

namespace arbutuscrank {

/// \brief Limit on the requests in flight on one target, from 1 to its configured slots.
class SlotLimit {
public:
    /// Time after which the next success doubles the limit of a cold target.
    static constexpr Duration coldStartStep = std::chrono::seconds(2);

    /// \brief Starts at the maximum, for a target that was in service before this process knew it.
    void startWarm(std::uint32_t slots) noexcept;

    /// \brief Starts at one request, for a target that is new, is no longer drained, was readmitted, or is failing but
    /// must not be ejected.
    void startCold(TimePoint now) noexcept;

    /// \brief Changes the maximum. A limit at the old maximum moves to the new one.
    void resize(std::uint32_t slots) noexcept;

    /// \brief Raises the limit by one after as many successes as the limit allows requests (one round), or doubles the
    /// limit of a cold target after \ref coldStartStep.
    void recordSuccess(TimePoint now) noexcept;

    /// \brief Halves the limit because the target shed or failed a request. Requests sent before the last reduction do
    /// not reduce it again, because they were sent under the higher limit.
    /// \param startedAt when the request was sent
    void recordFailure(TimePoint now, TimePoint startedAt) noexcept;

    [[nodiscard]] std::uint32_t value() const noexcept { return m_limit; }
    [[nodiscard]] bool isCold() const noexcept { return m_cold; }

private:
    std::uint32_t m_slots = 1;
    std::uint32_t m_limit = 1;
    std::uint32_t m_successes = 0; ///< in the current round or cold start step
    bool m_cold = false;
    TimePoint m_stepStartedAt; ///< of the current cold start step
    TimePoint m_lastReductionAt = TimePoint::min();
};

} // namespace arbutuscrank
