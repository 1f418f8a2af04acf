#include <arbutuscrank/core/manifest_codec.hpp>

#include <nlohmann/json.hpp>

namespace arbutuscrank {

std::string partKey(std::string_view hash) { return "config/part/" + std::string(hash); }

std::string manifestToJson(const Manifest& manifest)
{
    return nlohmann::json {
        { "version", manifest.version }, { "changeId", manifest.changeId }, { "parts", manifest.parts }
    }.dump();
}

std::optional<Manifest> manifestFromJson(std::string_view json)
{
    const auto tree = nlohmann::json::parse(json, nullptr, false);
    if (!tree.is_object())
        return std::nullopt;
    const auto version = tree.find("version");
    const auto changeId = tree.find("changeId");
    const auto parts = tree.find("parts");
    if (version == tree.end() || !version->is_number_unsigned() || version->get<ManifestVersion>() == 0)
        return std::nullopt;
    if (changeId == tree.end() || !changeId->is_string() || parts == tree.end() || !parts->is_object())
        return std::nullopt;
    Manifest manifest { version->get<ManifestVersion>(), changeId->get<std::string>(), {} };
    for (const auto& [name, hash] : parts->items()) {
        if (!hash.is_string())
            return std::nullopt;
        manifest.parts[name] = hash.get<std::string>();
    }
    return manifest;
}

} // namespace arbutuscrank
