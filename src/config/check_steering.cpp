#include "config/checks.hpp"
#include "config/formats.hpp"

#include <algorithm>
#include <tuple>

namespace arbutuscrank::config {

namespace {

    /// \brief Client blocks must not overlap, so that an address has one group and a sorted table finds it.
    void checkOverlaps(const std::vector<ClientBlock>& blocks, const Path& path, FaultList& faults)
    {
        struct Place {
            AddressBlock block;
            std::size_t index;
        };
        std::vector<Place> places;
        places.reserve(blocks.size());
        for (std::size_t n = 0; n < blocks.size(); ++n) {
            if (const auto block = parseCidr(blocks[n].cidr))
                places.push_back({ *block, n });
        }
        std::sort(places.begin(), places.end(), [](const Place& a, const Place& b) {
            return std::tuple(a.block.first, ~a.block.last, a.index)
                < std::tuple(b.block.first, ~b.block.last, b.index);
        });
        const Place* outer = nullptr;
        for (const auto& it : places) {
            if (outer != nullptr && it.block.first <= outer->block.last) {
                const auto blockPath = path.element(it.index);
                faults.add(blockPath.field("cidr"), "a block that overlaps no other",
                    quote(blocks[it.index].cidr) + " overlaps " + quote(blocks[outer->index].cidr));
            } else {
                outer = &it;
            }
        }
    }

} // namespace

void checkSteering(const Document& document, const NameIndex& names, FaultList& faults)
{
    const Path root;
    const auto steeringPath = root.field("steering");
    const auto& steering = document.steering;

    const auto sitesPath = steeringPath.field("sites");
    UniqueCheck uniqueSite(faults, "a name used once");
    for (std::size_t n = 0; n < steering.sites.size(); ++n) {
        const auto path = sitesPath.element(n);
        uniqueSite(path.field("name"), steering.sites[n].name);
        checkReference(names.regions, steering.sites[n].region, "region", path.field("region"), faults);
    }

    const auto groupsPath = steeringPath.field("groups");
    UniqueCheck uniqueGroup(faults, "a name used once");
    for (std::size_t n = 0; n < steering.groups.size(); ++n) {
        const auto& group = steering.groups[n];
        const auto path = groupsPath.element(n);
        uniqueGroup(path.field("name"), group.name);
        const auto rankedPath = path.field("rankedSites");
        UniqueCheck::list(group.rankedSites, rankedPath, faults);
        for (std::size_t i = 0; i < group.rankedSites.size(); ++i)
            checkReference(names.sites, group.rankedSites[i], "site", rankedPath.element(i), faults);
    }

    const auto blocksPath = steeringPath.field("blocks");
    for (std::size_t n = 0; n < steering.blocks.size(); ++n) {
        const auto path = blocksPath.element(n);
        checkReference(names.groups, steering.blocks[n].group, "client group", path.field("group"), faults);
    }
    checkOverlaps(steering.blocks, blocksPath, faults);
}

} // namespace arbutuscrank::config
