#include "config/sample_document.hpp"

#include <arbutuscrank/core/manifest_codec.hpp>
#include <arbutuscrank/store.hpp>

#include <gtest/gtest.h>

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <utility>

using namespace arbutuscrank;

namespace {

enum class StoreFault {
    Unavailable, ///< the write has no effect, and the error says so
    LostRequest, ///< the write has no effect; the error leaves the outcome open
    LostAnswer, ///< the write takes effect at once; the error leaves the outcome open
    DelayedEffect, ///< the write takes effect just before the next one if its compare-and-set still succeeds then
};
constexpr std::array allStoreFaults { StoreFault::Unavailable, StoreFault::LostRequest, StoreFault::LostAnswer,
    StoreFault::DelayedEffect };

/// \brief Platform with an in-memory store. Tests inject faults and concurrent changes by the number of the call.
class MemoryPlatform final : public Platform {
public:
    Result<StoredObject> get(std::string_view key) override
    {
        if (beginCall())
            return Error { ErrorCode::Timeout, "store.get", "memory", "" };
        return objects[std::string(key)];
    }

    Result<ObjectVersion> put(std::string_view key, std::string_view value, ObjectVersion expected) override
    {
        const auto fault = beginCall();
        std::exchange(delayedWrite, nullptr)();
        delayedWrite = [] {};
        const auto write = [this, key = std::string(key), value = std::string(value), expected] {
            auto& object = objects[key];
            if (object.version != expected)
                return false;
            object = { object.version + 1, value };
            return true;
        };
        ++puts;
        if (fault == StoreFault::Unavailable)
            return Error { ErrorCode::Unavailable, "store.put", "memory", "" };
        if (fault == StoreFault::DelayedEffect)
            delayedWrite = write;
        if (!fault || fault == StoreFault::LostAnswer) {
            const bool isDone = write();
            if (!fault && !isDone)
                return Error { ErrorCode::Conflict, "store.put", "memory", "" };
        }
        if (fault)
            return Error { ErrorCode::Unknown, "store.put", "memory", "" };
        return objects[std::string(key)].version;
    }

    Result<StoredObject> watch(std::string_view, ObjectVersion, std::chrono::milliseconds) override
    {
        return Error { ErrorCode::Timeout, "store.watch", "memory", "" };
    }
    Result<std::vector<VmListEntry>> listVms() override { return std::vector<VmListEntry> {}; }

    Manifest manifest() { return manifestFromJson(objects[std::string(manifestKey)].value).value_or(Manifest {}); }

