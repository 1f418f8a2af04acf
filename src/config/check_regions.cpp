#include "config/checks.hpp"

#include <algorithm>

namespace arbutuscrank::config {

void checkRegions(const Document& document, const NameIndex& names, FaultList& faults)
{
    const Path root;
    const auto regionsPath = root.field("regions");
    UniqueCheck uniqueRegion(faults, "a name used once");
    for (std::size_t n = 0; n < document.regions.size(); ++n) {
        const auto& region = document.regions[n];
        const auto path = regionsPath.element(n);
        uniqueRegion(path.field("name"), region.name);
        UniqueCheck::list(region.failureDomains, path.field("failureDomains"), faults);
    }

    const auto linksPath = root.field("links");
    UniqueCheck uniqueLink(faults, "one link for each pair of regions");
    for (std::size_t n = 0; n < document.links.size(); ++n) {
        const auto& link = document.links[n];
        const auto path = linksPath.element(n);
        checkReference(names.regions, link.a, "region", path.field("a"), faults);
        checkReference(names.regions, link.b, "region", path.field("b"), faults);
        if (link.a == link.b)
            faults.add(path.field("b"), "another region than \"a\"", quote(link.b));
        uniqueLink(path, std::min(link.a, link.b) + ' ' + std::max(link.a, link.b));
    }
}

} // namespace arbutuscrank::config
