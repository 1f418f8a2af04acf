#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Immutable table that answers "which entry do I use".

namespace arbutuscrank {

/// \brief An entry that callers may use.
struct LookupEntry {
    std::string address; ///< "ip:port"
    std::string region;
};

/// \brief Immutable; published as a whole and read without locks.
class LookupTable {
public:
    /// \brief Data of a table.
    struct Content {
        std::uint32_t ttlSeconds = 5;
        std::vector<LookupEntry> entries; ///< nearest region first
    };

    explicit LookupTable(Content content);

    /// \brief Lifetime of an answer, in seconds.
    [[nodiscard]] std::uint32_t ttlSeconds() const noexcept { return m_content.ttlSeconds; }

    /// \brief Entries for a caller, best first.
    /// \param client IPv4 address in host byte order; 0 if unknown
    /// \param account steers to holders of the account's quota; empty if unknown
    /// \param limit most entries to return
    [[nodiscard]] std::vector<const LookupEntry*> lookup(
        std::uint32_t client, std::string_view account, std::size_t limit) const;

private:
    Content m_content;
};

} // namespace arbutuscrank
