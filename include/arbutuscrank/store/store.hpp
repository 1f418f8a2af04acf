#pragma once

#include <arbutuscrank/core/error.hpp>
#include <arbutuscrank/core/events.hpp>
#include <arbutuscrank/core/types.hpp>

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief The one interface to the platform's object store and VM list.

namespace arbutuscrank {

/// \brief An object of the store. Version 0 means that it does not exist.
struct StoredObject {
    ObjectVersion version = 0;
    std::string value;
};

/// \brief What the system needs of the platform. Calls block; implementations are safe to use from several threads.
class Platform {
public:
    Platform() = default;
    Platform(const Platform&) = delete;
    Platform& operator=(const Platform&) = delete;
    virtual ~Platform() = default;

    /// \brief Reads an object.
    /// \returns Unavailable or Timeout on failure
    [[nodiscard]] virtual Result<StoredObject> get(std::string_view key) = 0;

    /// \brief Conditional update.
    /// \param expected version that the object must have; 0: it must not exist
    /// \returns the new version; Conflict, Unavailable (no effect) or Unknown (may have taken effect)
    [[nodiscard]] virtual Result<ObjectVersion> put(
        std::string_view key, std::string_view value, ObjectVersion expected)
        = 0;

    /// \brief Waits until an object is newer than \p after.
    /// \returns the object; Timeout if it did not change within \p wait
    [[nodiscard]] virtual Result<StoredObject> watch(
        std::string_view key, ObjectVersion after, std::chrono::milliseconds wait)
        = 0;

    /// \brief Reads the lagging list of VMs.
    [[nodiscard]] virtual Result<std::vector<VmListEntry>> listVms() = 0;
};

} // namespace arbutuscrank
