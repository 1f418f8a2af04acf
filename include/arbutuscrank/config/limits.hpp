#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

/// \file
/// \brief Limits of a configuration document. Validation reports a value that exceeds one as an \ref
/// arbutuscrank::Fault.

namespace arbutuscrank::limits {

/// \brief Allowed range of a number, both ends included.
struct Range {
    double minimum;
    double maximum;
    std::string_view unit;
};

// --- Text ------------------------------------------------------------------------------------------------------------

/// Maximum size of a document in JSON.
inline constexpr std::size_t maxDocumentBytes = 64UL * 1024 * 1024;
/// Maximum nesting of objects and arrays. A valid document needs 6 levels.
inline constexpr std::size_t maxNestingDepth = 16;
/// Maximum number of JSON values in one text. Limits the parsed tree to about 1 GB of memory.
inline constexpr std::size_t maxJsonValues = 6'000'000;
/// Maximum number of faults listed for one document. One further entry gives the number of faults left out.
inline constexpr std::size_t maxListedFaults = 10'000;
/// Maximum length of \ref Fault::found, in Unicode characters.
inline constexpr std::size_t maxFoundCharacters = 80;
inline constexpr std::size_t maxNameBytes = 64;
inline constexpr std::size_t maxPathPrefixBytes = 256;
/// Length of a SHA-256 digest in hexadecimal notation.
inline constexpr std::size_t digestHexDigits = 64;

// --- Numbers of elements ---------------------------------------------------------------------------------------------

inline constexpr std::size_t maxRegions = 100;
inline constexpr std::size_t maxFailureDomainsPerRegion = 32;
inline constexpr std::size_t maxLinks = maxRegions * (maxRegions - 1) / 2;
inline constexpr std::size_t maxServices = 1'000;
inline constexpr std::size_t maxTargetsPerService = 5'000;
inline constexpr std::size_t maxOpenPathPrefixes = 100;
inline constexpr std::size_t maxAccounts = 100'000;
inline constexpr std::size_t maxKeysPerAccount = 32;
inline constexpr std::size_t maxShifts = 1'000;
inline constexpr std::size_t maxDrains = 10'000;
inline constexpr std::size_t maxSites = 1'000;
/// The look-up table stores the index of a group in 2 bytes.
inline constexpr std::size_t maxClientGroups = 65'535;
/// The planned scale is 4.4 million blocks.
inline constexpr std::size_t maxClientBlocks = 5'000'000;

// --- Numbers with units ----------------------------------------------------------------------------------------------

inline constexpr Range schema { 1, 1, "(schema version)" };
inline constexpr Range rate { 0, 1'000'000, "requests/s" };
inline constexpr Range burst { 0, 10'000'000, "requests" };
inline constexpr Range slotsPerTarget { 1, 10'000, "slots" };
inline constexpr Range connectionsPerTarget { 1, 100'000, "connections" };
inline constexpr Range probeInterval { 100, 600'000, "ms" };
/// The maximum is the longest deadline of a request. The hold time of target ownership is derived from it.
inline constexpr Range timeout { 1, 30'000, "ms" };
inline constexpr Range queueLength { 0, 100'000, "requests" };
inline constexpr Range retryBudget { 0, 100, "percent" };
inline constexpr Range answerBytes { 0, 1'000'000'000'000, "bytes" };
inline constexpr Range linkCapacity { 0, 10'000'000, "Mbit/s" };
inline constexpr Range percent { 0, 100, "percent" };
/// With a step of 0, a shift would never reach its final share.
inline constexpr Range stepPercent { 0.01, 100, "percent" };
inline constexpr Range stepSeconds { 0.1, 86'400, "s" };
/// Clients may keep using a cached look-up result for this long after the entry that it names has failed.
inline constexpr Range lookupTtl { 1, 300, "s" };

} // namespace arbutuscrank::limits
