#include "config/checks.hpp"
#include "config/object_reader.hpp"

#include <map>

namespace arbutuscrank::config {

namespace {

    // Allows for the rounding error of sums such as 33.4 + 33.3 + 33.3.
    constexpr double percentTolerance = 1e-9;

    void checkShifts(const Document& document, const NameIndex& names, FaultList& faults)
    {
        const Path root;
        const auto shiftsPath = root.field("shifts");
        UniquenessChecker checkUnique(faults, "a unique name");
        std::map<std::pair<std::string_view, std::string_view>, double> percentSums;
        for (std::size_t n = 0; n < document.shifts.size(); ++n) {
            const auto& shift = document.shifts[n];
            const auto path = shiftsPath.element(n);
            checkUnique(path.field("name"), shift.name);
            checkReference(names.services, shift.service, "service", path.field("service"), faults);
            checkReference(names.regions, shift.from, "region", path.field("from"), faults);
            checkReference(names.regions, shift.to, "region", path.field("to"), faults);
            if (shift.from == shift.to)
                faults.add(path.field("to"), "a region other than \"from\"", quote(shift.to));
            if (shift.percent > limits::percent.maximum)
                continue; // checkLimits() reports it.
            auto& percentSum = percentSums[{ shift.service, shift.from }];
            percentSum += shift.percent;
            if (percentSum > limits::percent.maximum + percentTolerance) {
                faults.add(path.field("percent"),
                    "at most 100 percent in total for all shifts of one service from one region",
                    formatNumber(percentSum) + " percent with the preceding shifts");
            }
        }
    }

    void checkDrains(const Document& document, const NameIndex& names, FaultList& faults)
    {
        const Path root;
        const auto drainsPath = root.field("drains");
        UniquenessChecker checkUnique(faults, "at most one drain of each kind and name");
        for (std::size_t n = 0; n < document.drains.size(); ++n) {
            const auto& drain = document.drains[n];
            const auto drainPath = drainsPath.element(n);
            const auto path = drainPath.field("name");
            checkUnique(path, std::to_string(static_cast<int>(drain.kind)) + ' ' + drain.name);
            switch (drain.kind) {
            case DrainKind::Target:
                checkReference(names.targets, drain.name, "target", path, faults);
                break;
            case DrainKind::Vm:
                break; // The document does not list VMs, so any name is valid.
            case DrainKind::FailureDomain: {
                const auto it = names.failureDomains.find(drain.name);
                if (it == names.failureDomains.end())
                    faults.add(path, "an existing failure domain", quote(drain.name));
                else if (it->second > 1)
                    faults.add(path, "a failure domain name that is used in only one region", quote(drain.name));
                break;
            }
            case DrainKind::Region:
                checkReference(names.regions, drain.name, "region", path, faults);
                break;
            case DrainKind::Site:
                checkReference(names.sites, drain.name, "site", path, faults);
                break;
            }
        }
    }

} // namespace

void checkShiftsAndDrains(const Document& document, const NameIndex& names, FaultList& faults)
{
    checkShifts(document, names, faults);
    checkDrains(document, names, faults);
}

} // namespace arbutuscrank::config
