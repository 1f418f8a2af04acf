#pragma once

#include <arbutuscrank/core/context.hpp>
#include <arbutuscrank/core/forward.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief Topic "keys": authenticates API keys and maps them to client accounts.

namespace arbutuscrank {

/// \brief An API key that is not withdrawn.
struct ActiveKey {
    std::string digest; ///< SHA-256 of the whole key, 64 hex digits
    std::string account;
};

/// \brief State of the topic; written only by the functions below.
struct KeysState {
    std::map<std::string, ActiveKey, std::less<>>
        keys; ///< by key id, without withdrawn keys and keys of withdrawn accounts
};

namespace keys {

    /// Length of the longest API key. Longer ones are refused without a lookup.
    inline constexpr std::size_t maxKeyBytes = 256;

    /// \brief Account and key of an authenticated caller.
    struct Identity {
        std::string account;
        std::string keyId;
    };

    /// \brief Authenticates an API key of the form "id.secret". Compares the digest in constant time.
    /// \returns nullopt if the key is malformed, unknown or withdrawn
    [[nodiscard]] std::optional<Identity> authenticate(const State& state, std::string_view presented);

    /// \brief Rebuilds the index of the keys and closes the connections that use keys that are no longer valid.
    void onConfigurationApplied(State& state, const ConfigurationApplied& event, Context& context);

} // namespace keys

} // namespace arbutuscrank
