#pragma once

#include <arbutuscrank/core/types.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>

/// \file
/// \brief What an entry VM keeps when the store comes back from an older copy of its data.
///
/// The copy may lack an evacuation, a drain, a removal or a registration that this VM has acted on. Operators, targets
/// and VMs write theirs again. Until they can have done so, nothing is concluded from what the copy lacks.

namespace arbutuscrank::entry {

/// \brief The store's era, and the evacuations of the era before that the store may not hold yet.
struct StoreEraTracking {
    /// Time after a rise for which evacuations, drains and registrations of the earlier era are kept. Targets write
    /// their entries again within two seconds, and a VM that reads a feed may learn of the rise a second after the
    /// others, so that its registration returns late. Keeping an evacuation for too long costs room, but breaks
    /// nothing.
    static constexpr Duration grace = std::chrono::seconds(5);

    StoreEra current = 0; ///< greatest era known; 0 if no answer has named one
    std::uint64_t rises = 0; ///< since the start of the process
    std::optional<TimePoint> risenAt; ///< when this VM learned of the newest rise
    /// Until when the evacuation of a failure domain is kept that the store of this era has not shown. A time that has
    /// passed also says that later reports of it are not adopted.
    std::map<std::string, TimePoint> evacuationsHeldUntil;

    [[nodiscard]] bool isInGrace(TimePoint now) const noexcept { return risenAt && now < *risenAt + grace; }
};

} // namespace arbutuscrank::entry
