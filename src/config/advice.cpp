#include <arbutuscrank/config/advice.hpp>

#include "config/checks.hpp"

#include <algorithm>

namespace arbutuscrank {

namespace config {

    namespace {

        bool isDrained(const Document& document, DrainKind kind, std::string_view name)
        {
            return std::ranges::any_of(
                document.drains, [&](const Drain& it) { return it.kind == kind && it.name == name; });
        }

        bool isInService(const Document& document, const TargetEntry& target)
        {
            return !target.draining && !isDrained(document, DrainKind::Target, target.name)
                && !isDrained(document, DrainKind::FailureDomain, target.failureDomain)
                && !isDrained(document, DrainKind::Region, target.region);
        }

        const Service* findService(const Document& document, std::string_view name)
        {
            const auto it = std::ranges::find(document.services, name, &Service::name);
            return it == document.services.end() ? nullptr : &*it;
        }

        bool hasTargetIn(const Service& service, std::string_view region)
        {
            return std::ranges::any_of(service.targets, [&](const auto& it) { return it.region == region; });
        }

        bool areLinked(const Document& document, std::string_view first, std::string_view second)
        {
            return std::ranges::any_of(document.links,
                [&](const Link& it) { return (it.a == first && it.b == second) || (it.a == second && it.b == first); });
        }

        /// Requests go to the service with the longest path prefix that they begin with.
        const Service* findServiceForPath(const Document& document, std::string_view path)
        {
            const Service* best = nullptr;
            for (const auto& it : document.services) {
                if (path.starts_with(it.pathPrefix) && (!best || it.pathPrefix.size() > best->pathPrefix.size()))
                    best = &it;
            }
            return best;
        }

        void adviseOpenPaths(const Document& document, const Service& service, const Path& path, FaultList& findings)
        {
            const auto& prefixes = service.openPathPrefixes;
            for (const auto& prefix : prefixes) {
                const auto* used = findServiceForPath(document, prefix);
                if (used && used != &service)
                    findings.add(path, "a path whose requests go to the service " + quote(service.name),
                        quote(prefix) + ", which goes to " + quote(used->name));
                const auto isCovering
                    = [&](const auto& it) { return it.size() < prefix.size() && prefix.starts_with(it); };
                if (const auto it = std::ranges::find_if(prefixes, isCovering); it != prefixes.end())
                    findings.add(
                        path, "a path that no other open prefix covers", quote(prefix) + ", covered by " + quote(*it));
            }
        }

        void adviseService(const Document& document, const Service& service, const Path& path, FaultList& findings)
        {
            const auto targetsPath = path.field("targets");
            if (service.targets.empty())
                findings.add(targetsPath, "at least one target", "none");
            else if (std::ranges::none_of(service.targets, [&](const auto& it) { return isInService(document, it); }))
                findings.add(targetsPath, "at least one target that does not drain",
                    "all " + std::to_string(service.targets.size()) + " drain");
            const bool isAdmitted = std::ranges::any_of(document.accounts, [&](const Account& it) {
                return !it.withdrawn && std::ranges::find(it.services, service.name) != it.services.end();
            });
            if (!isAdmitted && service.openPathPrefixes.empty())
                findings.add(path.field("name"), "a service that an account may call, or one with open paths",
                    quote(service.name));
            adviseOpenPaths(document, service, path.field("openPathPrefixes"), findings);
            if (service.queuePerAccount > service.queueTotal)
                findings.add(path.field("queuePerAccount"),
                    "at most queueTotal (" + std::to_string(service.queueTotal) + ')',
                    std::to_string(service.queuePerAccount));
            const auto spillPath = path.field("spill");
            for (const auto& grant : service.spill) {
                if (!hasTargetIn(service, grant.region))
                    findings.add(
                        spillPath.field(grant.region), "a region with targets of the service", quote(grant.region));
            }
        }

        void adviseAccount(const Document& document, const Account& account, const Path& path, FaultList& findings)
        {
            if (account.withdrawn)
                return;
            if (std::ranges::all_of(account.keys, &KeyEntry::withdrawn))
                findings.add(path.field("keys"), "at least one key that is not withdrawn",
                    account.keys.empty() ? "none" : std::to_string(account.keys.size()) + " withdrawn");
            const auto servicesPath = path.field("services");
            if (account.services.empty())
                findings.add(servicesPath, "at least one service", "none");
            for (const auto& name : account.services) {
                const auto* service = findService(document, name);
                const bool isReachable = !service || service->targets.empty() || account.regions.empty()
                    || std::ranges::any_of(
                        account.regions, [&](const auto& region) { return hasTargetIn(*service, region); });
                if (!isReachable)
                    findings.add(servicesPath, "a service with targets in the account's regions", quote(name));
            }
        }

        void adviseShift(const Document& document, const Shift& shift, const Path& path, FaultList& findings)
        {
            const auto* service = findService(document, shift.service);
            if (!areLinked(document, shift.from, shift.to))
                findings.add(path.field("to"), "a region with a link to " + quote(shift.from), quote(shift.to));
            if (!service)
                return;
            if (!hasTargetIn(*service, shift.to))
                findings.add(path.field("to"), "a region with targets of the service", quote(shift.to));
            // Shifted requests also use up the service's spill grant for the region, if there is one.
            const auto grant = std::ranges::find(service->spill, shift.to, &SpillGrant::region);
            if (grant != service->spill.end() && grant->perSecond > 0 && shift.capPerSecond > grant->perSecond)
                findings.add(path.field("capPerSecond"),
                    "at most the spill grant for " + quote(shift.to) + " (" + formatNumber(grant->perSecond)
                        + " requests/s)",
                    formatNumber(shift.capPerSecond));
        }

        void adviseSteering(const Document& document, const Path& path, FaultList& findings)
        {
            const auto& steering = document.steering;
            const auto groupsPath = path.field("groups");
            for (const auto& group : steering.groups) {
                if (std::ranges::find(steering.blocks, group.name, &ClientBlock::group) == steering.blocks.end())
                    findings.add(groupsPath.field(group.name), "a group with a client block", quote(group.name));
            }
        }

        template <typename Entry, typename Advise>
        void adviseEach(const Document& document, const std::vector<Entry>& entries, std::string_view field,
            Advise&& advise, FaultList& findings)
        {
            const Path root;
            const auto path = root.field(field);
            for (const auto& it : entries)
                advise(document, it, path.field(it.name), findings);
        }

    } // namespace

} // namespace config

std::vector<Fault> advise(const Document& document)
{
    config::FaultList findings;
    config::adviseEach(document, document.services, "services", config::adviseService, findings);
    config::adviseEach(document, document.accounts, "accounts", config::adviseAccount, findings);
    config::adviseEach(document, document.shifts, "shifts", config::adviseShift, findings);
    const config::Path root;
    config::adviseSteering(document, root.field("steering"), findings);
    return findings.take();
}

} // namespace arbutuscrank
