#pragma once

#include <arbutuscrank/entry/fleet_messages.hpp>

#include <map>
#include <optional>

/// \file
/// \brief Chooses from where an entry VM reads the store's collections: the store itself or another VM's feed.
///
/// Load pattern: the store fails for some or all VMs, or a coordinator ends, so that many VMs lose their source at the
/// same time. The number of VMs that then call the store is bounded by the number of failure domains, not of VMs:
/// coordinators that lose the store use the feed of a VM that still reads it, their VMs follow them to that feed, and
/// only a few VMs of each domain look for a way to the store if there is no such feed.

namespace arbutuscrank::entry {

struct EntryState;

/// \brief State of the choice.
struct StoreSource {
    VmId feed; ///< VM whose feed is read; empty: the store is read
    /// VM whose feed a coordinator tells its VMs to read. It stays while the coordinator tries the store again.
    VmId announcedFeed;
    std::optional<TimePoint> readsFeedUntil; ///< a coordinator tries the store again then
    std::optional<TimePoint> readsStoreUntil; ///< a VM that does not coordinate tries its coordinator's feed again then
    std::optional<TimePoint> storeFailedAt; ///< failure of the store's newest answer to this VM; unset if it succeeded
    std::optional<TimePoint> feedFailingSince; ///< first failure since the feed last confirmed the policy
    std::map<VmId, TimePoint> feedFailedAt; ///< newest failure of each VM's feed
};

/// \brief Chooses the source and stores it in \ref StoreSource::feed.
/// \returns false if no source can be chosen yet, because no coordinator is known
bool updateStoreSource(EntryState& state, TimePoint now);

/// \brief Whether other VMs may read this VM's feed: it reads the store itself, and the store has answered lately.
[[nodiscard]] bool servesFeed(const EntryState& state, TimePoint now);

} // namespace arbutuscrank::entry
