#pragma once

#include "config/faults.hpp"

#include <arbutuscrank/config/document.hpp>

#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

/// \file
/// \brief Validation of a document in memory, by topic. Each function adds its findings to a \ref FaultList.

namespace arbutuscrank::config {

/// \brief Names that a document defines, for checking references to them.
struct NameIndex {
    explicit NameIndex(const Document& document);

    std::unordered_map<std::string_view, std::unordered_set<std::string_view>> regions; ///< failure domains by region
    std::unordered_map<std::string_view, std::size_t> failureDomains; ///< number of regions that define each name
    std::unordered_set<std::string_view> services;
    std::unordered_set<std::string_view> targets;
    std::unordered_set<std::string_view> sites;
    std::unordered_set<std::string_view> groups;
};

/// \brief Reports values that occur more than once, with the path of the first occurrence.
class UniquenessChecker {
public:
    /// \param limit text for \ref Fault::limit, for example "a unique name"
    UniquenessChecker(FaultList& faults, std::string_view limit)
        : m_faults(faults)
        , m_limit(limit)
    {
    }

    /// \brief Adds a fault if an earlier call had the same value.
    void operator()(const Path& path, std::string value)
    {
        const auto [it, isFirst] = m_firstPaths.try_emplace(std::move(value), path.text());
        if (!isFirst)
            m_faults.add(path, std::string(m_limit), quote(it->first) + " also at " + it->second);
    }

    /// \brief Checks that the elements of a list are unique.
    static void checkList(const std::vector<std::string>& values, const Path& path, FaultList& faults)
    {
        UniquenessChecker checkUnique(faults, "a unique value");
        for (std::size_t n = 0; n < values.size(); ++n)
            checkUnique(path.element(n), values[n]);
    }

private:
    FaultList& m_faults;
    std::string_view m_limit;
    std::unordered_map<std::string, std::string> m_firstPaths;
};

/// \brief Adds a fault if a name is not defined.
/// \param definedNames set or map of the defined names
/// \param kind type of the named object, for example "region"
template <typename Names>
void checkReference(
    const Names& definedNames, std::string_view name, std::string_view kind, const Path& path, FaultList& faults)
{
    if (!definedNames.contains(name))
        faults.add(path, "an existing " + std::string(kind), quote(name));
}

/// \brief Checks the format, range or number of elements of every field.
void checkLimits(const Document& document, FaultList& faults);

/// \brief Checks regions, failure domains and links.
void checkRegions(const Document& document, const NameIndex& names, FaultList& faults);

/// \brief Checks services with their path prefixes, slots, spill grants and targets.
void checkServices(const Document& document, const NameIndex& names, FaultList& faults);

/// \brief Checks accounts and their keys.
void checkAccounts(const Document& document, const NameIndex& names, FaultList& faults);

/// \brief Checks shifts and drains.
void checkShiftsAndDrains(const Document& document, const NameIndex& names, FaultList& faults);

/// \brief Checks sites, client groups and client blocks.
void checkSteering(const Document& document, const NameIndex& names, FaultList& faults);

/// \brief Runs all checks above.
void checkDocument(const Document& document, FaultList& faults);

/// \brief Checks that no part exceeds \ref maxPartBytes, the maximum size of an object of the store.
void checkPartSizes(const Document& document, FaultList& faults);

} // namespace arbutuscrank::config
