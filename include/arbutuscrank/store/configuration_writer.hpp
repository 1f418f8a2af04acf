#pragma once

#include <arbutuscrank/config/document.hpp>
#include <arbutuscrank/core/messages.hpp>
#include <arbutuscrank/store/store.hpp>

#include <cstddef>
#include <string_view>

/// \file
/// \brief Reads the configuration from the store and changes it as a whole (section 5 of docs/design.md).

namespace arbutuscrank {

/// \brief The configuration that the store holds.
struct StoredConfiguration {
    ManifestVersion version = 0; ///< 0: there is no manifest yet, and the document is empty
    ObjectVersion objectVersion = 0; ///< of the manifest object
    Manifest manifest;
    Document document;
};

/// \brief Makes changes with one conditional update of the manifest.
///
/// Calls block for as long as the platform's calls do, retry a bounded number of times and never sleep. Two calls of
/// \ref apply with one change id are one change, also from different processes, until another change follows.
///
/// \code
/// arbutuscrank::ConfigurationWriter writer(platform);
/// auto current = writer.read();
/// if (current) {
///     current.value().document.accounts.front().withdrawn = true;
///     auto version = writer.apply(current.value().document, current.value().version, changeId);
/// }
/// \endcode
class ConfigurationWriter {
public:
    /// Tries of each store call before its failure is returned.
    static constexpr int maxTries = 4;
    /// Longest change id, in bytes.
    static constexpr std::size_t maxChangeIdBytes = 128;

    /// \param platform must outlive the writer
    explicit ConfigurationWriter(Platform& platform) noexcept
        : m_platform(platform)
    {
    }

    /// \brief Reads the manifest and all parts.
    /// \returns Unavailable or Timeout if the store does not answer, Protocol if its content is damaged
    [[nodiscard]] Result<StoredConfiguration> read();

    /// \brief Puts a document in force.
    /// \param expected version that the change was made from
    /// \param changeId 1 to \ref maxChangeIdBytes printable ASCII characters, unique for each change
    /// \returns the version that carries the change; otherwise
    ///   - InvalidArgument: the document or the change id is not valid, or the change id is in force with another
    ///   document
    ///   - Conflict: another version than \p expected is in force, named in the detail; the change had no effect
    ///   - Unavailable: the change had no effect
    ///   - Unknown or Timeout: the change may have taken effect; a call with the same arguments tells
    ///   - Protocol: the store's content is damaged; the change had no effect
    [[nodiscard]] Result<ManifestVersion> apply(
        const Document& document, ManifestVersion expected, std::string_view changeId);

private:
    struct StoredManifest {
        ObjectVersion objectVersion = 0;
        Manifest manifest;
    };

    [[nodiscard]] Result<StoredObject> get(std::string_view key);
    [[nodiscard]] Result<StoredManifest> readManifest();
    [[nodiscard]] Result<void> writePart(std::string_view hash, std::string_view text);
    [[nodiscard]] Result<ManifestVersion> writeManifest(const Manifest& wanted, StoredManifest stored);

    Platform& m_platform;
};

} // namespace arbutuscrank
