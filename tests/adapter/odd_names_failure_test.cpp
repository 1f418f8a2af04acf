#include "adapter/paged_store.hpp"
#include "decoder.hpp"
#include "store.hpp"
#include "wire_names.hpp"

#include "node/collection_reader.hpp"
#include "node/http_fields.hpp"
#include "node/odd_messages.hpp"
#include "node/paged_listing.hpp"
#include "node/shared_store.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <set>

/// \file
/// \brief Entries of another writer in the store, under names with characters that mean something in a URL.

namespace arbutuscrank::platform {

namespace {

    using node::Collection;
    using std::chrono::milliseconds;
    using Names = std::set<std::string>;

    constexpr std::size_t pageSize = 3;

    const std::string targetSpec
        = R"({"service":"s","address":"10.0.0.1:80","zone":"zone-a","state":"ready","slots":6})";
    const std::string oddSpec = R"({"service":5,"state":"parked"})";

    const Names targets { "t-00", "t-01", "t-02", "t-03", "t-04", "t-05", "t-06", "t-07" };

    /// Names that stand between "t-01" and "t-02".
    const std::vector<std::string> oddNames { "t-01&after=zz", "t-01&", "t-01+1", "t-01#x", "t-01%", "t-01%41",
        "t-01 (copy)", "t-01?x", "t-01/x", "t-01=", "t-01;x", "t-01\"'<>\\", "t-01\t\r\nX: y", "t-01\x7f",
        "t-01\xc3\xa4\xe2\x82\xac" };

    Decoder makeDecoder() { return Decoder(std::map<std::string, std::string> { { "zone-a", "region-a" } }); }

    /// The store with all targets, and a VM's reader of them, over HTTP.
    struct TargetReading {
        explicit TargetReading(std::size_t objectsPerPage = pageSize)
            : server(context, objectsPerPage)
        {
            for (const auto& name : targets)
                server.put("servers", name, targetSpec);
        }

        /// Reads the list of targets. \returns the names of the usable ones; empty if the list fails again and again
        Names read()
        {
            const auto reader = std::make_shared<node::CollectionReader>(context, store, Collection::Targets,
                node::CollectionReader::WatchTiming {
                    std::chrono::seconds(5), milliseconds(1), std::chrono::seconds(5) },
                node::CollectionReader::Handlers {
                    .onListed = [&](const node::StoreListing& listing) { listed = listing.objects; },
                    .onChanged = [](const node::StoreChange&) {},
                    .onConfirmed = [](TimePoint) {},
                    .onFailed = [&](const Error& error) { failures.push_back(describe(error)); } });
            reader->start();
            constexpr std::size_t maxFailures = 3;
            constexpr std::size_t maxPages = 100;
            node::test::runUntil(
                context, [&] { return listed || failures.size() == maxFailures || server.lists > maxPages; });
            reader->stop();
            const Decoder decoder = makeDecoder();
            Names out;
            for (const auto& object : listed.value_or(std::vector<node::StoreObject>())) {
                if (decoder.decodeTarget(object))
                    out.insert(object.name);
            }
            return out;
        }

        /// Reads the targets from the feed of the VM, as another VM. \returns the names of all entries; empty if the
        /// feed refuses the read
        Names readFromFeed()
        {
            server.put("config", "main", "{}");
            const auto address = node::test::freeAddress();
            EXPECT_TRUE(store->open(address));
            const auto otherStore = std::make_shared<node::SharedStore>(context, client);
            otherStore->setSource(address);
            // The feed is served once the VM has read the configuration too.
            std::optional<Result<node::StoreListing>> policy;
            store->list(Collection::Policy, {}, [&](auto result) { policy = std::move(result); });
            node::test::runUntil(context, [&] { return policy.has_value(); });
            std::optional<Result<node::StoreListing>> answer;
            otherStore->list(Collection::Targets, {}, [&](auto result) { answer = std::move(result); });
            node::test::runUntil(context, [&] { return answer.has_value(); });
            Names out;
            if (answer && *answer) {
                for (const auto& object : answer->value().objects)
                    out.insert(object.name);
            }
            return out;
        }

