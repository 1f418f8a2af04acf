#include <arbutuscrank/store/configuration_writer.hpp>

#include <arbutuscrank/config/codec.hpp>
#include <arbutuscrank/config/validate.hpp>
#include <arbutuscrank/core/manifest_codec.hpp>

#include <algorithm>
#include <optional>
#include <set>

namespace arbutuscrank {

namespace {

    constexpr std::string_view applyStep = "configuration.apply";
    constexpr std::string_view readStep = "configuration.read";

    // More faults than this make an error message unreadable; parseDocument() lists them all.
    constexpr std::size_t maxFaultsInError = 5;

    Error makeError(ErrorCode code, std::string_view step, std::string detail)
    {
        return { code, std::string(step), "", std::move(detail) };
    }

    Error makeConflict(ManifestVersion expected, const Manifest& found)
    {
        return makeError(ErrorCode::Conflict, applyStep,
            "version " + std::to_string(found.version) + " (change " + found.changeId
                + ") is in force, expected version " + std::to_string(expected));
    }

    bool mayHaveTakenEffect(const Error& error) noexcept
    {
        return error.code != ErrorCode::Conflict && error.code != ErrorCode::Unavailable;
    }

    bool isChangeId(std::string_view text)
    {
        return !text.empty() && text.size() <= ConfigurationWriter::maxChangeIdBytes
            && std::all_of(text.begin(), text.end(), [](char it) { return it > ' ' && it <= '~'; });
    }

