#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

/// \file
/// \brief Identifiers, time and units shared by every topic of the decision core.

namespace arbutuscrank {

// --- Time ------------------------------------------------------------------------------------------------------------

/// \brief Monotonic clock of one process. The core never reads it: every event comes with its time.
struct LogicalClock {
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<LogicalClock>;
    static constexpr bool is_steady = true;
};

/// Length of time in microseconds.
using Duration = LogicalClock::duration;
/// Point on the monotonic clock of this process.
using TimePoint = LogicalClock::time_point;

// --- Identifiers -----------------------------------------------------------------------------------------------------

/// \brief Name of a VM from its settings. It does not change when the process restarts.
using VmId = std::string;

/// \brief One run of the daemon process on a VM: start time in milliseconds in the high 42 bits, 22 random bits below.
/// A later start on the same VM has a higher number. 0 means unknown.
using Incarnation = std::uint64_t;

/// \brief Number of a caller's request (or of a request forwarded by a peer), unique within one process.
using RequestId = std::uint64_t;

/// \brief Number that matches a store call with its answer, unique within one process.
using StoreToken = std::uint64_t;

/// \brief Version of the configuration manifest, which only increases. 0 means that none was applied yet.
using ManifestVersion = std::uint64_t;

/// \brief Version that the platform's store assigns to an object. 0 means that the object does not exist.
using ObjectVersion = std::uint64_t;

/// \brief Rises each time the platform's store comes back from an older copy of its data. Revisions of different eras
/// cannot be compared. 0 means that the era is not known.
using StoreEra = std::uint64_t;

/// \brief One incarnation of the daemon on one VM.
struct ProcessId {
    VmId vm;
    Incarnation incarnation = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14 in the generated comparison
    friend auto operator<=>(const ProcessId&, const ProcessId&) = default;
};

/// \brief Identity and location of this daemon, from its settings.
struct Self {
    ProcessId process;
    std::string region;
    std::string failureDomain;
    std::string callerAddress; ///< "ip:port" on which callers connect
    std::string peerAddress; ///< "ip:port" on which other daemons connect
};

// --- Units -----------------------------------------------------------------------------------------------------------

/// \brief Quota tokens in millionths, so that small shares are not rounded to zero.
using MicroTokens = std::int64_t;

/// One token, which admits one request (or one byte for link quotas).
inline constexpr MicroTokens oneToken = 1'000'000;

} // namespace arbutuscrank
