#include "config/object_reader.hpp"

#include <algorithm>

namespace arbutuscrank::config {

void ObjectReader::flag(std::string_view name, bool& value)
{
    const auto* node = findOptional(name);
    if (node == nullptr)
        return;
    if (node->is_boolean())
        value = node->get<bool>();
    else
        m_faults.add(m_path.field(name), "true or false", describeValue(*node));
}

void ObjectReader::kind(std::string_view name, DrainKind& value)
{
    const auto* node = findOptional(name);
    if (node == nullptr)
        return;
    if (node->is_string()) {
        const auto it = std::find(drainKindNames.begin(), drainKindNames.end(), node->get_ref<const std::string&>());
        if (it != drainKindNames.end()) {
            value = static_cast<DrainKind>(it - drainKindNames.begin());
            return;
        }
    }
    // The name of a VM is not looked up, so no misleading fault of the name follows.
    value = DrainKind::Vm;
    std::string limit = "one of";
    for (const auto& it : drainKindNames)
        limit += ' ' + std::string(it);
    m_faults.add(m_path.field(name), std::move(limit), describeValue(*node));
}

void ObjectReader::reportUnknown()
{
    if (m_known.size() == m_node.size())
        return;
    for (const auto& [name, value] : m_node.items()) {
        if (std::find(m_known.begin(), m_known.end(), name) == m_known.end())
            m_faults.add(m_path.field(cutText(name)), "a known field", describeValue(value));
    }
}

const nlohmann::json* ObjectReader::findOptional(std::string_view name)
{
    const auto it = m_node.find(name);
    if (it == m_node.end())
        return nullptr;
    m_known.push_back(name);
    return &*it;
}

const nlohmann::json* ObjectReader::find(std::string_view name, std::string_view type)
{
    const auto* node = findOptional(name);
    if (node == nullptr)
        m_faults.add(m_path.field(name), "a required field (" + std::string(type) + ")", "missing");
    return node;
}

void ObjectReader::readText(const nlohmann::json& node, const Path& path, std::string& value)
{
    if (node.is_string())
        value = node.get_ref<const std::string&>();
    else
        m_faults.add(path, "text", describeValue(node));
}

} // namespace arbutuscrank::config
