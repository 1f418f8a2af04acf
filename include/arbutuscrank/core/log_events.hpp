#pragma once

#include <cstdint>
#include <string_view>

/// \file
/// \brief Numbers of the log events. docs/log-events.md describes each of them.

namespace arbutuscrank {

/// \brief Numbered log events. Numbers are never reused.
enum class LogEvent : std::uint16_t {
    // 1xx: process
    ProcessStarted = 100,
    StopStarted = 101,
    StopCompleted = 102,
    StopForced = 103,
    SettingsRefused = 104,
    SettingsReloaded = 105,
    LogLinesDropped = 106,
    EventLoopDelayed = 107,
    DescriptorsLimited = 108,
    // 2xx: configuration
    ConfigurationApplied = 200,
    ConfigurationRefused = 201,
    ConfigurationStale = 202,
    ConfigurationFresh = 203,
    PartMissing = 204,
    ManifestWritten = 205,
    ManifestConflict = 206,
    // 3xx: membership
    MemberJoined = 300,
    MemberSuspected = 301,
    MemberTrusted = 302,
    MemberLeaving = 303,
    MemberGone = 304,
    VmListFailed = 305,
    PeerConnectionLost = 306,
    CoordinatorChanged = 307,
    // 4xx: quotas
    LedgerApplied = 400,
    LedgerWritten = 401,
    LedgerConflict = 402,
    LedgerUnreadable = 403,
    LoanRefused = 404,
    // 5xx: routing
    TargetOwned = 500,
    TargetReleased = 501,
    TargetUnhealthy = 502,
    TargetHealthy = 503,
    TargetDraining = 504,
    TargetDrained = 505,
    EvacuationApplied = 506,
    TargetCold = 507,
    ColdnessUnknown = 508,
    TargetLimited = 509,
    TargetPaused = 510,
    EvacuationRecordsRead = 511,
    RoomShared = 512,
    // 6xx: requests
    RequestRefused = 600,
    RequestOutcomeUnknown = 601,
    AnswerCutShort = 602,
    RequestCancelled = 603,
    AttemptSent = 604,
    AttemptAnswered = 605,
    AttemptFailed = 606,
    AnswerValueRefused = 607,
    CallerConnectionDropped = 608,
    CallerConnectionCut = 609,
    CallersNotAccepted = 610,
    CallerMemoryFull = 611,
    CallersCrowded = 612,
    // 7xx: steering
    PlanApplied = 700,
    ShiftStepped = 701,
    LookupPublished = 702,
    // 8xx: accounts
    AccountWithdrawn = 800,
    KeyWithdrawn = 801,
    ProofCollected = 802,
    // 9xx: platform and peers
    StoreFailed = 900,
    StoreRecovered = 901,
    PeerProtocolError = 902,
    StoreEntryRefused = 903,
    StoreCallFailed = 904,
    StoreSourceChanged = 905,
    StoreWatchRepeated = 906,
    StoreEraRisen = 907,
    StoreListCut = 908,
};

/// \brief Name of a log event, as in docs/log-events.md.
[[nodiscard]] std::string_view toString(LogEvent event) noexcept;

} // namespace arbutuscrank
