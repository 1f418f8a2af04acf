#include "config/json_parser.hpp"

#include <algorithm>

namespace arbutuscrank::config {

namespace {

    using nlohmann::json;

    /// \brief SAX handler that builds a tree. It reports a repeated field as a fault and keeps the last value.
    class TreeBuilder final : public nlohmann::json_sax<json> {
    public:
        explicit TreeBuilder(FaultList& faults)
            : m_faults(faults)
        {
        }

        [[nodiscard]] json takeTree() { return std::move(m_root); }

        bool null() override { return addValue(nullptr) != nullptr; }
        bool boolean(bool value) override { return addValue(value) != nullptr; }
        bool number_integer(number_integer_t value) override { return addValue(value) != nullptr; }
        bool number_unsigned(number_unsigned_t value) override { return addValue(value) != nullptr; }
        bool number_float(number_float_t value, const string_t& /*text*/) override
        {
            return addValue(value) != nullptr;
        }
        bool string(string_t& value) override { return addValue(std::move(value)) != nullptr; }
        bool binary(binary_t& /*value*/) override { return false; }
        bool start_object(std::size_t /*elements*/) override { return openContainer(json::object()); }
        bool start_array(std::size_t /*elements*/) override { return openContainer(json::array()); }
        bool end_object() override { return closeContainer(); }
        bool end_array() override { return closeContainer(); }

        bool key(string_t& value) override
        {
            m_openContainers.back().key = std::move(value);
            if (m_openContainers.back().node->contains(m_openContainers.back().key))
                m_faults.add(currentPath(), "a field name that occurs once in its object", "a repeated field");
            return true;
        }

        bool parse_error(std::size_t position, const std::string& /*token*/, const json::exception& error) override
        {
            // The message quotes the input, which may not be valid UTF-8. Faults are sent as JSON and must be.
            std::string message = error.what();
            std::replace_if(
                message.begin(), message.end(), [](char it) { return it < ' ' || it > '~'; }, '?');
            if (const auto n = message.find("syntax error"); n != std::string::npos)
                message.erase(0, n);
            m_faults.add("", "valid JSON in UTF-8", "byte " + std::to_string(position) + ": " + message);
            return false;
        }

    private:
        /// An object or array whose end has not been read.
        struct OpenContainer {
            json* node;
            std::string key; ///< last field name of an object
        };

        /// JSON pointer of the last value.
        [[nodiscard]] std::string currentPath() const
        {
            std::string text;
            for (const auto& it : m_openContainers) {
                text += '/';
                text
                    += it.node->is_object() ? truncateText(escapePointer(it.key)) : std::to_string(it.node->size() - 1);
            }
            return text;
        }

        /// Adds a value to the innermost open container.
        /// \returns nullptr if the text has too many values
        json* addValue(json value)
        {
            if (++m_valueCount > limits::maxJsonValues) {
                m_faults.add("", "at most " + std::to_string(limits::maxJsonValues) + " JSON values", "more values");
                return nullptr;
            }
            if (m_openContainers.empty()) {
                m_root = std::move(value);
                return &m_root;
            }
            auto& container = m_openContainers.back();
            if (container.node->is_array()) {
                container.node->push_back(std::move(value));
                return &container.node->back();
            }
            auto& field = (*container.node)[container.key];
            field = std::move(value);
            return &field;
        }

        bool openContainer(json value)
        {
            if (m_openContainers.size() == limits::maxNestingDepth) {
                m_faults.add(currentPath(),
                    "at most " + std::to_string(limits::maxNestingDepth) + " levels of nested objects and arrays",
                    "more levels");
                return false;
            }
            auto* node = addValue(std::move(value));
            if (node != nullptr)
                m_openContainers.push_back({ node, {} });
            return node != nullptr;
        }

        bool closeContainer()
        {
            m_openContainers.pop_back();
            return true;
        }

        FaultList& m_faults;
        json m_root;
        std::vector<OpenContainer> m_openContainers;
        std::size_t m_valueCount = 0;
    };

} // namespace

json parseJson(std::string_view text, FaultList& faults)
{
    if (text.size() > limits::maxDocumentBytes) {
        faults.add("", "at most " + std::to_string(limits::maxDocumentBytes) + " bytes",
            std::to_string(text.size()) + " bytes");
        return json::value_t::discarded;
    }
    TreeBuilder builder(faults);
    if (!json::sax_parse(text, &builder))
        return json::value_t::discarded;
    return builder.takeTree();
}

std::string describeValue(const json& value)
{
    if (value.is_string())
        return quote(value.get_ref<const std::string&>());
    if (value.is_array())
        return "array with length " + std::to_string(value.size());
    if (value.is_object())
        return "object with " + std::to_string(value.size()) + " fields";
    return value.dump();
}

} // namespace arbutuscrank::config
