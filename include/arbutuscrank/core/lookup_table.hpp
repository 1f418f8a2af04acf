#pragma once

#include <arbutuscrank/config/document.hpp>

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Immutable table from which a look-up selects the entries for a client.

namespace arbutuscrank {

/// \brief An entry that callers may use.
struct LookupEntry {
    std::string address; ///< "ip:port"
    std::string region;
    std::string vm = {}; ///< hashed to spread clients over entries; the address is hashed instead if empty

    friend bool operator==(const LookupEntry&, const LookupEntry&) = default;
};

// --- Client blocks and site ranks ------------------------------------------------------------------------------------

/// \brief Client blocks and the ranked sites of each client group. This is the large part of a table; successive tables
/// share it until the steering section of the document changes.
///
/// Uses 6 bytes for each block and for each gap between blocks, 256 KiB for the index, and 2 bytes for each ranked
/// site.
class ClientMap {
public:
    /// Group of clients outside all blocks.
    static constexpr std::uint16_t noGroup = 0xffff;

    /// \brief Converts the steering section of the document. Skips blocks that are malformed, overlap a block of a
    /// lower address or name an unknown group; validation has already rejected documents with such blocks.
    explicit ClientMap(const Steering& steering);

    /// \brief Group of a client. \param client IPv4 address in host byte order
    [[nodiscard]] std::uint16_t groupOf(std::uint32_t client) const noexcept;

    /// \brief Site numbers (positions in the document) of a group, best first; empty for \ref noGroup.
    [[nodiscard]] std::span<const std::uint16_t> rankedSites(std::uint16_t group) const noexcept;

    /// \brief Memory use in bytes.
    [[nodiscard]] std::size_t memoryBytes() const noexcept;

    /// \brief 64-bit hash of the parts of a document from which a map is built. Callers treat parts with equal
    /// fingerprints as equal; a collision is improbable.
    [[nodiscard]] static std::uint64_t fingerprint(const Steering& steering);

private:
    std::vector<std::uint32_t> m_starts; ///< first address of each range (block or gap), sorted; starts with 0
    std::vector<std::uint16_t> m_groups; ///< group of each range
    std::vector<std::uint32_t> m_index; ///< by the upper 16 bits of an address: range of the lowest such address
    std::vector<std::uint32_t> m_rankOffsets; ///< by group: offset in \ref m_ranks
    std::vector<std::uint16_t> m_ranks; ///< ranked site numbers of all groups
};

// --- Holders of account quotas ---------------------------------------------------------------------------------------

/// \brief VMs that hold shares of each account's quota, stored as hashes of their names.
class HolderIndex {
public:
    /// \brief Holders of one account.
    struct AccountHolders {
        std::uint64_t account = 0; ///< \ref hashOf of the name
        std::vector<std::uint64_t> vms; ///< \ref hashOf of each VM
    };

    explicit HolderIndex(std::vector<AccountHolders> accounts);

    /// \brief Hash of an account's or VM's name.
    [[nodiscard]] static std::uint64_t hashOf(std::string_view name) noexcept;
    [[nodiscard]] std::span<const std::uint64_t> find(std::string_view account) const noexcept;

private:
    std::vector<std::uint64_t> m_accounts; ///< sorted
    std::vector<std::uint32_t> m_offsets; ///< by position in \ref m_accounts: offset in \ref m_vms
    std::vector<std::uint64_t> m_vms;
};

// --- The table -------------------------------------------------------------------------------------------------------

/// \brief Look-up table. It is immutable, replaced as a whole and read without locks.
///
/// \code
/// std::array<const LookupEntry*, 3> found {};
/// const auto n = table.lookup(0x0a010203, "acme", found);
/// \endcode
class LookupTable {
public:
    /// \brief Data from which a table is built.
    struct Content {
        std::uint32_t ttlSeconds = 5;
        /// Regions in order of preference for clients without a group: the own region first, then the document's order.
        std::vector<LookupEntry> entries;
        std::shared_ptr<const ClientMap> clients = {}; ///< if null, every client prefers the first entry's region
        std::vector<std::string> siteRegions = {}; ///< by site number; empty for a drained site
        std::shared_ptr<const HolderIndex> holders = {}; ///< may be null
    };

    explicit LookupTable(Content content);

    /// \brief Lifetime of an answer, in seconds.
    [[nodiscard]] std::uint32_t ttlSeconds() const noexcept { return m_content.ttlSeconds; }

    /// \brief Content as given, entries grouped by region.
    [[nodiscard]] const Content& content() const noexcept { return m_content; }

    /// \brief Entries for a caller, best first. Allocates only the result.
    /// \param client IPv4 address in host byte order; 0 if unknown
    /// \param account holders of its quota come first within a region; empty if unknown
    /// \param limit maximum number of entries to return; at most 16 of each region are returned
    [[nodiscard]] std::vector<const LookupEntry*> lookup(
        std::uint32_t client, std::string_view account, std::size_t limit) const;

    /// \brief Entries for a caller, best first, without any allocation.
    /// \param found receives the entries, from its beginning, at most 16 of each region
    /// \returns number of entries found
    [[nodiscard]] std::size_t lookup(
        std::uint32_t client, std::string_view account, std::span<const LookupEntry*> found) const noexcept;

private:
    /// Half-open range [begin, end) of one region in the entries.
    struct RegionRange {
        std::uint32_t begin = 0;
        std::uint32_t end = 0;
    };
    /// Marks a site that is drained or whose region has no entry.
    static constexpr std::uint16_t noRegion = 0xffff;

    [[nodiscard]] std::size_t fillFromRegion(const RegionRange& region, std::uint64_t seed,
        std::span<const std::uint64_t> holders, std::span<const LookupEntry*> found) const noexcept;

    Content m_content;
    std::vector<std::uint64_t>
        m_entryHashes; ///< \ref HolderIndex::hashOf of each entry's VM, or of its address if the VM is empty
    std::vector<RegionRange> m_regions; ///< in the order in which regions first appear in the entries
    std::vector<std::uint16_t> m_siteRegions; ///< by site number: index into the regions, or \ref noRegion
};

} // namespace arbutuscrank
