#include "config/checks.hpp"

#include <algorithm>

namespace arbutuscrank::config {

void checkRegions(const Document& document, const NameIndex& names, FaultList& faults)
{
    const Path root;
    const auto regionsPath = root.field("regions");
    UniquenessChecker checkUniqueRegion(faults, "a unique name");
    for (std::size_t n = 0; n < document.regions.size(); ++n) {
        const auto& region = document.regions[n];
        const auto path = regionsPath.element(n);
        checkUniqueRegion(path.field("name"), region.name);
        UniquenessChecker::checkList(region.failureDomains, path.field("failureDomains"), faults);
    }

    const auto linksPath = root.field("links");
    UniquenessChecker checkUniqueLink(faults, "at most one link between each pair of regions");
    for (std::size_t n = 0; n < document.links.size(); ++n) {
        const auto& link = document.links[n];
        const auto path = linksPath.element(n);
        checkReference(names.regions, link.a, "region", path.field("a"), faults);
        checkReference(names.regions, link.b, "region", path.field("b"), faults);
        if (link.a == link.b)
            faults.add(path.field("b"), "a region other than \"a\"", quote(link.b));
        checkUniqueLink(path, std::min(link.a, link.b) + ' ' + std::max(link.a, link.b));
    }
}

} // namespace arbutuscrank::config
