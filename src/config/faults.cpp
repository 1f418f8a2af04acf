#include "config/faults.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>

namespace arbutuscrank::config {

namespace {

    // Sufficient for any finite double in fixed notation, which has up to 309 digits before the decimal point.
    constexpr std::size_t numberBufferBytes = 512;

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

std::string truncateText(std::string_view text)
{
    std::size_t characterCount = 0;
    for (std::size_t n = 0; n < text.size(); ++n) {
        const bool isFirstByte = (static_cast<unsigned char>(text[n]) & 0xc0U) != 0x80U;
        if (isFirstByte && ++characterCount > limits::maxFoundCharacters)
            return std::string(text.substr(0, n));
    }
    return std::string(text);
}

std::string quote(std::string_view text)
{
    // A UTF-8 character has at most 4 bytes, so this cut removes only text that truncateText() would remove.
    const nlohmann::json value = std::string(text.substr(0, limits::maxFoundCharacters * 4));
    return truncateText(value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

std::string formatNumber(double value)
{
    std::array<char, numberBufferBytes> buf {};
    const auto end = std::to_chars(buf.data(), buf.data() + buf.size(), value, std::chars_format::fixed).ptr;
    return { buf.data(), end };
}

std::string describe(const limits::Range& range)
{
    return formatNumber(range.minimum) + " to " + formatNumber(range.maximum) + ' ' + std::string(range.unit);
}

void FaultList::add(std::string path, std::string limit, std::string_view found)
{
    if (m_faults.size() == limits::maxListedFaults) {
        ++m_omittedCount;
        return;
    }
    m_faults.push_back({ std::move(path), std::move(limit), truncateText(found) });
}

std::vector<Fault> FaultList::take()
{
    if (m_omittedCount > 0) {
        m_faults.push_back({ "", "at most " + std::to_string(limits::maxListedFaults) + " listed faults",
            std::to_string(m_omittedCount) + " more faults" });
    }
    return std::move(m_faults);
}

} // namespace arbutuscrank::config
