#include "config/json_text.hpp"

#include <algorithm>

namespace arbutuscrank::config {

namespace {

    using nlohmann::json;

    /// \brief Builds a tree from parser events. A repeated field is a fault; the later value replaces the earlier.
    class TreeBuilder final : public nlohmann::json_sax<json> {
    public:
        explicit TreeBuilder(FaultList& faults)
            : m_faults(faults)
        {
        }

        [[nodiscard]] json take() { return std::move(m_root); }

        bool null() override { return put(nullptr) != nullptr; }
        bool boolean(bool value) override { return put(value) != nullptr; }
        bool number_integer(number_integer_t value) override { return put(value) != nullptr; }
        bool number_unsigned(number_unsigned_t value) override { return put(value) != nullptr; }
        bool number_float(number_float_t value, const string_t& /*text*/) override { return put(value) != nullptr; }
        bool string(string_t& value) override { return put(std::move(value)) != nullptr; }
        bool binary(binary_t& /*value*/) override { return false; }
        bool start_object(std::size_t /*elements*/) override { return open(json::object()); }
        bool start_array(std::size_t /*elements*/) override { return open(json::array()); }
        bool end_object() override { return close(); }
        bool end_array() override { return close(); }

        bool key(string_t& value) override
        {
            m_open.back().key = std::move(value);
            if (m_open.back().node->contains(m_open.back().key))
                m_faults.add(path(), "each field once", "repeated field");
            return true;
        }

        bool parse_error(std::size_t position, const std::string& /*token*/, const json::exception& error) override
        {
            // The message quotes the offending bytes, which need not be UTF-8.
            std::string message = error.what();
            std::replace_if(
                message.begin(), message.end(), [](char it) { return it < ' ' || it > '~'; }, '?');
            if (const auto n = message.find("syntax error"); n != std::string::npos)
                message.erase(0, n);
            m_faults.add("", "JSON text in UTF-8", "byte " + std::to_string(position) + ": " + message);
            return false;
        }

    private:
        struct Frame {
            json* node;
            std::string key;
        };

        [[nodiscard]] std::string path() const
        {
            std::string text;
            for (const auto& it : m_open) {
                text += '/';
                text += it.node->is_object() ? cutText(escapePointer(it.key)) : std::to_string(it.node->size() - 1);
            }
            return text;
        }

        json* put(json value)
        {
            if (++m_values > limits::maxJsonValues) {
                m_faults.add("", "at most " + std::to_string(limits::maxJsonValues) + " JSON values", "more");
                return nullptr;
            }
            if (m_open.empty()) {
                m_root = std::move(value);
                return &m_root;
            }
            auto& frame = m_open.back();
            if (frame.node->is_array()) {
                frame.node->push_back(std::move(value));
                return &frame.node->back();
            }
            auto& slot = (*frame.node)[frame.key];
            slot = std::move(value);
            return &slot;
        }

        bool open(json value)
        {
            if (m_open.size() == limits::maxNesting) {
                m_faults.add(path(), "at most " + std::to_string(limits::maxNesting) + " nested levels", "more levels");
                return false;
            }
            auto* node = put(std::move(value));
            if (node != nullptr)
                m_open.push_back({ node, {} });
            return node != nullptr;
        }

        bool close()
        {
            m_open.pop_back();
            return true;
        }

        FaultList& m_faults;
        json m_root;
        std::vector<Frame> m_open;
        std::size_t m_values = 0;
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
    return builder.take();
}

std::string describeValue(const json& value)
{
    if (value.is_string())
        return quote(value.get_ref<const std::string&>());
    if (value.is_array())
        return "array of " + std::to_string(value.size());
    if (value.is_object())
        return "object of " + std::to_string(value.size()) + " fields";
    return value.dump();
}

} // namespace arbutuscrank::config
