#include "config/checks.hpp"

#include <algorithm>

namespace arbutuscrank::config {

namespace {

    void checkOpenPathPrefixes(const Service& service, const Path& path, FaultList& faults)
    {
        UniquenessChecker::checkList(service.openPathPrefixes, path, faults);
        for (std::size_t n = 0; n < service.openPathPrefixes.size(); ++n) {
            const auto& it = service.openPathPrefixes[n];
            if (!it.starts_with(service.pathPrefix))
                faults.add(path.element(n), "a path that begins with " + quote(service.pathPrefix), quote(it));
        }
    }

    void checkSpillGrants(const Service& service, const Path& path, const NameIndex& names, FaultList& faults)
    {
        UniquenessChecker checkUnique(faults, "at most one spill grant for each region");
        for (std::size_t n = 0; n < service.spill.size(); ++n) {
            const auto grantPath = path.element(n);
            const auto regionPath = grantPath.field("region");
            checkReference(names.regions, service.spill[n].region, "region", regionPath, faults);
            checkUnique(regionPath, service.spill[n].region);
        }
    }

    void checkTarget(const TargetEntry& target, const Path& path, const NameIndex& names, FaultList& faults)
    {
        const auto region = names.regions.find(target.region);
        if (region == names.regions.end())
            faults.add(path.field("region"), "an existing region", quote(target.region));
        else
            checkReference(region->second, target.failureDomain, "failure domain of the region",
                path.field("failureDomain"), faults);
    }

} // namespace

void checkServices(const Document& document, const NameIndex& names, FaultList& faults)
{
    const Path root;
    const auto servicesPath = root.field("services");
    UniquenessChecker checkUniqueService(faults, "a unique name");
    UniquenessChecker checkUniquePrefix(faults, "a unique path prefix");
    // Requests and drains refer to a target by its name alone, without its service.
    UniquenessChecker checkUniqueTarget(faults, "a target name that is unique in the document");
    // Two targets with one address would count the same slots twice.
    UniquenessChecker checkUniqueAddress(faults, "an address that is unique in the document");
    for (std::size_t n = 0; n < document.services.size(); ++n) {
        const auto& service = document.services[n];
        const auto path = servicesPath.element(n);
        checkUniqueService(path.field("name"), service.name);
        checkUniquePrefix(path.field("pathPrefix"), service.pathPrefix);
        checkOpenPathPrefixes(service, path.field("openPathPrefixes"), faults);
        // A connection carries one request at a time, so each slot needs a connection of its own.
        if (service.connectionsPerTarget < service.slotsPerTarget) {
            faults.add(path.field("connectionsPerTarget"),
                "at least slotsPerTarget (" + std::to_string(service.slotsPerTarget) + ')',
                std::to_string(service.connectionsPerTarget));
        }
        checkSpillGrants(service, path.field("spill"), names, faults);
        const auto targetsPath = path.field("targets");
        for (std::size_t i = 0; i < service.targets.size(); ++i) {
            const auto& target = service.targets[i];
            const auto targetPath = targetsPath.element(i);
            checkUniqueTarget(targetPath.field("name"), target.name);
            checkUniqueAddress(targetPath.field("address"), target.address);
            checkTarget(target, targetPath, names, faults);
        }
    }
}

} // namespace arbutuscrank::config
