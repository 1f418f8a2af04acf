#include <arbutuscrank/core/configuration.hpp>

#include <algorithm>

namespace arbutuscrank {

ActiveDocument::ActiveDocument(ManifestVersion version, Document document)
    : m_version(version)
    , m_document(std::move(document))
{
    for (const auto& it : m_document.accounts)
        m_accounts.emplace(it.name, &it);
    for (const auto& it : m_document.services) {
        m_services.emplace(it.name, &it);
        for (const auto& target : it.targets)
            m_targets.emplace(target.name, std::pair(&it, &target));
    }
}

const Account* ActiveDocument::findAccount(std::string_view name) const
{
    const auto it = m_accounts.find(name);
    return it == m_accounts.end() ? nullptr : it->second;
}

const Service* ActiveDocument::findService(std::string_view name) const
{
    const auto it = m_services.find(name);
    return it == m_services.end() ? nullptr : it->second;
}

std::pair<const Service*, const TargetEntry*> ActiveDocument::findTarget(std::string_view name) const
{
    const auto it = m_targets.find(name);
    return it == m_targets.end() ? std::pair<const Service*, const TargetEntry*> {} : it->second;
}

const Service* ActiveDocument::findServiceForPath(std::string_view path) const
{
    const Service* best = nullptr;
    for (const auto& it : m_document.services) {
        if (path.starts_with(it.pathPrefix) && (best == nullptr || it.pathPrefix.size() > best->pathPrefix.size()))
            best = &it;
    }
    return best;
}

bool ActiveDocument::isOpenPath(const Service& service, std::string_view path)
{
    return std::any_of(service.openPathPrefixes.begin(), service.openPathPrefixes.end(),
        [path](const std::string& prefix) { return path.starts_with(prefix); });
}

bool ActiveDocument::isDrained(DrainKind kind, std::string_view name) const
{
    return std::any_of(m_document.drains.begin(), m_document.drains.end(),
        [kind, name](const Drain& drain) { return drain.kind == kind && drain.name == name; });
}

} // namespace arbutuscrank
