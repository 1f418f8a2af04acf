#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief The steering plan, which the planner writes to the store.

namespace arbutuscrank {

/// Key of the plan in the store.
inline constexpr std::string_view planKey = "plan";

/// \brief Progress of a planned shift. It includes the service and the two regions, so that a shift that reuses the
/// name of another one starts from 0.
struct ShiftProgress {
    std::string service;
    std::string from;
    std::string to;
    double percent = 0; ///< percentage of the traffic of \ref from that is moved, 0 to 100

    friend bool operator==(const ShiftProgress&, const ShiftProgress&) = default;
};

/// \brief The plan. It affects efficiency only: quota tokens, not the plan, enforce the caps of shifts.
struct Plan {
    std::uint64_t version = 0; ///< increases with each write; 0 means that there is no plan
    /// Version of the configuration that the planner used. A planner with an older configuration does not replace the
    /// plan. Otherwise a daemon that cannot read the current configuration could restore a removed shift.
    std::uint64_t manifestVersion = 0;
    /// Free slots by service and region, in thousandths of the region's slots, from the planner's latest load reports.
    std::map<std::string, std::map<std::string, std::uint32_t>> weights;
    std::map<std::string, ShiftProgress> shifts; ///< by name of the shift

    friend bool operator==(const Plan&, const Plan&) = default;
};

/// \brief Serialises a plan as JSON.
[[nodiscard]] std::string planToJson(const Plan& plan);

/// \brief Parses the output of \ref planToJson.
/// \returns nullopt if the text is not a valid plan
[[nodiscard]] std::optional<Plan> planFromJson(std::string_view json);

} // namespace arbutuscrank
