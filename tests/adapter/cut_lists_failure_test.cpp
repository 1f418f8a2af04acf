#include "adapter/paged_store.hpp"
#include "decoder.hpp"
#include "store.hpp"
#include "wire_names.hpp"

#include "node/entry_node.hpp"

#include <gtest/gtest.h>

#include <boost/asio/read.hpp>

#include <optional>
#include <set>
#include <thread>

/// \file
/// \brief Lists of the store that cannot be read to their end, because none of the names on a page can be read.

namespace arbutuscrank::platform {

namespace {

    using node::Collection;
    using Json = nlohmann::json;
    using Names = std::set<std::string>;

    constexpr std::size_t pageSize = 3;

    const Names targets { "t-00", "t-01", "t-02", "t-03", "t-04", "t-05", "t-06", "t-07" };
    const std::string targetSpec
        = R"({"service":"s","address":"10.0.0.1:80","zone":"zone-a","state":"ready","slots":6})";
    const std::string oddSpec = R"({"service":5,"state":"parked"})";
    const std::string memberSpec
        = R"({"region":"r","failureDomain":"zone-b","callerAddress":"127.0.0.1:1","reportAddress":"127.0.0.1:2"})";

    /// The store with all targets, and a VM that reads it.
    struct CutListFailure : testing::Test {
        CutListFailure()
            : server(context, pageSize)
        {
            settings.vm = "vm-1";
            settings.region = "r";
            settings.failureDomain = "zone-a";
            settings.regionOfFailureDomain = { { "zone-a", "r" }, { "zone-b", "r" } };
            settings.logLevel = "off";
            settings.storeAddress = server.address();
            for (auto* address : { &settings.callerAddress, &settings.readinessAddress, &settings.lookupAddress,
                     &settings.reportAddress, &settings.metricsAddress })
                *address = node::test::freeAddress();
            server.put("config", "main", R"({"version":9,"routes":[],"services":[]})");
            for (const auto& name : targets)
                server.put("servers", name, targetSpec);
        }

        void startVm()
        {
            node::PlatformBinding platform;
            platform.headers = headerNames();
            platform.paths = { std::string(readinessPath), std::string(lookupPath) };
            platform.store = std::make_shared<MetadataStore>(context, server.endpoint(), server.address());
            platform.decoder = std::make_shared<Decoder>(settings.regionOfFailureDomain);
            vm.emplace(context, settings, std::move(platform));
            ASSERT_TRUE(vm->start());
        }

        /// Puts more entries without a readable name before all others than a page holds.
        void putNamelessPage(const std::string& kind)
        {
            for (const auto* key : { "a-0", "a-1", "a-2" })
                server.putNameless(kind, key, oddSpec);
        }

        /// Sends a GET request. \returns the whole answer
        std::string get(const std::string& address, const std::string& path)
        {
            node::Tcp::socket socket(context);
            socket.connect(node::parseEndpoint(address).value());
            node::test::writeText(socket, "GET " + path + " HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n");
            std::string answer;
            bool hasEnded = false;
            node::asio::async_read(
                socket, node::asio::dynamic_buffer(answer), [&](node::SystemError, std::size_t) { hasEnded = true; });
            EXPECT_TRUE(node::test::runUntil(context, [&] { return hasEnded; }));
            return answer;
        }

        Json dump()
        {
            const auto answer = get(settings.metricsAddress, "/v1/dump");
            return Json::parse(answer.substr(answer.find("\r\n\r\n") + 4));
        }

        bool isReady() { return get(settings.readinessAddress, std::string(readinessPath)).find(" 200 ") < 20; }

        static Names names(const Json& objects, const char* key)
        {
            Names out;
            for (const auto& object : objects)
                out.insert(object.at(key).get<std::string>());
            return out;
        }

        Names knownTargets() { return names(dump().at("targets"), "id"); }

        /// Waits until the VM has read each collection, and as often again as it has been read so far.
        bool waitForLists()
        {
            const auto before = server.listsByKind;
            server.endHistory();
            return node::test::runUntil(context, [&] {
                return std::ranges::all_of(before, [&](const auto& it) {
                    return server.listsByKind[it.first] > it.second && server.hasWatch(it.first);
                });
            });
        }

        node::asio::io_context context;
        test::PagedStore server;
        entry::EntrySettings settings;
        std::optional<node::EntryNode> vm;
    };

