#pragma once

#include <arbutuscrank/config/document.hpp>
#include <arbutuscrank/core/messages.hpp>
#include <arbutuscrank/store/store.hpp>

#include <cstddef>
#include <string_view>

/// \file
/// \brief Reads and replaces the stored configuration as one unit (section 5 of docs/design.md).

namespace arbutuscrank {

/// \brief The configuration in the store: the manifest and the document that its parts form.
struct StoredConfiguration {
    ManifestVersion version = 0; ///< 0 if the store has no manifest; the document is then empty
    ObjectVersion objectVersion = 0; ///< version of the manifest object in the store
    Manifest manifest;
    Document document;
};

/// \brief Writes the parts of a new document and puts it in force with one compare-and-set of the manifest.
///
/// Calls block while a platform call runs, retry it a bounded number of times and never sleep between attempts.
/// \ref apply is idempotent by change id, also across processes, until another change is in force.
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
    /// Attempts of each store call before its error is returned.
    static constexpr int maxAttempts = 4;
    static constexpr std::size_t maxChangeIdBytes = 128;

    /// \param platform store that holds the configuration; must outlive the writer
    explicit ConfigurationWriter(Platform& platform) noexcept
        : m_platform(platform)
    {
    }

    /// \brief Reads the manifest and every part that it lists.
    /// \returns the configuration; Unavailable or Timeout if the store does not answer, Protocol if a stored object is
    /// missing or damaged
    [[nodiscard]] Result<StoredConfiguration> read();

    /// \brief Puts a document in force.
    /// \param document the whole new configuration
    /// \param expectedVersion version that the change is based on; 0 for the first configuration
    /// \param changeId 1 to \ref maxChangeIdBytes printable ASCII characters without spaces, unique for each
    /// change
    /// \returns the version that carries the change; otherwise
    ///   - InvalidArgument: the document or the change id is not valid, or the version in force has the same change id
    ///   and another document
    ///   - Conflict: a version other than \p expectedVersion is in force, named in the detail; the change had no effect
    ///   - Unavailable: the change had no effect
    ///   - Unknown or Timeout: the change may have taken effect; a call with the same arguments is a safe retry
    ///   - Protocol: a stored object is damaged; the change had no effect
    [[nodiscard]] Result<ManifestVersion> apply(
        const Document& document, ManifestVersion expectedVersion, std::string_view changeId);

private:
    struct StoredManifest {
        ObjectVersion objectVersion = 0;
        Manifest manifest;
    };

    [[nodiscard]] Result<StoredObject> get(std::string_view key);
    [[nodiscard]] Result<StoredManifest> readManifest();
    [[nodiscard]] Result<void> writePart(std::string_view hash, std::string_view text);
    [[nodiscard]] Result<ManifestVersion> writeManifest(const Manifest& newManifest, StoredManifest stored);

    Platform& m_platform;
};

} // namespace arbutuscrank
