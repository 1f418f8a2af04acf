#include "config/checks.hpp"
#include "config/json_text.hpp"
#include "config/object_reader.hpp"

#include <arbutuscrank/config/codec.hpp>

namespace arbutuscrank {

namespace config {

    namespace {

        /// \brief Whether a path or one of the paths that it lies under is in a set.
        bool isCovered(std::string_view path, const std::unordered_set<std::string_view>& covered)
        {
            while (!covered.contains(path)) {
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
        checkChanges(document, names, faults);
        checkSteering(document, names, faults);
    }

    void checkPartSizes(const Document& document, FaultList& faults)
    {
        for (const auto& [name, text] : splitDocument(document)) {
            if (text.size() > maxPartBytes) {
                faults.add('/' + name.substr(0, name.find('/')),
                    "at most " + std::to_string(maxPartBytes) + " bytes in one part",
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
    // A field that could not be read keeps its default; faults of that default would only mislead.
    std::unordered_set<std::string_view> unread;
    for (const auto& it : faults.faults())
        unread.insert(it.path);
    std::vector<Fault> further;
    if (!unread.contains("")) {
        for (auto& it : validate(document)) {
            if (!config::isCovered(it.path, unread))
                further.push_back(std::move(it));
        }
    }
    unread.clear();
    for (auto& it : further)
        faults.add(std::move(it.path), std::move(it.limit), it.found);
    if (!faults.empty())
        return faults.take();
    normalize(document);
    return document;
}

} // namespace arbutuscrank
