#include "config/checks.hpp"
#include "config/json_parser.hpp"
#include "config/object_reader.hpp"

#include <arbutuscrank/config/codec.hpp>

namespace arbutuscrank {

namespace config {

    namespace {

        /// \brief Whether a set of JSON pointers contains a path or an ancestor of it.
        bool isAtOrBelow(std::string_view path, const std::unordered_set<std::string_view>& ancestors)
        {
            while (!ancestors.contains(path)) {
                const auto slash = path.rfind('/');
                if (slash == std::string_view::npos)
                    return false;
                path = path.substr(0, slash);
            }
            return true;
        }

    } // namespace

    NameIndex::NameIndex(const Document& document)
    {
        for (const auto& it : document.regions) {
            auto& domains = regions[it.name];
            for (const auto& domain : it.failureDomains) {
                if (domains.insert(domain).second)
                    ++failureDomains[domain];
            }
        }
        for (const auto& it : document.services) {
            services.insert(it.name);
            for (const auto& target : it.targets)
                targets.insert(target.name);
        }
        for (const auto& it : document.steering.sites)
            sites.insert(it.name);
        for (const auto& it : document.steering.groups)
            groups.insert(it.name);
    }

    void checkDocument(const Document& document, FaultList& faults)
    {
        const NameIndex names(document);
        checkLimits(document, faults);
        checkRegions(document, names, faults);
        checkServices(document, names, faults);
        checkAccounts(document, names, faults);
        checkShiftsAndDrains(document, names, faults);
        checkSteering(document, names, faults);
    }

    void checkPartSizes(const Document& document, FaultList& faults)
    {
        for (const auto& [name, text] : splitDocument(document)) {
            if (text.size() > maxPartBytes) {
                faults.add('/' + name.substr(0, name.find('/')),
                    "at most " + std::to_string(maxPartBytes) + " bytes in one part of the stored document",
                    std::to_string(text.size()) + " in part " + name);
            }
        }
    }

} // namespace config

std::vector<Fault> validate(const Document& document)
{
    config::FaultList faults;
    config::checkDocument(document, faults);
    if (faults.empty())
        config::checkPartSizes(document, faults);
    return faults.take();
}

ParsedDocument parseDocument(std::string_view json)
{
    config::FaultList faults;
    const auto tree = config::parseJson(json, faults);
    if (tree.is_discarded())
        return faults.take();
    Document document;
    config::ObjectReader::read(tree, {}, faults, document);
    // A field that could not be read keeps its default value. Faults of that value are left out because they would
    // mislead.
    std::unordered_set<std::string_view> unreadPaths;
    for (const auto& it : faults.faults())
        unreadPaths.insert(it.path);
    std::vector<Fault> validationFaults;
    if (!unreadPaths.contains("")) {
        for (auto& it : validate(document)) {
            if (!config::isAtOrBelow(it.path, unreadPaths))
                validationFaults.push_back(std::move(it));
        }
    }
    // The set refers to texts in the fault list, which add() may move.
    unreadPaths.clear();
    for (auto& it : validationFaults)
        faults.add(std::move(it.path), std::move(it.limit), it.found);
    if (!faults.empty())
        return faults.take();
    normalize(document);
    return document;
}

} // namespace arbutuscrank