    struct NamelessPages : CutListFailure, testing::WithParamInterface<Names> { };

} // namespace

// Guards against VMs that drop all targets, VMs and evacuations that they know, because entries without a readable name
// hide these when the collections are listed again.
TEST_F(CutListFailure, ACutListRemovesNothingThatIsKnown)
{
    server.refusesUnknownNames = true;
    server.put("entry-members", "vm-2", memberSpec);
    server.put("evacuations", "zone-b", "{}");
    startVm();
    ASSERT_TRUE(node::test::runUntil(context, [&] { return server.hasWatch("servers") && isReady(); }));
    ASSERT_EQ(knownTargets(), targets);
    for (const auto* kind : { "servers", "evacuations", "entry-members" })
        putNamelessPage(kind);
    ASSERT_TRUE(waitForLists());
    const auto state = dump();
    EXPECT_EQ(names(state.at("targets"), "id"), targets);
    EXPECT_EQ(names(state.at("members"), "vm"), Names { "vm-2" });
    EXPECT_EQ(state.at("evacuated"), Json { "zone-b" });
    EXPECT_TRUE(isReady());
}

// Guards against a VM that look-ups name and that cannot serve any request, because its list of targets was cut before
// the first one, and against a cut list that operators can see in the log only.
TEST_F(CutListFailure, AVmWithoutTargetsAfterACutListIsNotReady)
{
    const auto gapsMetric
        = [](int n) { return "arbutuscrank_collection_list_gaps{collection=\"targets\"} " + std::to_string(n) + '\n'; };
    server.refusesUnknownNames = true;
    putNamelessPage("servers");
    startVm();
    ASSERT_TRUE(node::test::runUntil(context, [&] { return server.hasWatch("servers") && server.hasWatch("config"); }));
    const auto answer = get(settings.readinessAddress, std::string(readinessPath));
    EXPECT_NE(answer.find(" 503 "), std::string::npos) << answer;
    EXPECT_NE(answer.find("names no target"), std::string::npos) << answer;
    EXPECT_NE(get(settings.metricsAddress, "/metrics").find(gapsMetric(1)), std::string::npos);
    server.refusesUnknownNames = false;
    ASSERT_TRUE(waitForLists());
    EXPECT_TRUE(isReady());
    EXPECT_NE(get(settings.metricsAddress, "/metrics").find(gapsMetric(1)), std::string::npos);
    for (const auto* key : { "a-0", "a-1", "a-2" })
        server.objects.erase({ "servers", key });
    ASSERT_TRUE(waitForLists());
    EXPECT_NE(get(settings.metricsAddress, "/metrics").find(gapsMetric(0)), std::string::npos);
}

// CONFIG. Guards against withdrawn keys that go on working, because a list that hides a change of the configuration
// counts as proof that there is none.
TEST_F(CutListFailure, AListThatHidesTheConfigurationDoesNotConfirmIt)
{
    constexpr std::int64_t ageMs = 300;
    server.refusesUnknownNames = true;
    startVm();
    ASSERT_TRUE(node::test::runUntil(context, [&] { return server.hasWatch("config") && isReady(); }));
    std::this_thread::sleep_for(std::chrono::milliseconds(ageMs));
    putNamelessPage("config");
    ASSERT_TRUE(waitForLists());
    EXPECT_GE(dump().at("configurationConfirmedMsAgo").get<std::int64_t>(), ageMs);
    for (const auto* key : { "a-0", "a-1", "a-2" })
        server.objects.erase({ "config", key });
    const auto listedAfter = std::chrono::steady_clock::now();
    ASSERT_TRUE(waitForLists());
    const auto confirmedMsAgo = dump().at("configurationConfirmedMsAgo").get<std::int64_t>();
    const auto elapsed = std::chrono::steady_clock::now() - listedAfter;
    EXPECT_LT(confirmedMsAgo, elapsed / std::chrono::milliseconds(1) + ageMs);
}

// RECOVER. Guards against VMs that start and serve nothing, because pages without one readable name hide the targets.
TEST_P(NamelessPages, AVmThatStartsFindsTheTargetsBehindThem)
{
    for (const auto& prefix : GetParam()) {
        for (const char digit : std::string_view("0123456"))
            server.putNameless("servers", prefix + digit, oddSpec);
    }
    startVm();
    ASSERT_TRUE(node::test::runUntil(context, [&] { return server.hasWatch("servers"); }));
    EXPECT_EQ(knownTargets(), targets);
    EXPECT_TRUE(isReady());
}

// Before all targets, under names that begin like theirs, between two of them, and in two places.
INSTANTIATE_TEST_SUITE_P(CutListFailure, NamelessPages,
    testing::Values(Names { "a-" }, Names { "t-!" }, Names { "t-03x" }, Names { "t-0!", "t-05x" }));

} // namespace arbutuscrank::platform
