#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

/// \file
/// \brief Limits of a configuration document. A value outside them is a \ref arbutuscrank::Fault.

namespace arbutuscrank::limits {

/// \brief Allowed values of a number, both ends included.
struct Range {
    double low;
    double high;
    std::string_view unit;
};

// --- Text ------------------------------------------------------------------------------------------------------------

/// Longest document in JSON, in bytes.
inline constexpr std::size_t maxDocumentBytes = 64UL * 1024 * 1024;
/// Deepest nesting of objects and arrays. A valid document needs 6 levels.
inline constexpr std::size_t maxNesting = 16;
/// Most JSON values in one text; bounds the memory of the parsed tree to about 1 GB.
inline constexpr std::size_t maxJsonValues = 6'000'000;
/// Most faults listed for one document; one further entry says that there are more.
inline constexpr std::size_t maxListedFaults = 10'000;
/// Longest text of a value found, in characters.
inline constexpr std::size_t maxFoundCharacters = 80;
/// Longest name, in bytes.
inline constexpr std::size_t maxNameBytes = 64;
/// Longest path prefix, in bytes.
inline constexpr std::size_t maxPathPrefixBytes = 256;
/// Hex digits of a SHA-256 digest.
inline constexpr std::size_t digestDigits = 64;

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
/// The look-up table stores a group in 2 bytes.
inline constexpr std::size_t maxClientGroups = 65'535;
/// Planned scale is 4.4 million.
inline constexpr std::size_t maxClientBlocks = 5'000'000;

// --- Numbers with units ----------------------------------------------------------------------------------------------

inline constexpr Range schema { 1, 1, "(schema version)" };
inline constexpr Range rate { 0, 1'000'000, "requests/s" };
inline constexpr Range burst { 0, 10'000'000, "requests" };
inline constexpr Range slotsPerTarget { 1, 10'000, "slots" };
inline constexpr Range connectionsPerTarget { 1, 100'000, "connections" };
inline constexpr Range probeInterval { 100, 600'000, "ms" };
/// The upper end is the longest request deadline, on which the hold time of target ownership rests.
inline constexpr Range timeout { 1, 30'000, "ms" };
inline constexpr Range queueLength { 0, 100'000, "requests" };
inline constexpr Range retryBudget { 0, 100, "percent" };
inline constexpr Range answerBytes { 0, 1'000'000'000'000, "bytes" };
inline constexpr Range linkCapacity { 0, 10'000'000, "Mbit/s" };
inline constexpr Range percent { 0, 100, "percent" };
/// A step of 0 would never reach the final share.
inline constexpr Range stepPercent { 0.01, 100, "percent" };
inline constexpr Range stepSeconds { 0.1, 86'400, "s" };
/// Callers keep using an answer for this long after an entry failed.
inline constexpr Range lookupTtl { 1, 300, "s" };

} // namespace arbutuscrank::limits
