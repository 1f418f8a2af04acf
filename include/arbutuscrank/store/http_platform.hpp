#pragma once

#include <arbutuscrank/store/store.hpp>

#include <memory>
#include <string>

/// \file
/// \brief \ref Platform over HTTP.

namespace arbutuscrank {

/// \brief Settings of \ref makeHttpPlatform.
struct HttpPlatformSettings {
    std::string address; ///< of the platform's object API, "ip:port"
    std::chrono::milliseconds timeout { 2000 }; ///< longest wait for the answer to a call; a watch waits longer
};

/// \brief Creates a client of the platform's HTTP interface:
/// GET /objects/KEY, PUT /objects/KEY with If-Match or If-None-Match, GET /objects/KEY?watch=V&timeoutMs=N, GET /vms.
[[nodiscard]] std::unique_ptr<Platform> makeHttpPlatform(HttpPlatformSettings settings);

} // namespace arbutuscrank
