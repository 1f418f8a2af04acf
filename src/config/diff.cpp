#include "config/faults.hpp"
#include "config/json_writer.hpp"

#include <arbutuscrank/config/codec.hpp>

#include <algorithm>
#include <tuple>

namespace arbutuscrank {

namespace config {

    namespace {

        using nlohmann::json;

        /// \brief Name of an element among its siblings; empty if it has none, as a text in a list of texts.
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

        /// \brief Elements of an array by name; nullopt if they have no distinct names.
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

        std::string textOf(const json* node) { return node == nullptr ? std::string() : canonicalText(*node); }

        void compare(const std::string& path, const json* before, const json* after, std::vector<Difference>& result);

        void compareChildren(const std::string& path, const std::map<std::string, const json*>& before,
            const std::map<std::string, const json*>& after, std::vector<Difference>& result)
        {
            const auto child = [&path](const std::string& name) { return path + '/' + escapePointer(name); };
            for (const auto& [name, node] : before) {
                const auto it = after.find(name);
                compare(child(name), node, it == after.end() ? nullptr : it->second, result);
            }
            for (const auto& [name, node] : after) {
                if (!before.contains(name))
                    compare(child(name), nullptr, node, result);
            }
        }

        void compare(const std::string& path, const json* before, const json* after, std::vector<Difference>& result)
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
            result.push_back({ path, textOf(before), textOf(after) });
        }

        /// \brief Compares client blocks without JSON trees, which would take over a gigabyte at the planned scale.
        void compareBlocks(const std::vector<ClientBlock>& before, const std::vector<ClientBlock>& after,
            std::vector<Difference>& result)
        {
            const auto sorted = [](const std::vector<ClientBlock>& blocks) {
                std::vector<std::pair<std::string_view, std::string_view>> pairs;
                pairs.reserve(blocks.size());
                for (const auto& it : blocks)
                    pairs.emplace_back(it.cidr, it.group);
                std::sort(pairs.begin(), pairs.end());
                return pairs;
            };
            const auto report = [&result](std::string_view cidr, std::optional<std::string_view> groupBefore,
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
            const auto left = sorted(before);
            const auto right = sorted(after);
            auto itLeft = left.begin();
            auto itRight = right.begin();
            while (itLeft != left.end() || itRight != right.end()) {
                if (itRight == right.end() || (itLeft != left.end() && itLeft->first < itRight->first)) {
                    report(itLeft->first, itLeft->second, std::nullopt);
                    ++itLeft;
                } else if (itLeft == left.end() || itRight->first < itLeft->first) {
                    report(itRight->first, std::nullopt, itRight->second);
                    ++itRight;
                } else {
                    if (itLeft->second != itRight->second)
                        report(itLeft->first, itLeft->second, itRight->second);
                    ++itLeft;
                    ++itRight;
                }
            }
        }

        json treeWithoutBlocks(const Document& document)
        {
            Document rest { document.schema, document.regions, document.links, document.services, document.accounts,
                document.shifts, document.drains,
                { document.steering.lookupTtlSeconds, document.steering.sites, document.steering.groups, {} } };
            return ObjectWriter::write(rest);
        }

    } // namespace

} // namespace config

std::vector<Difference> diffDocuments(const Document& before, const Document& after)
{
    std::vector<Difference> result;
    const auto treeBefore = config::treeWithoutBlocks(before);
    const auto treeAfter = config::treeWithoutBlocks(after);
    config::compare("", &treeBefore, &treeAfter, result);
    config::compareBlocks(before.steering.blocks, after.steering.blocks, result);
    return result;
}

} // namespace arbutuscrank
