#include "config/checks.hpp"

#include <algorithm>

namespace arbutuscrank::config {

namespace {

    void checkOpenPaths(const Service& service, const Path& path, FaultList& faults)
    {
        UniqueCheck::list(service.openPathPrefixes, path, faults);
        for (std::size_t n = 0; n < service.openPathPrefixes.size(); ++n) {
            const auto& it = service.openPathPrefixes[n];
            if (!it.starts_with(service.pathPrefix))
                faults.add(path.element(n), "a path under " + quote(service.pathPrefix), quote(it));
        }
    }

    void checkSpill(const Service& service, const Path& path, const NameIndex& names, FaultList& faults)
    {
        UniqueCheck unique(faults, "one grant for each region");
        for (std::size_t n = 0; n < service.spill.size(); ++n) {
            const auto grantPath = path.element(n);
            const auto regionPath = grantPath.field("region");
            checkReference(names.regions, service.spill[n].region, "region", regionPath, faults);
            unique(regionPath, service.spill[n].region);
        }
    }

    void checkTarget(const TargetEntry& target, const Path& path, const NameIndex& names, FaultList& faults)
    {
        const auto region = names.regions.find(target.region);
        if (region == names.regions.end())
            faults.add(path.field("region"), "a known region", quote(target.region));
        else
            checkReference(region->second, target.failureDomain, "failure domain of the region",
                path.field("failureDomain"), faults);
    }

} // namespace

void checkServices(const Document& document, const NameIndex& names, FaultList& faults)
{
    const Path root;
    const auto servicesPath = root.field("services");
    UniqueCheck uniqueService(faults, "a name used once");
    UniqueCheck uniquePrefix(faults, "a path prefix used once");
    // Requests and drains name a target without its service.
    UniqueCheck uniqueTarget(faults, "a target name used once");
    // Two targets at one address would count the same slots twice.
    UniqueCheck uniqueAddress(faults, "an address used once");
    for (std::size_t n = 0; n < document.services.size(); ++n) {
        const auto& service = document.services[n];
        const auto path = servicesPath.element(n);
        uniqueService(path.field("name"), service.name);
        uniquePrefix(path.field("pathPrefix"), service.pathPrefix);
        checkOpenPaths(service, path.field("openPathPrefixes"), faults);
        // A connection carries one request at a time.
        if (service.connectionsPerTarget < service.slotsPerTarget) {
            faults.add(path.field("connectionsPerTarget"),
                "at least slotsPerTarget (" + std::to_string(service.slotsPerTarget) + ')',
                std::to_string(service.connectionsPerTarget));
        }
        checkSpill(service, path.field("spill"), names, faults);
        const auto targetsPath = path.field("targets");
        for (std::size_t i = 0; i < service.targets.size(); ++i) {
            const auto& target = service.targets[i];
            const auto targetPath = targetsPath.element(i);
            uniqueTarget(targetPath.field("name"), target.name);
            uniqueAddress(targetPath.field("address"), target.address);
            checkTarget(target, targetPath, names, faults);
        }
    }
}

} // namespace arbutuscrank::config