    std::optional<Error> checkArguments(const Document& document, std::string_view changeId)
    {
        if (!isChangeId(changeId)) {
            return makeError(ErrorCode::InvalidArgument, applyStep,
                "a change id has 1 to " + std::to_string(ConfigurationWriter::maxChangeIdBytes)
                    + " printable ASCII characters, found " + std::to_string(changeId.size()) + " bytes");
        }
        const auto faults = validate(document);
        if (faults.empty())
            return std::nullopt;
        auto detail = std::to_string(faults.size()) + " faults";
        for (std::size_t n = 0; n < std::min(faults.size(), maxFaultsInError); ++n)
            detail += "; " + faults[n].path + ": expected " + faults[n].limit + ", found " + faults[n].found;
        return makeError(ErrorCode::InvalidArgument, applyStep, std::move(detail));
    }

} // namespace

Result<StoredObject> ConfigurationWriter::get(std::string_view key)
{
    auto result = m_platform.get(key);
    for (int n = 1; n < maxTries && !result; ++n)
        result = m_platform.get(key);
    // A failed read changes nothing, whatever the platform could tell of it.
    if (!result && result.error().code == ErrorCode::Unknown)
        result.error().code = ErrorCode::Timeout;
    return result;
}

Result<ConfigurationWriter::StoredManifest> ConfigurationWriter::readManifest()
{
    auto object = get(manifestKey);
    if (!object)
        return std::move(object).error();
    if (object.value().version == 0)
        return StoredManifest {};
    auto manifest = manifestFromJson(object.value().value);
    if (!manifest)
        return makeError(ErrorCode::Protocol, readStep, "the manifest in the store is not valid");
    return StoredManifest { object.value().version, std::move(*manifest) };
}

Result<StoredConfiguration> ConfigurationWriter::read()
{
    auto stored = readManifest();
    if (!stored)
        return std::move(stored).error();
    StoredConfiguration result { stored.value().manifest.version, stored.value().objectVersion,
        std::move(stored.value().manifest), {} };
    if (result.version == 0)
        return result;
    std::map<std::string, std::string> texts;
    for (const auto& [name, hash] : result.manifest.parts) {
        auto object = get(partKey(hash));
        if (!object)
            return std::move(object).error();
        if (object.value().version == 0 || sha256Hex(object.value().value) != hash) {
            return makeError(ErrorCode::Protocol, readStep,
                "part " + name + " of version " + std::to_string(result.version) + " is missing or damaged");
        }
        texts[name] = std::move(object.value().value);
    }
    auto document = joinDocument(texts);
    if (!document) {
        return makeError(ErrorCode::Protocol, readStep,
            "the parts of version " + std::to_string(result.version) + " are not a valid document");
    }
    result.document = std::move(*document);
    return result;
}

Result<void> ConfigurationWriter::writePart(std::string_view hash, std::string_view text)
{
    const auto key = partKey(hash);
    std::optional<Error> failure;
    for (int n = 0; n < maxTries; ++n) {
        auto written = m_platform.put(key, text, 0);
        if (written)
            return outcome::success();
        failure = std::move(written).error();
        if (failure->code == ErrorCode::Unavailable)
            continue;
        // The part may be there already, from an earlier change or from this call.
        auto object = get(key);
        if (!object)
            return std::move(object).error();
        if (object.value().version == 0)
            continue;
        if (object.value().value != text)
            return makeError(
                ErrorCode::Protocol, applyStep, "object " + key + " does not have the content of its hash");
        return outcome::success();
    }
    // A part alone changes nothing that is in force.
    failure->code = ErrorCode::Unavailable;
    return std::move(*failure);
}

Result<ManifestVersion> ConfigurationWriter::writeManifest(const Manifest& wanted, StoredManifest stored)
{
    const auto expected = wanted.version - 1;
    const auto text = manifestToJson(wanted);
    bool uncertain = false;
    std::optional<Error> failure;
    for (int n = 0; n < maxTries; ++n) {
        auto written = m_platform.put(manifestKey, text, stored.objectVersion);
        if (written)
            return wanted.version;
        failure = std::move(written).error();
        uncertain = uncertain || mayHaveTakenEffect(*failure);
        if (failure->code == ErrorCode::Unavailable)
            continue;
        auto current = readManifest();
        if (!current) {
            failure = std::move(current).error();
            break;
        }
        stored = std::move(current).value();
        const auto& found = stored.manifest;
        if (found.version == wanted.version && found.changeId == wanted.changeId)
            return wanted.version;
        if (found.version == expected)
            continue;
        // Versions grow by one, so a later version than the wanted one hides whose change the wanted one was.
        if (uncertain && found.version > wanted.version) {
            return makeError(ErrorCode::Unknown, applyStep,
                "version " + std::to_string(found.version) + " is in force; version " + std::to_string(wanted.version)
                    + " may have been this change");
        }
        return makeConflict(expected, found);
    }
    // An unanswered write can still take effect, whatever the last failure was.
    if (uncertain)
        failure->code = ErrorCode::Unknown;
    return std::move(*failure);
}

Result<ManifestVersion> ConfigurationWriter::apply(
    const Document& document, ManifestVersion expected, std::string_view changeId)
{
    if (auto error = checkArguments(document, changeId))
        return std::move(*error);
    const auto texts = splitDocument(document);
    Manifest wanted { expected + 1, std::string(changeId), {} };
    for (const auto& [name, text] : texts)
        wanted.parts[name] = sha256Hex(text);

    auto stored = readManifest();
    if (!stored)
        return std::move(stored).error();
    const auto& current = stored.value().manifest;
    if (current.version != 0 && current.changeId == changeId) {
        if (current.parts == wanted.parts)
            return current.version;
        return makeError(ErrorCode::InvalidArgument, applyStep,
            "change id " + wanted.changeId + " is in force with another document, as version "
                + std::to_string(current.version));
    }
    if (current.version != expected)
        return makeConflict(expected, current);

    std::set<std::string_view> present;
    for (const auto& [name, hash] : current.parts)
        present.insert(hash);
    for (const auto& [name, text] : texts) {
        const auto& hash = wanted.parts.at(name);
        if (present.contains(hash))
            continue;
        auto written = writePart(hash, text);
        if (!written)
            return std::move(written).error();
    }
    return writeManifest(wanted, std::move(stored).value());
}

} // namespace arbutuscrank
