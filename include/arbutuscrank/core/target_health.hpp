#pragma once

#include <arbutuscrank/core/types.hpp>

#include <cstdint>
#include <optional>

/// \file
/// \brief Health of a target, from the outcomes of requests and probes (outlier ejection).

namespace arbutuscrank {

/// \brief Health of one target. Outcomes of requests take precedence over probes: a recent success outweighs a failed
/// probe, and healthy probes do not readmit a target at once whose requests keep failing.
class TargetHealth {
public:
    /// Consecutive failures after which a target is unhealthy. A single failed connect is enough.
    static constexpr std::uint32_t consecutiveFailureLimit = 3;
    /// Consecutive refusals, without a success between them, after which a target that sheds load is unhealthy.
    static constexpr std::uint32_t consecutiveShedLimit = 8;
    /// Consecutive failed probes, without a successful request between them, after which a target is unhealthy.
    static constexpr std::uint32_t failedProbeLimit = 2;
    /// Age at which a reported load expires.
    static constexpr Duration loadLifetime = std::chrono::seconds(3);
    /// Longest time after an ejection in which healthy probes do not readmit the target.
    static constexpr Duration maxReadmissionDelay = std::chrono::seconds(30);

    void recordSuccess(TimePoint now) noexcept;
    void recordShed() noexcept;
    void recordFailure(bool connectFailed) noexcept;

    /// \param interval between probes of the service; a success within two intervals outweighs a failed probe
    void recordProbe(bool healthy, TimePoint now, Duration interval) noexcept;

    void recordLoad(double load, TimePoint now) noexcept;
    /// \brief Last load that the target reported, 0 to 1; 0 if it is older than \ref loadLifetime or missing.
    [[nodiscard]] double reportedLoad(TimePoint now) const noexcept;

    /// \brief Whether the target is unhealthy and should be ejected.
    [[nodiscard]] bool isFailing() const noexcept { return m_failing; }

    /// \brief Takes the target out of use. After the first ejection since the last successful request, any healthy
    /// probe may readmit the target. After the second, healthy probes may readmit it from two probe intervals on. The
    /// delay doubles with each further ejection, up to \ref maxReadmissionDelay.
    /// \param interval between probes of the service
    void eject(TimePoint now, Duration interval) noexcept;
    /// \brief Puts the target back in use and clears its failure counts.
    void readmit() noexcept;
    [[nodiscard]] bool isEjected() const noexcept { return m_ejected; }
    /// \brief Whether a healthy probe may readmit the target.
    [[nodiscard]] bool mayBeReadmitted(TimePoint now) const noexcept { return now >= m_earliestReadmission; }

private:
    std::uint32_t m_failures = 0; ///< consecutive
    std::uint32_t m_sheds = 0; ///< consecutive
    std::uint32_t m_failedProbes = 0; ///< consecutive
    std::uint32_t m_outcomeCount = 0;
    std::uint32_t m_ejectionsSinceSuccess = 0;
    double m_failureShare = 0; ///< exponentially weighted moving average
    bool m_failing = false;
    bool m_ejected = false;
    std::optional<TimePoint> m_lastSuccessAt;
    TimePoint m_earliestReadmission = TimePoint::min();
    double m_load = 0;
    std::optional<TimePoint> m_loadAt;
};

} // namespace arbutuscrank