        node::asio::io_context context;
        test::PagedStore server;
        std::shared_ptr<MetadataStore> client
            = std::make_shared<MetadataStore>(context, server.endpoint(), server.address());
        std::shared_ptr<node::SharedStore> store = std::make_shared<node::SharedStore>(context, client);
        std::optional<std::vector<node::StoreObject>> listed;
        std::vector<std::string> failures;
    };

    /// Waits for the answer to a write or a removal.
    bool succeeds(node::asio::io_context& context, const std::optional<Result<ObjectVersion>>& answer)
    {
        return node::test::runUntil(context, [&] { return answer.has_value(); }) && answer->has_value();
    }

} // namespace

// RECOVER. Guards against VMs that start and never get ready, or without a part of the targets, because the list is
// continued after a name that is no valid part of a query, or that means another name there: the same page may then
// come again for ever.
TEST(OddNameFailure, AListGoesOnAfterAnyName)
{
    for (const std::size_t objectsPerPage : { std::size_t { 1 }, pageSize }) {
        for (const auto& name : oddNames) {
            TargetReading reading(objectsPerPage);
            reading.server.put("servers", name, oddSpec);
            EXPECT_EQ(reading.read(), targets) << name;
            EXPECT_EQ(reading.server.lists, (targets.size() + 1) / objectsPerPage) << name;
            EXPECT_EQ(reading.server.refusedLines, std::vector<std::string> {}) << name;
            EXPECT_EQ(reading.failures, std::vector<std::string> {}) << name;
        }
    }
}

// Guards against records of the system that stay in the store for ever, because the path of their removal cannot be
// read, and against a removal or a write that reaches another object than the named one.
TEST(OddNameFailure, WritesAndRemovalsReachTheNamedObject)
{
    constexpr auto collection = Collection::Members;
    const std::string kind(objectKind(collection));
    for (const auto& name : oddNames) {
        TargetReading reading;
        auto& server = reading.server;
        server.put(kind, "t-01", "{}");
        server.put(kind, name, "{}");
        std::optional<Result<ObjectVersion>> written;
        const auto revision = server.revision();
        reading.client->write(
            collection, { name, revision, R"({"x":1})" }, [&](auto result) { written = std::move(result); });
        EXPECT_TRUE(succeeds(reading.context, written)) << name;
        EXPECT_EQ(server.objects.at({ kind, name }).spec, R"({"x":1})") << name;
        std::optional<Result<ObjectVersion>> removed;
        reading.client->remove(collection, name, server.revision(), [&](auto result) { removed = std::move(result); });
        EXPECT_TRUE(succeeds(reading.context, removed)) << name;
        EXPECT_EQ(server.removed, (std::vector<test::PagedStore::Key> { { kind, name } })) << name;
        EXPECT_EQ(server.objects.count({ kind, "t-01" }), 1U) << name;
    }
}

// RECOVER. Guards against a list that is begun anew for ever, because the store refuses to continue it after a name
// that makes the request line too long.
TEST(OddNameFailure, AListGoesOnAfterALongName)
{
    TargetReading reading;
    reading.server.put("servers", "t-01" + std::string(test::PagedStore::maxRequestLineBytes, '-'), oddSpec);
    EXPECT_EQ(reading.read(), targets);
    EXPECT_EQ(reading.failures, std::vector<std::string> {});
}

// RECOVER. Guards against targets that VMs never learn of, because no name on a page before them can be used to
// continue the list. If the store refuses other texts than names, it guards against a list without an end, whose memory
// grows.
TEST(OddNameFailure, AListGoesOnAfterAPageWithoutAUsableName)
{
    const std::string longName(test::PagedStore::maxRequestLineBytes, '-');
    const test::PagedStore::Object nameless { "7", oddSpec };
    const test::PagedStore::Object overlong { R"({"name":"t-02)" + longName + "\"}", oddSpec };
    for (const auto& odd : { nameless, overlong }) {
        for (const bool refusesUnknownNames : { false, true }) {
            TargetReading reading;
            reading.server.refusesUnknownNames = refusesUnknownNames;
            for (const auto* key : { "t-02a", "t-02b", "t-02c" })
                reading.server.objects[{ "servers", key }] = odd;
            if (refusesUnknownNames) {
                EXPECT_EQ(reading.read(), (Names { "t-00", "t-01", "t-02" })) << odd.metadata.substr(0, 20);
                EXPECT_EQ(reading.server.lists, 2U);
            } else {
                EXPECT_EQ(reading.read(), targets) << odd.metadata.substr(0, 20);
                EXPECT_LE(reading.server.lists, 5U + node::PagedListing::maxSearchedPages);
            }
            EXPECT_EQ(reading.failures, std::vector<std::string> {});
        }
    }
}

