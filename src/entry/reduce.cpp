#include "entry/reducers.hpp"

namespace arbutuscrank::entry {

EntryState::EntryState(EntrySettings entrySettings, MemberRecord self, std::uint64_t seed)
    : settings(std::move(entrySettings))
    , random(seed)
    , selection(settings.region, settings.bounds, seed + 1)
    , quota(settings.bounds, settings.failureDomain)
    , retryLimit(settings.bounds.retryWindow, settings.bounds.retryRatio, settings.bounds.retrySlack)
    , room(settings.sharesRoom ? std::optional<RoomSharing>(std::in_place) : std::nullopt)
    , members(self)
    , coordination(std::move(self))
{
}

void reduce(EntryState& state, const EntryEvent& event, TimePoint now, std::vector<EntryEffect>& effects)
{
    std::visit([&](const auto& it) { apply(state, it, now, effects); }, event);
}

} // namespace arbutuscrank::entry
