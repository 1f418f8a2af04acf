#pragma once

#include <arbutuscrank/core/error.hpp>
#include <arbutuscrank/core/events.hpp>
#include <arbutuscrank/core/types.hpp>

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Interface to the platform's object store and VM list.

namespace arbutuscrank {

/// \brief An object of the store. Version 0 means that the object does not exist.
struct StoredObject {
    ObjectVersion version = 0;
    std::string value;
};

/// \brief Client of the platform. Calls block; implementations are safe to use from several threads.
class Platform {
public:
    Platform() = default;
    Platform(const Platform&) = delete;
    Platform& operator=(const Platform&) = delete;
    virtual ~Platform() = default;

    /// \brief Reads an object.
    /// \returns the object, with version 0 if there is none; Unavailable, Timeout, Unknown or Protocol if the read
    /// failed
    [[nodiscard]] virtual Result<StoredObject> get(std::string_view key) = 0;

    /// \brief Writes an object with compare-and-set.
    /// \param expectedVersion version that the object must have; 0 if it must not exist
    /// \returns the new version; Conflict or Unavailable if the write had no effect, Unknown if it may have taken
    /// effect
    [[nodiscard]] virtual Result<ObjectVersion> put(
        std::string_view key, std::string_view value, ObjectVersion expectedVersion)
        = 0;

    /// \brief Waits until the version of an object is greater than \p after (long poll).
    /// \returns the object; Timeout if it did not change within \p maxWait
    [[nodiscard]] virtual Result<StoredObject> watch(
        std::string_view key, ObjectVersion after, std::chrono::milliseconds maxWait)
        = 0;

    /// \brief Reads the platform's list of VMs, which may lag behind the VMs that run.
    [[nodiscard]] virtual Result<std::vector<VmListEntry>> listVms() = 0;
};

} // namespace arbutuscrank
