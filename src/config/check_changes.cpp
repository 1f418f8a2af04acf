#include "config/checks.hpp"
#include "config/object_reader.hpp"

#include <map>

namespace arbutuscrank::config {

namespace {

    // Room for the rounding of sums such as 33.4 + 33.3 + 33.3.
    constexpr double percentTolerance = 1e-9;

    void checkShifts(const Document& document, const NameIndex& names, FaultList& faults)
    {
        const Path root;
        const auto shiftsPath = root.field("shifts");
        UniqueCheck unique(faults, "a name used once");
        std::map<std::pair<std::string_view, std::string_view>, double> sums;
        for (std::size_t n = 0; n < document.shifts.size(); ++n) {
            const auto& shift = document.shifts[n];
            const auto path = shiftsPath.element(n);
            unique(path.field("name"), shift.name);
            checkReference(names.services, shift.service, "service", path.field("service"), faults);
            checkReference(names.regions, shift.from, "region", path.field("from"), faults);
            checkReference(names.regions, shift.to, "region", path.field("to"), faults);
            if (shift.from == shift.to)
                faults.add(path.field("to"), "another region than \"from\"", quote(shift.to));
            if (shift.percent > limits::percent.high)
                continue; // Reported by checkLimits().
            auto& sum = sums[{ shift.service, shift.from }];
            sum += shift.percent;
            if (sum > limits::percent.high + percentTolerance) {
                faults.add(path.field("percent"), "at most 100 percent of one service from one region in all shifts",
                    formatNumber(sum) + " with the shifts before");
            }
        }
    }

    void checkDrains(const Document& document, const NameIndex& names, FaultList& faults)
    {
        const Path root;
        const auto drainsPath = root.field("drains");
        UniqueCheck unique(faults, "one drain for each kind and name");
        for (std::size_t n = 0; n < document.drains.size(); ++n) {
            const auto& drain = document.drains[n];
            const auto drainPath = drainsPath.element(n);
            const auto path = drainPath.field("name");
            unique(path, std::to_string(static_cast<int>(drain.kind)) + ' ' + drain.name);
            switch (drain.kind) {
            case DrainKind::Target:
                checkReference(names.targets, drain.name, "target", path, faults);
                break;
            case DrainKind::Vm:
                break; // The document does not list VMs.
            case DrainKind::FailureDomain: {
                const auto it = names.failureDomains.find(drain.name);
                if (it == names.failureDomains.end())
                    faults.add(path, "a known failure domain", quote(drain.name));
                else if (it->second > 1)
                    faults.add(path, "a failure domain of one region only", quote(drain.name));
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

void checkChanges(const Document& document, const NameIndex& names, FaultList& faults)
{
    checkShifts(document, names, faults);
    checkDrains(document, names, faults);
}

} // namespace arbutuscrank::config
