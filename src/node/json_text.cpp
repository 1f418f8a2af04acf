#include "node/json_text.hpp"

#include <algorithm>

namespace arbutuscrank::node {

namespace {

    constexpr std::string_view whitespace = " \t\r\n";
    constexpr std::string_view endsOfScalar = ",]} \t\r\n";

    /// Reads text from front to back. Each function returns an empty view or false if the text does not continue so.
    class Scanner {
    public:
        explicit Scanner(std::string_view text)
            : m_rest(text)
        {
        }

        bool skip(char expected)
        {
            skipWhitespace();
            if (m_rest.empty() || m_rest.front() != expected)
                return false;
            m_rest.remove_prefix(1);
            return true;
        }

        bool isAtEnd()
        {
            skipWhitespace();
            return m_rest.empty();
        }

        /// Reads a string with its quotes, or another value.
        std::string_view takeValue()
        {
            skipWhitespace();
            if (m_rest.empty())
                return {};
            const char first = m_rest.front();
            if (first == '"')
                return take(stringLength(m_rest));
            if (first == '{' || first == '[')
                return take(containerLength());
            return take(std::min(m_rest.find_first_of(endsOfScalar), m_rest.size()));
        }

    private:
        void skipWhitespace() { m_rest.remove_prefix(std::min(m_rest.find_first_not_of(whitespace), m_rest.size())); }

        std::string_view take(std::size_t n)
        {
            const auto out = m_rest.substr(0, n);
            m_rest.remove_prefix(n);
            return out;
        }

        /// Length of the string at the beginning of a text, with its quotes; 0 if it does not end.
        static std::size_t stringLength(std::string_view text)
        {
            for (std::size_t i = 1; i < text.size(); ++i) {
                if (text[i] == '\\')
                    ++i;
                else if (text[i] == '"')
                    return i + 1;
            }
            return 0;
        }

        [[nodiscard]] std::size_t containerLength() const
        {
            std::size_t depth = 0;
            for (std::size_t i = 0; i < m_rest.size(); ++i) {
                const char it = m_rest[i];
                if (it == '"') {
                    const auto n = stringLength(m_rest.substr(i));
                    if (n == 0)
                        return 0;
                    i += n - 1;
                } else if (it == '{' || it == '[') {
                    ++depth;
                } else if ((it == '}' || it == ']') && --depth == 0) {
                    return i + 1;
                }
            }
            return 0;
        }

        std::string_view m_rest;
    };

    /// Splits the parts between two brackets. \p takePart reads one part and returns whether it could.
    template <typename TakePart> bool splitParts(std::string_view text, char open, char close, TakePart takePart)
    {
        Scanner scanner(text);
        if (!scanner.skip(open))
            return false;
        if (scanner.skip(close))
            return scanner.isAtEnd();
        do {
            if (!takePart(scanner))
                return false;
        } while (scanner.skip(','));
        return scanner.skip(close) && scanner.isAtEnd();
    }

} // namespace

std::optional<std::vector<JsonMember>> splitJsonObject(std::string_view text)
{
    std::vector<JsonMember> out;
    const bool isObject = splitParts(text, '{', '}', [&](Scanner& scanner) {
        const auto name = scanner.takeValue();
        if (name.size() < 2 || name.front() != '"' || !scanner.skip(':'))
            return false;
        const auto value = scanner.takeValue();
        out.emplace_back(name.substr(1, name.size() - 2), value);
        return !value.empty();
    });
    return isObject ? std::optional(std::move(out)) : std::nullopt;
}

std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text)
{
    std::vector<std::string_view> out;
    const bool isArray = splitParts(text, '[', ']', [&](Scanner& scanner) {
        out.push_back(scanner.takeValue());
        return !out.back().empty();
    });
    return isArray ? std::optional(std::move(out)) : std::nullopt;
}

std::string_view findJsonMember(const std::vector<JsonMember>& members, std::string_view name) noexcept
{
    const auto it = std::ranges::find(members, name, &JsonMember::first);
    return it == members.end() ? std::string_view() : it->second;
}

bool isNestedTooDeep(std::string_view text) noexcept
{
    std::size_t depth = 0;
    bool isInString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char it = text[i];
        if (isInString) {
            if (it == '\\')
                ++i;
            else if (it == '"')
                isInString = false;
        } else if (it == '"') {
            isInString = true;
        } else if (it == '{' || it == '[') {
            if (++depth > maxJsonDepth)
                return true;
        } else if ((it == '}' || it == ']') && depth > 0) {
            --depth;
        }
    }
    return false;
}

} // namespace arbutuscrank::node
