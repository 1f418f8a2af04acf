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
    Unavailable, ///< no effect, and the answer says so
    LostRequest, ///< no effect, but the caller cannot know
    LostAnswer, ///< takes effect at once, but the caller cannot know
    LateEffect, ///< takes effect just before the next write, if its condition still holds then
};
constexpr std::array allStoreFaults { StoreFault::Unavailable, StoreFault::LostRequest, StoreFault::LostAnswer,
    StoreFault::LateEffect };

/// \brief Store in memory. Faults are set by number of the call.
class MemoryPlatform final : public Platform {
public:
    Result<StoredObject> get(std::string_view key) override
    {
        if (nextFault())
            return Error { ErrorCode::Timeout, "store.get", "memory", "" };
        return objects[std::string(key)];
    }

    Result<ObjectVersion> put(std::string_view key, std::string_view value, ObjectVersion expected) override
    {
        const auto fault = nextFault();
        std::exchange(lateWrite, nullptr)();
        lateWrite = [] {};
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
        if (fault == StoreFault::LateEffect)
            lateWrite = write;
        if (!fault || fault == StoreFault::LostAnswer) {
            const bool done = write();
            if (!fault && !done)
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
    std::map<int, StoreFault> faults; ///< by number of the call
    std::map<int, std::function<void()>> rivals; ///< run before the call
    std::function<void()> lateWrite = [] {};
    int calls = 0;
    int puts = 0;

private:
    std::optional<StoreFault> nextFault()
    {
        const int call = calls++;
        if (const auto it = rivals.find(call); it != rivals.end())
            std::exchange(it->second, [] {})();
        const auto it = faults.find(call);
        return it == faults.end() ? std::nullopt : std::optional(it->second);
    }
};

/// \brief Code of an error; nullopt for a value, whose error() must not be read.
template <typename T> std::optional<ErrorCode> codeOf(const Result<T>& result)
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

/// \brief Store with the sample document as version 1.
void prepare(MemoryPlatform& platform)
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

/// \brief One call under the given faults, then a repeated call without faults.
void expectOneChange(const std::map<int, StoreFault>& faults)
{
    MemoryPlatform platform;
    prepare(platform);
    platform.faults = faults;
    ConfigurationWriter writer(platform);
    const auto result = writer.apply(changedDocument(), 1, "second");
    platform.faults.clear();
    if (result) {
        EXPECT_EQ(result.value(), 2U);
        expectInForce(platform, 2, changedDocument());
    } else {
        EXPECT_NE(result.error().code, ErrorCode::Conflict) << "nobody else writes";
        if (result.error().code == ErrorCode::Unavailable)
            platform.lateWrite();
        if (result.error().code == ErrorCode::Unavailable)
            expectInForce(platform, 1, sampleDocument());
    }
    const auto repeated = writer.apply(changedDocument(), 1, "second");
    ASSERT_TRUE(repeated) << describe(repeated.error());
    EXPECT_EQ(repeated.value(), 2U);
    expectInForce(platform, 2, changedDocument());
}

int callsWithoutFaults()
{
    MemoryPlatform platform;
    prepare(platform);
    EXPECT_TRUE(ConfigurationWriter(platform).apply(changedDocument(), 1, "second"));
    return platform.calls;
}

} // namespace

// Guards against a change that is lost, made twice or half made when any one or two calls to the store fail.
TEST(ConfigurationWriter, EveryPairOfFaultsLeavesOneWholeChange)
{
    // Failed calls are repeated or looked up, so the calls that matter reach past the undisturbed number.
    const int calls = callsWithoutFaults() + 4;
    for (int first = 0; first < calls; ++first) {
        for (int second = first; second < calls; ++second) {
            for (const auto a : allStoreFaults) {
                for (const auto b : allStoreFaults) {
                    SCOPED_TRACE(testing::Message() << first << ':' << int(a) << ' ' << second << ':' << int(b));
                    expectOneChange({ { first, a }, { second, b } });
                }
            }
        }
    }
}

// Guards against retries without bound, and against "no effect" being reported of a write that may have taken effect.
TEST(ConfigurationWriter, LongOutageFromAnyCallOnIsReportedTruthfully)
{
    for (int first = 0; first < callsWithoutFaults(); ++first) {
        for (const auto fault : allStoreFaults) {
            SCOPED_TRACE(testing::Message() << first << ':' << int(fault));
            std::map<int, StoreFault> faults;
            for (int n = first; n < first + 100; ++n)
                faults[n] = fault;
            expectOneChange(faults);
        }
    }
}

// Guards against overwriting a rival's change, wherever it falls, also when an answer is lost near it.
TEST(ConfigurationWriter, RivalChangeIsNeverOverwritten)
{
    auto rivalDocument = sampleDocument();
    rivalDocument.steering.lookupTtlSeconds = 9;
    const int calls = callsWithoutFaults();
    for (int at = 0; at < calls + 3; ++at) {
        for (int faulty = -1; faulty < calls + 2; ++faulty) {
            for (const auto fault : allStoreFaults) {
                SCOPED_TRACE(testing::Message() << "rival at " << at << ", fault " << faulty << ':' << int(fault));
                MemoryPlatform platform;
                prepare(platform);
                if (faulty >= 0)
                    platform.faults[faulty] = fault;
                ManifestVersion rivalVersion = 0;
                platform.rivals[at] = [&] {
                    const auto saved = std::exchange(platform.faults, {});
                    const int call = platform.calls;
                    rivalVersion = platform.manifest().version + 1;
                    const auto done = ConfigurationWriter(platform).apply(rivalDocument, rivalVersion - 1, "rival");
                    if (!done)
                        rivalVersion = 0;
                    platform.calls = call;
                    platform.faults = saved;
                };
                const auto result = ConfigurationWriter(platform).apply(changedDocument(), 1, "second");
                platform.faults.clear();
                platform.rivals.clear();
                if (rivalVersion == 2) {
                    ASSERT_FALSE(result);
                    EXPECT_EQ(result.error().code, ErrorCode::Conflict) << describe(result.error());
                    EXPECT_NE(result.error().detail.find("version 2"), std::string::npos) << result.error().detail;
                    expectInForce(platform, 2, rivalDocument);
                } else if (rivalVersion == 3) {
                    EXPECT_TRUE(result || result.error().code == ErrorCode::Unknown) << describe(result.error());
                    expectInForce(platform, 3, rivalDocument);
                } else {
                    EXPECT_TRUE(result) << describe(result.error());
                    expectInForce(platform, 2, changedDocument());
                }
            }
        }
    }
}

// Guards against parts of earlier changes being written or read again.
TEST(ConfigurationWriter, WritesOnlyPartsThatChanged)
{
    MemoryPlatform platform;
    prepare(platform);
    auto document = sampleDocument();
    document.accounts.front().burst += 1;
    ASSERT_TRUE(ConfigurationWriter(platform).apply(document, 1, "second"));
    EXPECT_EQ(platform.puts, 2) << "one part and the manifest";
    EXPECT_EQ(platform.calls, 3) << "and one read of the manifest";
    ASSERT_EQ(ConfigurationWriter(platform).apply(sampleDocument(), 2, "third").value(), 3U) << "part exists already";
    expectInForce(platform, 3, sampleDocument());
}

// Guards against invalid input, a reused change id and damaged objects being put in force.
TEST(ConfigurationWriter, RefusesInvalidChanges)
{
    MemoryPlatform platform;
    EXPECT_EQ(ConfigurationWriter(platform).read().value().version, 0U);
    prepare(platform);
    ConfigurationWriter writer(platform);
    auto invalid = sampleDocument();
    invalid.accounts.front().services = { "unknown" };
    const auto refused = writer.apply(invalid, 1, "second");
    ASSERT_EQ(codeOf(refused), ErrorCode::InvalidArgument);
    const auto& detail = refused.error().detail;
    EXPECT_NE(detail.find("/accounts/0/services/0"), std::string::npos) << detail;
    for (const std::string& id : { std::string(), std::string("a b"), std::string(129, 'x') })
        EXPECT_EQ(codeOf(writer.apply(sampleDocument(), 1, id)), ErrorCode::InvalidArgument);
    EXPECT_EQ(codeOf(writer.apply(changedDocument(), 1, "first")), ErrorCode::InvalidArgument);
    EXPECT_EQ(platform.puts, 0);

    for (const auto& [name, text] : splitDocument(changedDocument()))
        platform.objects.try_emplace(partKey(sha256Hex(text)), StoredObject { 1, "other" });
    EXPECT_EQ(codeOf(writer.apply(changedDocument(), 1, "second")), ErrorCode::Protocol);
    expectInForce(platform, 1, sampleDocument());
    platform.objects[partKey(platform.manifest().parts.at("regions"))].value += ' ';
    EXPECT_EQ(codeOf(writer.read()), ErrorCode::Protocol);
}
