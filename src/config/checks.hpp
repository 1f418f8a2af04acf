#pragma once

#include "config/faults.hpp"

#include <arbutuscrank/config/document.hpp>

#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

/// \file
/// \brief Checks of a document in memory, by topic.

namespace arbutuscrank::config {

/// \brief Names that other parts of a document refer to.
struct NameIndex {
    explicit NameIndex(const Document& document);

    std::unordered_map<std::string_view, std::unordered_set<std::string_view>> regions; ///< with their failure domains
    std::unordered_map<std::string_view, std::size_t> failureDomains; ///< number of regions that have the name
    std::unordered_set<std::string_view> services;
    std::unordered_set<std::string_view> targets;
    std::unordered_set<std::string_view> sites;
    std::unordered_set<std::string_view> groups;
};

/// \brief Finds values that occur twice and says where the first one is.
class UniqueCheck {
public:
    /// \param rule for \ref Fault::limit, for example "a name used once"
    UniqueCheck(FaultList& faults, std::string_view rule)
        : m_faults(faults)
        , m_rule(rule)
    {
    }

    void operator()(const Path& path, std::string value)
    {
        const auto [it, isNew] = m_paths.try_emplace(std::move(value), path.text());
        if (!isNew)
            m_faults.add(path, std::string(m_rule), quote(it->first) + " as in " + it->second);
    }

    /// \brief Checks the elements of a list of texts.
    static void list(const std::vector<std::string>& values, const Path& path, FaultList& faults)
    {
        UniqueCheck unique(faults, "a value used once");
        for (std::size_t n = 0; n < values.size(); ++n)
            unique(path.element(n), values[n]);
    }

private:
    FaultList& m_faults;
    std::string_view m_rule;
    std::unordered_map<std::string, std::string> m_paths;
};

/// \brief Adds a fault if a name is not among the known ones.
template <typename Names>
void checkReference(
    const Names& names, std::string_view name, std::string_view what, const Path& path, FaultList& faults)
{
    if (!names.contains(name))
        faults.add(path, "a known " + std::string(what), quote(name));
}

/// \brief Formats, ranges and numbers of elements of all fields.
void checkLimits(const Document& document, FaultList& faults);

/// \brief Regions, failure domains and links.
void checkRegions(const Document& document, const NameIndex& names, FaultList& faults);

/// \brief Services: prefixes, slots, spill grants and targets.
void checkServices(const Document& document, const NameIndex& names, FaultList& faults);

/// \brief Accounts and their keys.
void checkAccounts(const Document& document, const NameIndex& names, FaultList& faults);

/// \brief Shifts and drains.
void checkChanges(const Document& document, const NameIndex& names, FaultList& faults);

/// \brief Sites, client groups and client blocks.
void checkSteering(const Document& document, const NameIndex& names, FaultList& faults);

/// \brief All of the above.
void checkDocument(const Document& document, FaultList& faults);

/// \brief That no part is larger than an object of the store may be.
void checkPartSizes(const Document& document, FaultList& faults);

} // namespace arbutuscrank::config
