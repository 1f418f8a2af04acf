#pragma once

#include <arbutuscrank/core/types.hpp>

#include <cstdint>

/// \file
/// \brief How many requests an owner trusts a target with: additive increase, multiplicative decrease, cold start.

namespace arbutuscrank {

/// \brief Limit of one target, from 1 to the slots that the document gives it.
class SlotLimit {
public:
    /// Time with successes after which the limit of a cold target doubles.
    static constexpr Duration coldStartStep = std::chrono::seconds(2);

    /// \brief Full trust, as for a target that was in service before this process knew it.
    void startWarm(std::uint32_t slots) noexcept;

    /// \brief One request at first, as for a target that is new to service or comes back.
    void startCold(TimePoint now) noexcept;

    /// \brief Follows a change of the document. A limit that was not reduced stays at the maximum.
    void resize(std::uint32_t slots) noexcept;

    /// \brief A request ended well. Adds one slot for each round of successes, or doubles after a cold start step.
    void succeeded(TimePoint now) noexcept;

    /// \brief A request was shed or failed. Halves the limit, at most once for the requests of one round.
    /// \param startedAt when that request was sent
    void failed(TimePoint now, TimePoint startedAt) noexcept;

    [[nodiscard]] std::uint32_t value() const noexcept { return m_limit; }
    [[nodiscard]] bool isCold() const noexcept { return m_cold; }

private:
    std::uint32_t m_slots = 1;
    std::uint32_t m_limit = 1;
    std::uint32_t m_successes = 0; ///< in the current round or cold start step
    bool m_cold = false;
    TimePoint m_stepAt; ///< start of the cold start step
    TimePoint m_reducedAt = TimePoint::min();
};

} // namespace arbutuscrank
