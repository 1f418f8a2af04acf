#pragma once

#include <arbutuscrank/core/error.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

/// \file
/// \brief Settings of the daemon: flags, each with an environment variable (docs/OPERATIONS.md).

namespace arbutuscrank {

/// \brief Checked settings.
struct Settings {
    std::string vm;
    std::string region;
    std::string failureDomain;
    std::string listen;
    std::string adminListen;
    std::string peerListen;
    std::string platform;
    std::string adminKeyDigest; ///< SHA-256 of the operators' key, 64 hex digits
    std::uint32_t callerThreads = 256;
    std::uint32_t forwardThreads = 64;
    std::uint32_t maxBodyBytes = 1U << 20U;
    std::uint32_t stopTimeoutMs = 30'000;
    std::string logLevel = "info";
};

/// \brief What the command line asked for instead of running.
struct HelpText {
    std::string text;
};

/// \brief Reads settings from flags, then from environment variables, then defaults.
/// \param arguments without the program's name
/// \returns InvalidArgument whose detail names every wrong flag, its range and its value
[[nodiscard]] Result<std::variant<Settings, HelpText>> readSettings(std::span<const std::string> arguments);

} // namespace arbutuscrank
