#pragma once

#include <arbutuscrank/config/document.hpp>
#include <arbutuscrank/core/messages.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Ledgers: the share of each holder in each quota, the planning of shares, and the stored form.

namespace arbutuscrank::ledger {

// --- Shards ----------------------------------------------------------------------------------------------------------

/// Number of store objects over which the quotas are sharded.
inline constexpr std::uint32_t shardCount = 16;

/// \brief Shard of a quota, 0 to \ref shardCount - 1.
[[nodiscard]] std::uint32_t shardOf(std::string_view quota) noexcept;

/// \brief Store key of a shard's ledger.
[[nodiscard]] std::string objectKey(std::uint32_t shard);

/// \brief Shard of a store key.
/// \returns nullopt if the key does not name a ledger
[[nodiscard]] std::optional<std::uint32_t> shardOfObject(std::string_view key);

// --- Grants ----------------------------------------------------------------------------------------------------------

/// Maximum number of holders of one quota.
inline constexpr std::size_t maxHolders = 8;
/// Maximum number of holders of one quota in one region.
inline constexpr std::size_t maxHoldersPerRegion = 2;
/// Burst share, in micro-tokens, that a holder should have at least. With less than one token its bucket could never
/// admit a request. With exactly one it would stop refilling as soon as it can admit a request. If a quota has a burst
/// of 5 and receives 80% of its rate, the refused fraction of the requests inside the rate is 10.8% with 1 token per
/// holder (5 holders), 4.7% with 1.5 tokens (3 holders) and 7.4% with 2 tokens (2 holders); see bench/quota_bench.cpp.
inline constexpr MicroTokens minBurstShare = 3 * oneToken / 2;
/// Burst of a planned shift, in seconds of its cap; the burst is at least one token. It is small so that the shift
/// stays close to its cap even over short times.
inline constexpr double shiftBurstSeconds = 0.1;

/// \brief Limits that the configuration grants to one quota.
struct Grant {
    MicroTokens rate = 0; ///< micro-tokens per second
    MicroTokens burst = 0;
    std::vector<std::string> regions; ///< regions in which holders may be

    friend bool operator==(const Grant&, const Grant&) = default;
};

/// Grants by quota key.
using Grants = std::map<std::string, Grant, std::less<>>;

/// \brief Grants of all quotas in a document. Withdrawn accounts have none.
[[nodiscard]] Grants grantsOf(const Document& document);

// --- Planning --------------------------------------------------------------------------------------------------------

/// \brief A daemon that may hold shares.
struct Candidate {
    ProcessId process;
    std::string region;
    std::string failureDomain;
};

/// \brief Chooses the holders of a quota: up to \ref maxHoldersPerRegion in each region, in different failure domains
/// if possible, by rendezvous hashing. The number is limited so that the burst share of each holder is at least
/// \ref minBurstShare. If the whole burst is smaller than that, at most one holder is chosen.
[[nodiscard]] std::vector<ProcessId> chooseHolders(
    std::string_view quota, const Grant& grant, const std::vector<Candidate>& candidates);

/// \brief Status of a process that a ledger names as a holder.
enum class HolderStatus {
    Usable, ///< may keep or receive a share
    Unknown, ///< no member record of this incarnation and no evidence that it is gone; its share stays unchanged
    Leaving, ///< its share is withdrawn
    /// Membership proves that it no longer runs, or any source (a heartbeat, also of another member, or a ledger) names
    /// a later incarnation of its VM; and every loan that it granted has expired.
    Gone,
};

/// \brief Inputs of \ref plan.
struct PlanInput {
    const Grants* grants = nullptr;
    std::vector<Candidate> candidates; ///< all usable daemons
    std::function<HolderStatus(const ProcessId&)> status;
    /// Whether the process has confirmed exactly the version of the ledger from which the plan starts. A confirmation
    /// of an older version proves nothing, because a version between the two may have raised the share again.
    std::function<bool(const ProcessId&)> isConfirmed;
};

/// \brief Computes the next content of a ledger. It records confirmed decreases, hands out the freed tokens, and moves
/// the assigned shares towards an equal split among the chosen holders.
///
/// The sum of the recorded shares is never raised above the grant. The version stays that of \p base.
[[nodiscard]] Ledger plan(const Ledger& base, const PlanInput& input);

/// \brief Whether two ledgers have the same quotas and holder entries, regardless of their versions.
[[nodiscard]] bool haveSameContent(const Ledger& a, const Ledger& b);

/// \brief Whether every quota has the same holder processes in both ledgers.
[[nodiscard]] bool haveSameHolders(const Ledger& a, const Ledger& b);

// --- Codec -----------------------------------------------------------------------------------------------------------

/// \brief Content of a ledger object in the store.
struct Stored {
    Ledger ledger;
    /// Version of the configuration from which the grants come. A daemon whose configuration is older does not plan the
    /// ledger.
    ManifestVersion manifestVersion = 0;
};

/// \brief Writes a ledger as JSON, without its object version.
[[nodiscard]] std::string toJson(const Stored& stored);

/// \brief Reads a ledger from JSON.
/// \returns nullopt if the text is not a valid ledger
[[nodiscard]] std::optional<Stored> fromJson(std::string_view json, std::uint32_t shard, ObjectVersion version);

} // namespace arbutuscrank::ledger
