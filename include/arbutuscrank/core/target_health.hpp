#pragma once

#include <arbutuscrank/core/types.hpp>

#include <cstdint>
#include <optional>

/// \file
/// \brief What an owner has learned of a target's health from requests and probes.

namespace arbutuscrank {

/// \brief Health of one target. Outcomes of real requests take precedence over what probes report, both ways.
class TargetHealth {
public:
    /// Failures in a row after which a target is unhealthy. A failed connect is enough by itself.
    static constexpr std::uint32_t failuresInARow = 3;
    /// Refusals in a row, without any success, after which a shedding target counts as unhealthy.
    static constexpr std::uint32_t shedsInARow = 8;
    /// Probes in a row that report an unhealthy target, while no request succeeds.
    static constexpr std::uint32_t badProbesInARow = 2;
    /// Age past which a reported load is not used any more.
    static constexpr Duration loadLifetime = std::chrono::seconds(3);
    /// Longest time that healthy probes are not believed after requests failed.
    static constexpr Duration maxDistrust = std::chrono::seconds(30);

    void requestSucceeded(TimePoint now) noexcept;
    void requestShed() noexcept;
    void requestFailed(bool connectFailed) noexcept;

    /// \param interval of the service's probes; a success within two of them outweighs a bad probe
    void probeAnswered(bool healthy, TimePoint now, Duration interval) noexcept;

    void loadReported(double load, TimePoint now) noexcept;
    /// \brief Load that the target reported lately, 0 to 1; 0 if none.
    [[nodiscard]] double reportedLoad(TimePoint now) const noexcept;

    /// \brief Whether the target should get no work.
    [[nodiscard]] bool isFailing() const noexcept { return m_failing; }

    /// \brief Takes the target out of use. Healthy probes are believed again after a time that grows with each relapse.
    void eject(TimePoint now, Duration interval) noexcept;
    /// \brief Puts the target back in use.
    void readmit() noexcept;
    [[nodiscard]] bool isEjected() const noexcept { return m_ejected; }
    /// \brief Whether a healthy probe is believed by now.
    [[nodiscard]] bool mayReturn(TimePoint now) const noexcept { return now >= m_distrustUntil; }

private:
    std::uint32_t m_failures = 0; ///< in a row
    std::uint32_t m_sheds = 0; ///< in a row
    std::uint32_t m_badProbes = 0; ///< in a row
    std::uint32_t m_outcomes = 0;
    std::uint32_t m_relapses = 0; ///< ejections since the last success
    double m_failureShare = 0; ///< moving average
    bool m_failing = false;
    bool m_ejected = false;
    std::optional<TimePoint> m_lastSuccess;
    TimePoint m_distrustUntil = TimePoint::min();
    double m_load = 0;
    std::optional<TimePoint> m_loadAt;
};

} // namespace arbutuscrank
