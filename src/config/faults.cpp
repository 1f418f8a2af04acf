#include "config/faults.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>

namespace arbutuscrank::config {

namespace {

    // Long enough for any finite double in fixed notation (309 digits before the point).
    constexpr std::size_t numberBufferSize = 512;

} // namespace

std::string Path::text() const
{
    if (m_parent == nullptr)
        return {};
    auto text = m_parent->text();
    text += '/';
    text += m_isElement ? std::to_string(m_index) : escapePointer(m_name);
    return text;
}

std::string escapePointer(std::string_view token)
{
    std::string text;
    for (const char it : token) {
        if (it == '~')
            text += "~0";
        else if (it == '/')
            text += "~1";
        else
            text += it;
    }
    return text;
}

std::string cutText(std::string_view text)
{
    std::size_t characters = 0;
    for (std::size_t n = 0; n < text.size(); ++n) {
        const bool startsCharacter = (static_cast<unsigned char>(text[n]) & 0xc0U) != 0x80U;
        if (startsCharacter && ++characters > limits::maxFoundCharacters)
            return std::string(text.substr(0, n));
    }
    return std::string(text);
}

std::string quote(std::string_view text)
{
    // Four bytes are the longest UTF-8 character, so the rest can never be shown.
    const nlohmann::json value = std::string(text.substr(0, limits::maxFoundCharacters * 4));
    return cutText(value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

std::string formatNumber(double value)
{
    std::array<char, numberBufferSize> buf {};
    const auto end = std::to_chars(buf.data(), buf.data() + buf.size(), value, std::chars_format::fixed).ptr;
    return { buf.data(), end };
}

std::string describe(const limits::Range& range)
{
    return formatNumber(range.low) + " to " + formatNumber(range.high) + ' ' + std::string(range.unit);
}

void FaultList::add(std::string path, std::string limit, std::string_view found)
{
    if (m_faults.size() == limits::maxListedFaults) {
        ++m_unlisted;
        return;
    }
    m_faults.push_back({ std::move(path), std::move(limit), cutText(found) });
}

std::vector<Fault> FaultList::take()
{
    if (m_unlisted > 0) {
        m_faults.push_back({ "", "at most " + std::to_string(limits::maxListedFaults) + " faults are listed",
            std::to_string(m_unlisted) + " more" });
    }
    return std::move(m_faults);
}

} // namespace arbutuscrank::config
