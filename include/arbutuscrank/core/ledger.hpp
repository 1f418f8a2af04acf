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
/// \brief Ledgers: which holder has which share of each quota, how shares move, and how the store keeps them.

namespace arbutuscrank::ledger {

// --- Shards ----------------------------------------------------------------------------------------------------------

/// Objects over which the quotas are spread.
inline constexpr std::uint32_t shardCount = 16;

/// \brief Shard of a quota, 0 to \ref shardCount - 1.
[[nodiscard]] std::uint32_t shardOf(std::string_view quota) noexcept;

/// \brief Store key of a shard's ledger.
[[nodiscard]] std::string objectKey(std::uint32_t shard);

/// \brief Shard of a store key. \returns nullopt if the key is not that of a ledger
[[nodiscard]] std::optional<std::uint32_t> shardOfObject(std::string_view key);

// --- Grants ----------------------------------------------------------------------------------------------------------

/// Most holders of one quota.
inline constexpr std::size_t maxHolders = 8;
/// Most holders of one quota in one region.
inline constexpr std::size_t maxHoldersPerRegion = 2;
/// Smallest burst share. Below one token a holder could never admit a request from its own bucket; at exactly one token
/// it earns nothing while it holds a token. With a burst of 5 at 80% of the rate, 1 token (5 holders) refused 10.8% of
/// the requests inside the rate, 1.5 tokens (3 holders) 4.7%, and 2 tokens (2 holders) 7.4% (bench/quota_bench.cpp).
inline constexpr MicroTokens minBurstShare = 3 * oneToken / 2;
/// Burst of a shift's cap as a length of time at that cap: short, because the cap is meant to hold at every moment.
inline constexpr double shiftBurstSeconds = 0.1;

/// \brief What the configuration grants under one quota key.
struct Grant {
    MicroTokens rate = 0; ///< micro-tokens per second
    MicroTokens burst = 0;
    std::vector<std::string> regions; ///< where holders may be

    friend bool operator==(const Grant&, const Grant&) = default;
};

/// Grants by quota key.
using Grants = std::map<std::string, Grant, std::less<>>;

/// \brief All quotas of a document. Withdrawn accounts have none.
[[nodiscard]] Grants grantsOf(const Document& document);

// --- Planning --------------------------------------------------------------------------------------------------------

/// \brief A daemon that may hold shares.
struct Candidate {
    ProcessId process;
    std::string region;
    std::string failureDomain;
};

/// \brief Holders of a quota: up to two for each region, in different failure domains if possible, in rendezvous order.
/// Fewer if a burst share would fall below \ref minBurstShare.
[[nodiscard]] std::vector<ProcessId> chooseHolders(
    std::string_view quota, const Grant& grant, const std::vector<Candidate>& candidates);

/// \brief What the planner of a ledger knows of a process that the ledger names.
enum class HolderStatus {
    Usable, ///< may keep or get a share
    Unknown, ///< neither heard of nor known as gone; its line stays as it is
    Leaving, ///< its share is to be taken back
    Gone, ///< positive evidence, and every loan it granted has expired
};

/// \brief What a plan is based on.
struct PlanInput {
    const Grants* grants = nullptr;
    std::vector<Candidate> candidates; ///< all usable daemons
    std::function<HolderStatus(const ProcessId&)> status;
    /// Whether the process confirmed exactly the version of the ledger that the plan starts from. A confirmation of an
    /// older version proves nothing: a version between the two may have raised the share again.
    std::function<bool(const ProcessId&)> confirmed;
};

/// \brief Next contents of a ledger: confirmed decreases are recorded, freed parts are given out, and wanted shares
/// move towards an equal split among the chosen holders.
///
/// The sum of the recorded shares never grows above the grant. The version is that of \p base.
[[nodiscard]] Ledger plan(const Ledger& base, const PlanInput& input);

/// \brief Whether two ledgers have the same quotas and lines; versions are not compared.
[[nodiscard]] bool sameContent(const Ledger& a, const Ledger& b);

/// \brief Whether every quota has the same holder processes in both ledgers.
[[nodiscard]] bool sameHolders(const Ledger& a, const Ledger& b);

// --- Codec -----------------------------------------------------------------------------------------------------------

/// \brief A ledger as the store keeps it.
struct Stored {
    Ledger ledger;
    /// Version of the configuration that the grants come from. A daemon with an older one leaves the ledger alone.
    ManifestVersion manifestVersion = 0;
};

/// \brief Ledger as JSON, without its object version.
[[nodiscard]] std::string toJson(const Stored& stored);

/// \brief Reads a ledger. \returns nullopt if the text is not one
[[nodiscard]] std::optional<Stored> fromJson(std::string_view json, std::uint32_t shard, ObjectVersion version);

} // namespace arbutuscrank::ledger
