#pragma once

#include <arbutuscrank/store/store.hpp>

#include <memory>
#include <string>

/// \file
/// \brief The platform over HTTP, through the CivetWeb client.

namespace arbutuscrank {

/// \brief Settings of \ref makeHttpPlatform.
struct HttpPlatformSettings {
    std::string address; ///< "ip:port"
    std::chrono::milliseconds timeout { 2000 }; ///< longest wait for an answer
};

/// \brief Connects to the platform's HTTP interface:
/// GET /objects/KEY, PUT /objects/KEY with If-Match or If-None-Match, GET /objects/KEY?watch=V&timeoutMs=N, GET /vms.
[[nodiscard]] std::unique_ptr<Platform> makeHttpPlatform(HttpPlatformSettings settings);

} // namespace arbutuscrank
