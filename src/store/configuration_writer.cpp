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

    // Keeps the error message readable; parseDocument() reports every fault.
    constexpr std::size_t maxFaultsInError = 5;

    Error makeError(ErrorCode code, std::string_view step, std::string detail)
    {
        return { code, std::string(step), "", std::move(detail) };
    }

    Error makeConflictError(ManifestVersion expectedVersion, const Manifest& found)
    {
        return makeError(ErrorCode::Conflict, applyStep,
            "version " + std::to_string(found.version) + " (change " + found.changeId
                + ") is in force; the change is based on version " + std::to_string(expectedVersion));
    }

    bool mayHaveTakenEffect(const Error& error) noexcept
    {
        return error.code != ErrorCode::Conflict && error.code != ErrorCode::Unavailable;
    }

    bool isValidChangeId(std::string_view text)
    {
        return !text.empty() && text.size() <= ConfigurationWriter::maxChangeIdBytes
            && std::all_of(text.begin(), text.end(), [](char it) { return it > ' ' && it <= '~'; });
    }

    std::optional<Error> checkArguments(const Document& document, std::string_view changeId)
    {
        if (!isValidChangeId(changeId)) {
            return makeError(ErrorCode::InvalidArgument, applyStep,
                "change id: expected 1 to " + std::to_string(ConfigurationWriter::maxChangeIdBytes)
                    + " printable ASCII characters without spaces, found " + std::to_string(changeId.size())
                    + " bytes");
        }
        const auto faults = validate(document);
        if (faults.empty())
            return std::nullopt;
        auto detail = std::to_string(faults.size()) + " faults in the document";
        for (std::size_t n = 0; n < std::min(faults.size(), maxFaultsInError); ++n)
            detail += "; " + faults[n].path + ": expected " + faults[n].limit + ", found " + faults[n].found;
        return makeError(ErrorCode::InvalidArgument, applyStep, std::move(detail));
    }

} // namespace

Result<StoredObject> ConfigurationWriter::get(std::string_view key)
{
    auto result = m_platform.get(key);
    for (int n = 1; n < maxAttempts && !result; ++n)
        result = m_platform.get(key);
    // Unknown means that a write may have taken effect, and a read has no effect.
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
        return makeError(ErrorCode::Protocol, readStep, "the stored manifest is not valid");
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
                "stored part " + name + " of version " + std::to_string(result.version) + " is missing or damaged");
        }
        texts[name] = std::move(object.value().value);
    }
    auto document = joinDocument(texts);
    if (!document) {
        return makeError(ErrorCode::Protocol, readStep,
            "the stored parts of version " + std::to_string(result.version) + " do not form a valid document");
    }
    result.document = std::move(*document);
    return result;
}

Result<void> ConfigurationWriter::writePart(std::string_view hash, std::string_view text)
{
    const auto key = partKey(hash);
    std::optional<Error> lastError;
    for (int n = 0; n < maxAttempts; ++n) {
        auto written = m_platform.put(key, text, 0);
        if (written)
            return outcome::success();
        lastError = std::move(written).error();
        if (lastError->code == ErrorCode::Unavailable)
            continue;
        // An earlier change, or a previous attempt of this call, may have written the part already.
        auto object = get(key);
        if (!object)
            return std::move(object).error();
        if (object.value().version == 0)
            continue;
        if (object.value().value != text)
            return makeError(
                ErrorCode::Protocol, applyStep, "the content of object " + key + " does not match its hash");
        return outcome::success();
    }
    // A part has no effect until a manifest lists it, so the change certainly had no effect.
    lastError->code = ErrorCode::Unavailable;
    return std::move(*lastError);
}

Result<ManifestVersion> ConfigurationWriter::writeManifest(const Manifest& newManifest, StoredManifest stored)
{
    const auto expectedVersion = newManifest.version - 1;
    const auto text = manifestToJson(newManifest);
    bool isOutcomeUnknown = false;
    std::optional<Error> lastError;
    for (int n = 0; n < maxAttempts; ++n) {
        auto written = m_platform.put(manifestKey, text, stored.objectVersion);
        if (written)
            return newManifest.version;
        lastError = std::move(written).error();
        isOutcomeUnknown = isOutcomeUnknown || mayHaveTakenEffect(*lastError);
        if (lastError->code == ErrorCode::Unavailable)
            continue;
        auto current = readManifest();
        if (!current) {
            lastError = std::move(current).error();
            break;
        }
        stored = std::move(current).value();
        const auto& found = stored.manifest;
        if (found.version == newManifest.version && found.changeId == newManifest.changeId)
            return newManifest.version;
        if (found.version == expectedVersion)
            continue;
        // Each change raises the version by one. Once a later version is in force, the store no longer shows whether
        // this change or a concurrent one took the version number of the new manifest.
        if (isOutcomeUnknown && found.version > newManifest.version) {
            return makeError(ErrorCode::Unknown, applyStep,
                "version " + std::to_string(found.version) + " is in force, and version "
                    + std::to_string(newManifest.version) + " may have been this change");
        }
        return makeConflictError(expectedVersion, found);
    }
    // A write whose outcome is unknown can still take effect, whatever the last error was.
    if (isOutcomeUnknown)
        lastError->code = ErrorCode::Unknown;
    return std::move(*lastError);
}

Result<ManifestVersion> ConfigurationWriter::apply(
    const Document& document, ManifestVersion expectedVersion, std::string_view changeId)
{
    if (auto error = checkArguments(document, changeId))
        return std::move(*error);
    const auto texts = splitDocument(document);
    Manifest newManifest { expectedVersion + 1, std::string(changeId), {} };
    for (const auto& [name, text] : texts)
        newManifest.parts[name] = sha256Hex(text);

    auto stored = readManifest();
    if (!stored)
        return std::move(stored).error();
    const auto& current = stored.value().manifest;
    if (current.version != 0 && current.changeId == changeId) {
        if (current.parts == newManifest.parts)
            return current.version;
        return makeError(ErrorCode::InvalidArgument, applyStep,
            "change id " + newManifest.changeId + " belongs to another document, which is in force as version "
                + std::to_string(current.version));
    }
    if (current.version != expectedVersion)
        return makeConflictError(expectedVersion, current);

    std::set<std::string_view> storedHashes;
    for (const auto& [name, hash] : current.parts)
        storedHashes.insert(hash);
    for (const auto& [name, text] : texts) {
        const auto& hash = newManifest.parts.at(name);
        if (storedHashes.contains(hash))
            continue;
        auto written = writePart(hash, text);
        if (!written)
            return std::move(written).error();
    }
    return writeManifest(newManifest, std::move(stored).value());
}

} // namespace arbutuscrank
