#pragma once

#include <arbutuscrank/core/types.hpp>

#include <algorithm>
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

/// \brief How long what the store's older copy may lack is kept, for one kind of objects.
///
/// Operators, targets and VMs can write theirs again only once the store answers, which may be some time after it has
/// named its new era. The grace therefore begins with the first complete list of the kind in that era.
class EraGrace {
public:
    /// Targets write their entries again within two seconds, and a VM that reads a feed may learn of the rise a second
    /// after the others, so that its registration returns late. Keeping an evacuation for too long costs room, but
    /// breaks nothing.
    static constexpr Duration length = std::chrono::seconds(5);
    /// Longest time from the rise until the grace begins, so that nothing is kept for ever by a VM that reads no list.
    /// It exceeds the outages that a store usually has.
    static constexpr Duration maxWait = std::chrono::seconds(60);

    /// \brief Records that this VM has learned of a rise.
    void recordRise(TimePoint now) noexcept
    {
        m_risenAt = now;
        m_listedAt.reset();
    }

    /// \brief Records a complete list. Only the first one after a rise counts.
    void recordList(TimePoint now) noexcept
    {
        if (m_risenAt && !m_listedAt)
            m_listedAt = now;
    }

    [[nodiscard]] const std::optional<TimePoint>& risenAt() const noexcept { return m_risenAt; }

    /// \brief Whether no list was read since the rise, or the first one is younger than \p duration.
    [[nodiscard]] bool contains(TimePoint now, Duration duration = length) const noexcept
    {
        return m_risenAt && now < std::min(m_listedAt.value_or(TimePoint::max()), *m_risenAt + maxWait) + duration;
    }

    /// \brief Whether the grace may be extended, because an outage keeps others from writing theirs again.
    [[nodiscard]] bool mayBeExtended(TimePoint now) const noexcept
    {
        return m_risenAt && now < *m_risenAt + maxWait + length;
    }

private:
    std::optional<TimePoint> m_risenAt; ///< when this VM learned of the newest rise
    std::optional<TimePoint> m_listedAt; ///< when the first list after it was read
};

/// \brief The store's era, and the evacuations of the era before that the store may not hold yet.
struct StoreEraTracking {
    static constexpr Duration grace = EraGrace::length;

    StoreEra current = 0; ///< greatest era known; 0 if no answer has named one
    std::uint64_t rises = 0; ///< since the start of the process
    EraGrace members; ///< of registrations and of records of evacuations
    /// Until when the evacuation of a failure domain is kept that the store of this era has not shown. A time that has
    /// passed also says that later reports of it are not adopted.
    std::map<std::string, TimePoint> evacuationsHeldUntil;
};

} // namespace arbutuscrank::entry