    std::map<std::string, StoredObject> objects;
    std::map<int, StoreFault> faults; ///< by the number of the call that fails
    std::map<int, std::function<void()>> concurrentChanges; ///< each runs before the call of its number
    std::function<void()> delayedWrite = [] {};
    int calls = 0;
    int puts = 0;

private:
    /// Counts the call, runs the concurrent change that is due and returns the fault of the call.
    std::optional<StoreFault> beginCall()
    {
        const int call = calls++;
        if (const auto it = concurrentChanges.find(call); it != concurrentChanges.end())
            std::exchange(it->second, [] {})();
        const auto it = faults.find(call);
        return it == faults.end() ? std::nullopt : std::optional(it->second);
    }
};

/// \brief Returns the code of an error, or nullopt if the result holds a value; error() of a value is undefined.
template <typename T> std::optional<ErrorCode> errorCode(const Result<T>& result)
{
    return result ? std::nullopt : std::optional(result.error().code);
}

Document changedDocument()
{
    auto document = sampleDocument();
    document.accounts.front().withdrawn = !document.accounts.front().withdrawn;
    document.drains.clear();
    return document;
}

/// \brief Stores the sample document as version 1 and resets the call counters.
void storeSampleDocument(MemoryPlatform& platform)
{
    ASSERT_EQ(ConfigurationWriter(platform).apply(sampleDocument(), 0, "first").value(), 1U);
    platform.calls = 0;
    platform.puts = 0;
}

void expectInForce(MemoryPlatform& platform, ManifestVersion version, const Document& document)
{
    const auto stored = ConfigurationWriter(platform).read();
    ASSERT_TRUE(stored) << describe(stored.error());
    EXPECT_EQ(stored.value().version, version);
    EXPECT_EQ(stored.value().document, document);
}

/// \brief Applies a change under the given faults and repeats it without faults. The change must take effect as a whole
/// and only once, and a reported error must be true.
void expectAtomicChange(const std::map<int, StoreFault>& faults)
{
    MemoryPlatform platform;
    storeSampleDocument(platform);
    platform.faults = faults;
    ConfigurationWriter writer(platform);
    const auto result = writer.apply(changedDocument(), 1, "second");
    platform.faults.clear();
    if (result) {
        EXPECT_EQ(result.value(), 2U);
        expectInForce(platform, 2, changedDocument());
    } else {
        EXPECT_NE(result.error().code, ErrorCode::Conflict) << "there is no concurrent change";
        if (result.error().code == ErrorCode::Unavailable)
            platform.delayedWrite();
        if (result.error().code == ErrorCode::Unavailable)
            expectInForce(platform, 1, sampleDocument());
    }
    const auto repeated = writer.apply(changedDocument(), 1, "second");
    ASSERT_TRUE(repeated) << describe(repeated.error());
    EXPECT_EQ(repeated.value(), 2U);
    expectInForce(platform, 2, changedDocument());
}

int countCallsWithoutFaults()
{
    MemoryPlatform platform;
    storeSampleDocument(platform);
    EXPECT_TRUE(ConfigurationWriter(platform).apply(changedDocument(), 1, "second"));
    return platform.calls;
}

} // namespace

// Guards against a change that is lost, applied twice or applied in part when one or two store calls fail.
TEST(ConfigurationWriter, AppliesChangeOnceUnderEveryPairOfStoreFaults)
{
    // After a fault the writer repeats the call or first reads the object, so each fault adds up to two calls.
    const int calls = countCallsWithoutFaults() + 4;
    for (int first = 0; first < calls; ++first) {
        for (int second = first; second < calls; ++second) {
            for (const auto a : allStoreFaults) {
                for (const auto b : allStoreFaults) {
                    SCOPED_TRACE(testing::Message() << first << ':' << int(a) << ' ' << second << ':' << int(b));
                    expectAtomicChange({ { first, a }, { second, b } });
                }
            }
        }
    }
}

// Guards against unbounded retries, and against an error that denies the effect of a write that may have taken effect.
// Every store call from a given one on fails.
TEST(ConfigurationWriter, ReportsOutcomeOfWriteDuringLongOutage)
{
    for (int first = 0; first < countCallsWithoutFaults(); ++first) {
        for (const auto fault : allStoreFaults) {
            SCOPED_TRACE(testing::Message() << first << ':' << int(fault));
            std::map<int, StoreFault> faults;
            for (int n = first; n < first + 100; ++n)
                faults[n] = fault;
            expectAtomicChange(faults);
        }
    }
}

