#include "config/faults.hpp"
#include "config/json_writer.hpp"

#include <arbutuscrank/config/codec.hpp>

#include <algorithm>
#include <tuple>

namespace arbutuscrank {

namespace config {

    namespace {

        using nlohmann::json;

        /// \brief Name that identifies a list element; empty if it has none, for example a string.
        std::string elementName(const json& element)
        {
            if (!element.is_object())
                return {};
            const auto text = [&element](const char* field) {
                const auto it = element.find(field);
                return it != element.end() && it->is_string() ? it->get<std::string>() : std::string();
            };
            if (element.contains("kind"))
                return text("kind") + ':' + text("name");
            if (element.contains("a"))
                return text("a") + ':' + text("b");
            for (const auto* field : { "name", "id", "cidr", "region" }) {
                if (element.contains(field))
                    return text(field);
            }
            return {};
        }

        /// \brief Elements of an array by name; nullopt if an element has no name or two have the same name.
        std::optional<std::map<std::string, const json*>> elementsByName(const json& array)
        {
            std::map<std::string, const json*> elements;
            for (const auto& it : array) {
                auto name = elementName(it);
                if (name.empty() || !elements.emplace(std::move(name), &it).second)
                    return std::nullopt;
            }
            return elements;
        }

        std::map<std::string, const json*> fieldsByName(const json& object)
        {
            std::map<std::string, const json*> fields;
            for (const auto& [name, value] : object.items())
                fields.emplace(name, &value);
            return fields;
        }

        std::string toText(const json* node) { return node == nullptr ? std::string() : canonicalText(*node); }

        void compareNodes(
            const std::string& path, const json* before, const json* after, std::vector<Difference>& result);

        void compareChildren(const std::string& path, const std::map<std::string, const json*>& before,
            const std::map<std::string, const json*>& after, std::vector<Difference>& result)
        {
            const auto childPath = [&path](const std::string& name) { return path + '/' + escapePointer(name); };
            for (const auto& [name, node] : before) {
                const auto it = after.find(name);
                compareNodes(childPath(name), node, it == after.end() ? nullptr : it->second, result);
            }
            for (const auto& [name, node] : after) {
                if (!before.contains(name))
                    compareNodes(childPath(name), nullptr, node, result);
            }
        }

        void compareNodes(
            const std::string& path, const json* before, const json* after, std::vector<Difference>& result)
        {
            if (before != nullptr && after != nullptr) {
                if (*before == *after)
                    return;
                if (before->is_object() && after->is_object()) {
                    compareChildren(path, fieldsByName(*before), fieldsByName(*after), result);
                    return;
                }
                if (before->is_array() && after->is_array()) {
                    const auto elementsBefore = elementsByName(*before);
                    const auto elementsAfter = elementsByName(*after);
                    if (elementsBefore && elementsAfter) {
                        compareChildren(path, *elementsBefore, *elementsAfter, result);
                        return;
                    }
                }
            }
            result.push_back({ path, toText(before), toText(after) });
        }

        /// \brief Compares client blocks without JSON trees, which would need more than 1 GB at the planned scale.
        void compareBlocks(const std::vector<ClientBlock>& before, const std::vector<ClientBlock>& after,
            std::vector<Difference>& result)
        {
            const auto sorted = [](const std::vector<ClientBlock>& blocks) {
                std::vector<std::pair<std::string_view, std::string_view>> cidrsAndGroups;
                cidrsAndGroups.reserve(blocks.size());
                for (const auto& it : blocks)
                    cidrsAndGroups.emplace_back(it.cidr, it.group);
                std::sort(cidrsAndGroups.begin(), cidrsAndGroups.end());
                return cidrsAndGroups;
            };
            const auto addDifference = [&result](std::string_view cidr, std::optional<std::string_view> groupBefore,
                                           std::optional<std::string_view> groupAfter) {
                const auto text = [cidr](std::optional<std::string_view> group) {
                    return group ? canonicalText({ { "cidr", cidr }, { "group", *group } }) : std::string();
                };
                const auto path = "/steering/blocks/" + escapePointer(cidr);
                if (groupBefore && groupAfter)
                    result.push_back({ path + "/group", canonicalText(*groupBefore), canonicalText(*groupAfter) });
                else
                    result.push_back({ path, text(groupBefore), text(groupAfter) });
            };
            const auto sortedBefore = sorted(before);
            const auto sortedAfter = sorted(after);
            auto itBefore = sortedBefore.begin();
            auto itAfter = sortedAfter.begin();
            while (itBefore != sortedBefore.end() || itAfter != sortedAfter.end()) {
                if (itAfter == sortedAfter.end()
                    || (itBefore != sortedBefore.end() && itBefore->first < itAfter->first)) {
                    addDifference(itBefore->first, itBefore->second, std::nullopt);
                    ++itBefore;
                } else if (itBefore == sortedBefore.end() || itAfter->first < itBefore->first) {
                    addDifference(itAfter->first, std::nullopt, itAfter->second);
                    ++itAfter;
                } else {
                    if (itBefore->second != itAfter->second)
                        addDifference(itBefore->first, itBefore->second, itAfter->second);
                    ++itBefore;
                    ++itAfter;
                }
            }
        }

        json treeWithoutBlocks(const Document& document)
        {
            Document documentWithoutBlocks { document.schema, document.regions, document.links, document.services,
                document.accounts, document.shifts, document.drains,
                { document.steering.lookupTtlSeconds, document.steering.sites, document.steering.groups, {} } };
            return ObjectWriter::write(documentWithoutBlocks);
        }

    } // namespace

} // namespace config

std::vector<Difference> diffDocuments(const Document& before, const Document& after)
{
    std::vector<Difference> result;
    const auto treeBefore = config::treeWithoutBlocks(before);
    const auto treeAfter = config::treeWithoutBlocks(after);
    config::compareNodes("", &treeBefore, &treeAfter, result);
    config::compareBlocks(before.steering.blocks, after.steering.blocks, result);
    return result;
}

} // namespace arbutuscrank