// RECOVER. Guards against a list without an end, whose memory grows, because no page of the store leads on.
TEST(OddNameFailure, ASearchForTheNextPageEnds)
{
    TargetReading reading;
    reading.server.objects.clear();
    for (const auto* key : { "a", "b", "c", "d" })
        reading.server.putNameless("servers", key, oddSpec);
    reading.server.ignoresAfter = true;
    EXPECT_EQ(reading.read(), Names {});
    EXPECT_TRUE(reading.listed);
    EXPECT_EQ(reading.server.lists, 1U + node::PagedListing::maxSearchedPages);
}

// RECOVER. Guards against a list without an end, whose memory grows, because the store sends the same page again.
TEST(OddNameFailure, AListEndsWhenItDoesNotAdvance)
{
    TargetReading reading;
    reading.server.ignoresAfter = true;
    EXPECT_EQ(reading.read(), (Names { "t-00", "t-01", "t-02" }));
    EXPECT_EQ(reading.server.lists, 2U);
}

// Guards against VMs that read the store themselves, because the feed of a VM is never complete after such a list.
TEST(OddNameFailure, TheFeedServesAListThatDoesNotAdvance)
{
    TargetReading reading;
    reading.server.ignoresAfter = true;
    ASSERT_EQ(reading.read(), (Names { "t-00", "t-01", "t-02" }));
    EXPECT_EQ(reading.readFromFeed(), (Names { "t-00", "t-01", "t-02" }));
}

// Guards against a VM that learns other names from the feed of another VM than that one has read.
TEST(OddNameFailure, TheFeedKeepsNames)
{
    TargetReading reading;
    for (const auto& name : oddNames)
        reading.server.put("servers", name, oddSpec);
    ASSERT_EQ(reading.read(), targets);
    Names expected = targets;
    expected.insert(oddNames.begin(), oddNames.end());
    EXPECT_EQ(reading.readFromFeed(), expected);
}

// UNASKED. Guards against header fields, or a whole request, that the name of a target adds to the requests sent to it.
TEST(OddNameFailure, ANameThatNoHeaderCanHoldNamesNoTarget)
{
    const Decoder decoder = makeDecoder();
    for (const std::string name : { "", "t\r\nX-Other: 1", "t\n", "t\t", "t\x7f", " t", "t ", "\x01" })
        EXPECT_FALSE(decoder.decodeTarget({ .name = name, .body = targetSpec })) << name;
    for (const std::string name : { "t-01 (copy)", "t&+#%", "t\"", "t\xc3\xa4" })
        EXPECT_TRUE(decoder.decodeTarget({ .name = name, .body = targetSpec })) << name;
}

// Fault. Guards against a name that ends the process with the first request to its target, because the HTTP library
// cannot hold it in a field.
TEST(OddNameFailure, ANameThatIsTooLongForAFieldNamesNoTarget)
{
    const Decoder decoder = makeDecoder();
    for (const std::size_t length : node::test::oddLengths) {
        const auto target = decoder.decodeTarget({ .name = std::string(length, 't'), .body = targetSpec });
        EXPECT_EQ(target.has_value(), length <= node::maxFieldTextBytes) << length;
        const auto detail = target ? std::string() : target.error().detail;
        EXPECT_TRUE(target || detail.find("found " + std::to_string(length)) != std::string::npos) << detail;
    }
}

// CONFIG. Guards against another writer's entry beside the operators' configuration that takes its place.
TEST(OddNameFailure, OnlyTheOperatorsEntryIsTheConfiguration)
{
    const Decoder decoder = makeDecoder();
    const std::string body = R"({"version":9,"routes":[],"services":[]})";
    EXPECT_TRUE(decoder.decodePolicy({ .name = "main", .body = body }));
    for (const std::string name : { "", "main ", "main (copy)", "Main", "other" })
        EXPECT_FALSE(decoder.decodePolicy({ .name = name, .body = body })) << name;
}

} // namespace arbutuscrank::platform
