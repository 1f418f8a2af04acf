#include "config/object_reader.hpp"

#include <algorithm>

namespace arbutuscrank::config {

void ObjectReader::visitFlag(std::string_view name, bool& value)
{
    const auto* node = findOptional(name);
    if (node == nullptr)
        return;
    if (node->is_boolean())
        value = node->get<bool>();
    else
        m_faults.add(m_path.field(name), "true or false", describeValue(*node));
}

void ObjectReader::visitKind(std::string_view name, DrainKind& value)
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
    // Names of VMs are not checked, so this kind prevents a misleading fault for the name.
    value = DrainKind::Vm;
    std::string limit = "one of:";
    for (const auto& it : drainKindNames)
        limit += ' ' + std::string(it);
    m_faults.add(m_path.field(name), std::move(limit), describeValue(*node));
}

void ObjectReader::reportUnknownFields()
{
    if (m_readFields.size() == m_node.size())
        return;
    for (const auto& [name, value] : m_node.items()) {
        if (std::find(m_readFields.begin(), m_readFields.end(), name) == m_readFields.end())
            m_faults.add(m_path.field(truncateText(name)), "a field that the schema defines", describeValue(value));
    }
}

const nlohmann::json* ObjectReader::findOptional(std::string_view name)
{
    const auto it = m_node.find(name);
    if (it == m_node.end())
        return nullptr;
    m_readFields.push_back(name);
    return &*it;
}

const nlohmann::json* ObjectReader::findRequired(std::string_view name, std::string_view type)
{
    const auto* node = findOptional(name);
    if (node == nullptr)
        m_faults.add(m_path.field(name), "a required field (" + std::string(type) + ")", "no such field");
    return node;
}

void ObjectReader::readText(const nlohmann::json& node, const Path& path, std::string& value)
{
    if (node.is_string())
        value = node.get_ref<const std::string&>();
    else
        m_faults.add(path, "a text", describeValue(node));
}

} // namespace arbutuscrank::config
