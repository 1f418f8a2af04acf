#include "config/checks.hpp"
#include "config/formats.hpp"

#include <algorithm>
#include <tuple>

namespace arbutuscrank::config {

namespace {

    /// \brief Checks that client blocks do not overlap.
    ///
    /// Each address then belongs to one group, and a binary search in a sorted table finds it.
    void checkOverlaps(const std::vector<ClientBlock>& blocks, const Path& path, FaultList& faults)
    {
        struct IndexedBlock {
            AddressBlock block;
            std::size_t index;
        };
        std::vector<IndexedBlock> sortedBlocks;
        sortedBlocks.reserve(blocks.size());
        for (std::size_t n = 0; n < blocks.size(); ++n) {
            if (const auto block = parseCidr(blocks[n].cidr))
                sortedBlocks.push_back({ *block, n });
        }
        std::sort(sortedBlocks.begin(), sortedBlocks.end(), [](const IndexedBlock& a, const IndexedBlock& b) {
            return std::tuple(a.block.first, ~a.block.last, a.index)
                < std::tuple(b.block.first, ~b.block.last, b.index);
        });
        // CIDR blocks either nest or are disjoint. In this order, a block follows all blocks that contain it.
        const IndexedBlock* enclosing = nullptr;
        for (const auto& it : sortedBlocks) {
            if (enclosing != nullptr && it.block.first <= enclosing->block.last) {
                const auto blockPath = path.element(it.index);
                faults.add(blockPath.field("cidr"), "a block that does not overlap another block",
                    quote(blocks[it.index].cidr) + " overlaps " + quote(blocks[enclosing->index].cidr));
            } else {
                enclosing = &it;
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
    UniquenessChecker checkUniqueSite(faults, "a unique name");
    for (std::size_t n = 0; n < steering.sites.size(); ++n) {
        const auto path = sitesPath.element(n);
        checkUniqueSite(path.field("name"), steering.sites[n].name);
        checkReference(names.regions, steering.sites[n].region, "region", path.field("region"), faults);
    }

    const auto groupsPath = steeringPath.field("groups");
    UniquenessChecker checkUniqueGroup(faults, "a unique name");
    for (std::size_t n = 0; n < steering.groups.size(); ++n) {
        const auto& group = steering.groups[n];
        const auto path = groupsPath.element(n);
        checkUniqueGroup(path.field("name"), group.name);
        const auto rankedPath = path.field("rankedSites");
        UniquenessChecker::checkList(group.rankedSites, rankedPath, faults);
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
