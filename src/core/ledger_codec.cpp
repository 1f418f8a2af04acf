#include <arbutuscrank/core/ledger.hpp>

#include <nlohmann/json.hpp>

#include <charconv>

namespace arbutuscrank::ledger {

namespace {

    constexpr std::string_view keyPrefix = "ledger/";

} // namespace

std::string objectKey(std::uint32_t shard) { return std::string(keyPrefix) + std::to_string(shard); }

std::optional<std::uint32_t> shardOfObject(std::string_view key)
{
    if (!key.starts_with(keyPrefix))
        return std::nullopt;
    key.remove_prefix(keyPrefix.size());
    std::uint32_t shard = 0;
    const auto [end, ec] = std::from_chars(key.data(), key.data() + key.size(), shard);
    if (ec != std::errc {} || end != key.data() + key.size() || shard >= shardCount)
        return std::nullopt;
    return shard;
}

std::string toJson(const Stored& stored)
{
    auto quotas = nlohmann::json::object();
    for (const auto& [key, entry] : stored.ledger.quotas) {
        auto holders = nlohmann::json::array();
        for (const auto& it : entry.holders) {
            holders.push_back({ { "vm", it.process.vm }, { "incarnation", it.process.incarnation },
                { "recorded", { it.recordedRate, it.recordedBurst } },
                { "wanted", { it.assignedRate, it.assignedBurst } } });
        }
        quotas[key] = { { "grant", { entry.grantRate, entry.grantBurst } }, { "holders", std::move(holders) } };
    }
    return nlohmann::json { { "manifestVersion", stored.manifestVersion }, { "quotas", std::move(quotas) } }.dump();
}

std::optional<Stored> fromJson(std::string_view json, std::uint32_t shard, ObjectVersion version)
{
    try {
        const auto root = nlohmann::json::parse(json);
        Stored stored;
        stored.ledger.shard = shard;
        stored.ledger.version = version;
        stored.manifestVersion = root.at("manifestVersion").get<ManifestVersion>();
        for (const auto& [key, value] : root.at("quotas").items()) {
            auto& entry = stored.ledger.quotas[key];
            entry.grantRate = value.at("grant").at(0).get<MicroTokens>();
            entry.grantBurst = value.at("grant").at(1).get<MicroTokens>();
            for (const auto& it : value.at("holders")) {
                entry.holders.push_back({ { it.at("vm").get<std::string>(), it.at("incarnation").get<Incarnation>() },
                    it.at("recorded").at(0).get<MicroTokens>(), it.at("recorded").at(1).get<MicroTokens>(),
                    it.at("wanted").at(0).get<MicroTokens>(), it.at("wanted").at(1).get<MicroTokens>() });
            }
        }
        return stored;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

} // namespace arbutuscrank::ledger