// Guards against overwriting a concurrent change, made before any one of the writer's calls, also when a call fails.
TEST(ConfigurationWriter, ConcurrentChangeIsNeverOverwritten)
{
    auto concurrentDocument = sampleDocument();
    concurrentDocument.steering.lookupTtlSeconds = 9;
    const int calls = countCallsWithoutFaults();
    for (int changeCall = 0; changeCall < calls + 3; ++changeCall) {
        for (int faultCall = -1; faultCall < calls + 2; ++faultCall) {
            for (const auto fault : allStoreFaults) {
                SCOPED_TRACE(testing::Message() << "concurrent change before call " << changeCall << ", fault at call "
                                                << faultCall << ':' << int(fault));
                MemoryPlatform platform;
                storeSampleDocument(platform);
                if (faultCall >= 0)
                    platform.faults[faultCall] = fault;
                ManifestVersion concurrentVersion = 0;
                platform.concurrentChanges[changeCall] = [&] {
                    const auto savedFaults = std::exchange(platform.faults, {});
                    const int call = platform.calls;
                    concurrentVersion = platform.manifest().version + 1;
                    const auto applied
                        = ConfigurationWriter(platform).apply(concurrentDocument, concurrentVersion - 1, "concurrent");
                    if (!applied)
                        concurrentVersion = 0;
                    platform.calls = call;
                    platform.faults = savedFaults;
                };
                const auto result = ConfigurationWriter(platform).apply(changedDocument(), 1, "second");
                platform.faults.clear();
                platform.concurrentChanges.clear();
                if (concurrentVersion == 2) {
                    ASSERT_FALSE(result);
                    EXPECT_EQ(result.error().code, ErrorCode::Conflict) << describe(result.error());
                    EXPECT_NE(result.error().detail.find("version 2"), std::string::npos) << result.error().detail;
                    expectInForce(platform, 2, concurrentDocument);
                } else if (concurrentVersion == 3) {
                    EXPECT_TRUE(result || result.error().code == ErrorCode::Unknown) << describe(result.error());
                    expectInForce(platform, 3, concurrentDocument);
                } else {
                    EXPECT_TRUE(result) << describe(result.error());
                    expectInForce(platform, 2, changedDocument());
                }
            }
        }
    }
}

// Guards against a writer that writes or reads unchanged parts again.
TEST(ConfigurationWriter, WritesOnlyPartsThatChanged)
{
    MemoryPlatform platform;
    storeSampleDocument(platform);
    auto document = sampleDocument();
    document.accounts.front().burst += 1;
    ASSERT_TRUE(ConfigurationWriter(platform).apply(document, 1, "second"));
    EXPECT_EQ(platform.puts, 2) << "expected one part and the manifest";
    EXPECT_EQ(platform.calls, 3) << "expected the two writes and one read of the manifest";
    ASSERT_EQ(ConfigurationWriter(platform).apply(sampleDocument(), 2, "third").value(), 3U)
        << "the part exists already";
    expectInForce(platform, 3, sampleDocument());
}

// Guards against a writer that puts an invalid document, a reused change id or a damaged part in force.
TEST(ConfigurationWriter, RefusesInvalidChangesAndDamagedParts)
{
    MemoryPlatform platform;
    EXPECT_EQ(ConfigurationWriter(platform).read().value().version, 0U);
    storeSampleDocument(platform);
    ConfigurationWriter writer(platform);
    auto invalid = sampleDocument();
    invalid.accounts.front().services = { "unknown" };
    const auto refused = writer.apply(invalid, 1, "second");
    ASSERT_EQ(errorCode(refused), ErrorCode::InvalidArgument);
    const auto& detail = refused.error().detail;
    EXPECT_NE(detail.find("/accounts/0/services/0"), std::string::npos) << detail;
    for (const std::string& id : { std::string(), std::string("a b"), std::string(129, 'x') })
        EXPECT_EQ(errorCode(writer.apply(sampleDocument(), 1, id)), ErrorCode::InvalidArgument);
    EXPECT_EQ(errorCode(writer.apply(changedDocument(), 1, "first")), ErrorCode::InvalidArgument);
    EXPECT_EQ(platform.puts, 0);

    for (const auto& [name, text] : splitDocument(changedDocument()))
        platform.objects.try_emplace(partKey(sha256Hex(text)), StoredObject { 1, "other" });
    EXPECT_EQ(errorCode(writer.apply(changedDocument(), 1, "second")), ErrorCode::Protocol);
    expectInForce(platform, 1, sampleDocument());
    platform.objects[partKey(platform.manifest().parts.at("regions"))].value += ' ';
    EXPECT_EQ(errorCode(writer.read()), ErrorCode::Protocol);
}
