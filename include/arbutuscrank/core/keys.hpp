#pragma once

#include <arbutuscrank/core/context.hpp>
#include <arbutuscrank/core/forward.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief Topic "keys": which client account a presented key belongs to.

namespace arbutuscrank {

/// \brief A key that is in force.
struct ActiveKey {
    std::string digest; ///< SHA-256 of the whole key, 64 hex digits
    std::string account;
};

/// \brief State of the topic; written only by the functions below.
struct KeysState {
    std::map<std::string, ActiveKey, std::less<>> keys; ///< by key id; withdrawn keys and accounts left out
};

namespace keys {

    /// Longest key that is looked at, in bytes.
    inline constexpr std::size_t maxKeyLength = 256;

    /// \brief A caller that showed a valid key.
    struct Identity {
        std::string account;
        std::string keyId;
    };

    /// \brief Authenticates a presented key "id.secret". The digest is compared in constant time.
    /// \returns nullopt if the key is malformed, unknown or withdrawn
    [[nodiscard]] std::optional<Identity> authenticate(const State& state, std::string_view presented);

    /// \brief Rebuilds the index, and closes the connections of keys and accounts that are no longer valid.
    void onConfigurationApplied(State& state, const ConfigurationApplied& event, Context& context);

} // namespace keys

} // namespace arbutuscrank
