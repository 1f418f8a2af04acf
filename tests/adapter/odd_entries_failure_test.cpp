#include "decoder.hpp"
#include "store.hpp"

#include "node/message_codec.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

/// \file
/// \brief Entries in the store that another writer made unreadable.

namespace arbutuscrank::platform {

namespace {

    /// Levels of nesting that exhaust the stack of a recursive reader or writer.
    constexpr std::size_t deepNesting = 100'000;

    std::string nested(std::size_t levels) { return std::string(levels, '[') + std::string(levels, ']'); }

    std::string targetBody(const std::string& fields)
    {
        return R"({"service":"s","zone":"caerdydd-a","state":"ready",)" + fields + "}";
    }

    std::vector<std::string> oddBodies()
    {
        const std::string address = R"("address":"10.0.0.1:80",)";
        return { nested(deepNesting), targetBody(address + R"("slots":6,"x":)" + nested(deepNesting)),
            targetBody(address + R"("slots":1e999)"), targetBody(address + "\"slots\":6,\"x\":\"\xff\""),
            targetBody(address + R"("slots":6,"x":"\ud800")"), targetBody(R"("address":"10.0.0.1:65536","slots":6)"),
            targetBody(R"("address":"10.0.0.1:0","slots":6)"), targetBody(address + R"("slots":-1)"),
            targetBody(address + R"("slots":1e30)"), targetBody(address + R"("slots":2.5)"),
            targetBody(address + R"("slots":6,"coldRemainingS":1e300)"),
            targetBody(address + R"("slots":6,"coldRemainingS":-1)"), targetBody(address + R"("slots":6,"born":-1)"),
            targetBody(address + R"("slots":6,"born":1e30)") };
    }

    std::string item(const std::string& name, const std::string& spec)
    {
        return R"({"metadata":{"name":")" + name + R"(","rev":4},"spec":)" + spec + "}";
    }

    Decoder makeDecoder() { return Decoder(std::map<std::string, std::string> { { "caerdydd-a", "caerdydd" } }); }

    std::string shorten(const std::string& text) { return text.substr(0, 120); }

    /// Expects that the first object names no target and the second one is read.
    void expectOnlySecondReadable(const std::vector<node::StoreObject>& objects, const std::string& body)
    {
        const auto decoder = makeDecoder();
        ASSERT_EQ(objects.size(), 2U) << shorten(body);
        EXPECT_EQ(objects[0].name, "odd") << shorten(body);
        EXPECT_FALSE(decoder.decodeTarget(objects[0])) << shorten(body);
        EXPECT_TRUE(decoder.decodeTarget(objects[1])) << shorten(body);
    }

    const std::string goodBody = targetBody(R"("address":"10.0.0.1:80","slots":6)");

} // namespace

// Guards against one unreadable entry that hides all others of a list or ends the process.
TEST(OddEntryFailure, OneUnreadableEntryInAListCostsNoOther)
{
    for (const auto& body : oddBodies()) {
        const auto listing = decodeListing(
            R"({"items":[)" + item("odd", body) + "," + item("good", goodBody) + R"(],"hasMore":false,"at":9})");
        ASSERT_TRUE(listing) << shorten(body);
        expectOnlySecondReadable(listing.value().objects, body);
    }
}

// Guards against one unreadable change that hides all others of a watch or ends the process.
TEST(OddEntryFailure, OneUnreadableChangeCostsNoOther)
{
    for (const auto& body : oddBodies()) {
        const auto changes = decodeChanges(R"({"events":[{"object":)" + item("odd", body) + R"(},{"object":)"
            + item("good", goodBody) + R"(,"deleted":false}],"at":9})");
        ASSERT_TRUE(changes) << shorten(body);
        std::vector<node::StoreObject> objects;
        for (const auto& change : changes.value().changes)
            objects.push_back(change.object);
        expectOnlySecondReadable(objects, body);
    }
}

// Guards against an entry without a readable name that hides the others, or after which a list is continued for ever.
TEST(OddEntryFailure, EntryWithoutANameIsNotTheEndOfAPage)
{
    for (const std::string metadata : { "7", "{}", R"({"name":7})", "{\"name\":\"\xff\"}" }) {
        const auto listing = decodeListing(R"({"items":[)" + item("good", goodBody) + R"(,{"metadata":)" + metadata
            + R"(,"spec":{}}],"hasMore":true,"at":9})");
        ASSERT_TRUE(listing) << metadata;
        ASSERT_EQ(listing.value().objects.size(), 2U) << metadata;
        EXPECT_EQ(listing.value().objects.back().name, "good") << metadata;
    }
}

// Guards against figures of a configuration that become others because they are out of range.
TEST(OddEntryFailure, ConfigurationWithFiguresOutOfRangeIsRejected)
{
    const auto policy = [](const std::string& routeFields) {
        return R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/a/","kind":"idempotent","service":"s",)"
            + routeFields + R"(}],"services":[{"name":"s"}]})";
    };
    const auto decoder = makeDecoder();
    EXPECT_TRUE(decoder.decodePolicy({ .name = "main", .body = policy(R"("timeoutS":1.2,"maxAttempts":2)") }));
    for (const std::string fields : { R"("timeoutS":1e300)", R"("timeoutS":-1)", R"("timeoutS":1,"maxAttempts":-1)",
             R"("timeoutS":1,"maxAttempts":1e30)", R"("timeoutS":1,"priority":-1)" })
        EXPECT_FALSE(decoder.decodePolicy({ .name = "main", .body = policy(fields) })) << fields;
    EXPECT_FALSE(decoder.decodePolicy({ .name = "main", .body = nested(deepNesting) }));
}

// Guards against a datagram with nested arrays that exhausts the stack of its receiver.
TEST(OddEntryFailure, DeeplyNestedDatagramIsRejected)
{
    constexpr std::size_t datagramBytes = 60'000;
    constexpr char arrayOfOne = '\x81'; // CBOR
    EXPECT_FALSE(node::decodeMessage(std::string(datagramBytes, arrayOfOne)));
}

} // namespace arbutuscrank::platform
