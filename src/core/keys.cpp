#include <arbutuscrank/config/codec.hpp>
#include <arbutuscrank/core/state.hpp>

#include <openssl/crypto.h>

namespace arbutuscrank::keys {

std::optional<Identity> authenticate(const State& state, std::string_view presented)
{
    const auto dot = presented.find('.');
    if (presented.size() > maxKeyBytes || dot == std::string_view::npos || dot == 0)
        return std::nullopt;
    const auto it = state.keys.keys.find(presented.substr(0, dot));
    if (it == state.keys.keys.end())
        return std::nullopt;
    const std::string digest = sha256Hex(presented);
    if (digest.size() != it->second.digest.size()
        || CRYPTO_memcmp(digest.data(), it->second.digest.data(), digest.size()) != 0)
        return std::nullopt;
    return Identity { it->second.account, it->first };
}

void onConfigurationApplied(State& state, const ConfigurationApplied& /*event*/, Context& context)
{
    const auto* active = configuration::active(state);
    std::map<std::string, ActiveKey, std::less<>> keys;
    for (const auto& account : active->document().accounts) {
        if (account.withdrawn)
            continue;
        for (const auto& key : account.keys) {
            if (!key.withdrawn)
                keys.emplace(key.id, ActiveKey { key.digest, account.name });
        }
    }
    for (const auto& [id, key] : state.keys.keys) {
        const auto it = keys.find(id);
        if (it != keys.end() && it->second.digest == key.digest && it->second.account == key.account)
            continue;
        context.effect(CloseConnections { key.account, id });
        context.log(LogEvent::KeyWithdrawn, "account=" + key.account + " key=" + id);
    }
    state.keys.keys = std::move(keys);
}

} // namespace arbutuscrank::keys
