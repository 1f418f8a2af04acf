#pragma once

#include <arbutuscrank/core/error.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

/// \file
/// \brief Settings of the daemon, from flags and environment variables (docs/OPERATIONS.md).

namespace arbutuscrank {

/// \brief Valid settings of the daemon.
struct Settings {
    std::string vm; ///< name of this VM
    std::string region;
    std::string failureDomain;
    std::string listen; ///< address for callers, "ip:port"
    std::string adminListen; ///< address for operators, "ip:port"
    std::string peerListen; ///< address for other daemons, "ip:port"
    std::string platform; ///< address of the platform's object API, "ip:port"
    std::string adminKeyDigest; ///< SHA-256 of the operators' key, 64 hex digits
    std::uint32_t callerThreads = 256; ///< connections of callers served at a time
    std::uint32_t forwardThreads = 64; ///< forwarded requests served at a time
    std::uint32_t maxBodyBytes = 1U << 20U;
    std::uint32_t stopTimeoutMs = 30'000; ///< time limit of a graceful shutdown
    std::string logLevel = "info";
};

/// \brief Help text that the command line requests instead of a run.
struct HelpText {
    std::string text;
};

/// \brief Reads each setting from its flag, else from its environment variable, else takes its default.
/// \param arguments without the program's name
/// \returns the settings or the help text; InvalidArgument if values are not valid, with each flag, its expected values
/// and its value in the detail
[[nodiscard]] Result<std::variant<Settings, HelpText>> readSettings(std::span<const std::string> arguments);

} // namespace arbutuscrank
