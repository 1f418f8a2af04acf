#include "node/entry_node.hpp"

#include "node/loopback.hpp"
#include "node/memory_store.hpp"
#include "node/target_fixture.hpp"

#include <gtest/gtest.h>

#include <atomic>

namespace arbutuscrank::node::test {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    /// One open route to one target.
    struct OneTargetDecoder : StoreDecoder {
        explicit OneTargetDecoder(std::string targetAddress)
            : address(std::move(targetAddress))
        {
        }

        [[nodiscard]] Result<entry::TrafficPolicy> decodePolicy(const StoreObject&) const override
        {
            return entry::TrafficPolicy { .version = 1,
                .routes = { { .name = "downloads",
                    .host = "shop.example",
                    .pathPrefix = "/",
                    .idempotent = true,
                    .timeout = seconds(3),
                    .open = true,
                    .services = { { "files", 1 } } } },
                .services = { { .name = "files" } } };
        }
        [[nodiscard]] Result<entry::TargetRecord> decodeTarget(const StoreObject&) const override
        {
            entry::TargetRecord record;
            record.id = "t-1";
            record.service = "files";
            record.address = address;
            record.region = "r";
            record.failureDomain = "d";
            record.slots = 6;
            return record;
        }

        std::string address;
    };

    /// A VM whose target answers with a body that exceeds the buffers of a connection, and a caller that has sent a
    /// request and reads nothing yet.
    struct PlannedStopFailure : testing::Test {
        PlannedStopFailure()
        {
            settings.vm = "vm-1";
            settings.region = "r";
            settings.failureDomain = "d";
            settings.regionOfFailureDomain = { { "d", "r" } };
            settings.logLevel = "off";
            settings.bounds.stopGrace = milliseconds(5400);
            for (auto* address : { &settings.callerAddress, &settings.readinessAddress, &settings.lookupAddress,
                     &settings.reportAddress, &settings.metricsAddress })
                *address = freeAddress();
            PlatformBinding platform;
            platform.headers = makeHeaderNames();
            platform.store = store;
            platform.decoder = std::make_shared<OneTargetDecoder>(target.address());
            node.emplace(context, settings, std::move(platform));
            EXPECT_TRUE(node->start());
            EXPECT_TRUE(
                runUntil(context, [&] { return static_cast<bool>(store->pendingWatches[Collection::Targets]); }));
            caller.open(Tcp::v4());
            caller.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes));
            caller.connect(parseEndpoint(settings.callerAddress).value());
            caller.non_blocking(true);
            writeText(caller, "GET /a HTTP/1.1\r\nHost: shop.example\r\nId: r1\r\n\r\n");
            EXPECT_TRUE(runUntil(context, [&] { return hasTargetAnswered.load(); }));
            context.restart();
            context.run_for(milliseconds(300)); // the rest of the answer arrives
        }

        /// Runs the event loop until the process would end. \returns the time that took, at most \p limit
        Duration runUntilEnd(Duration limit)
        {
            const auto start = std::chrono::steady_clock::now();
            while (!context.stopped() && std::chrono::steady_clock::now() - start < limit)
                context.run_for(milliseconds(10));
            return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - start);
        }

        /// Reads until the connection ends, while the event loop runs. \returns the number of bytes
        std::size_t readToEnd()
        {
            std::size_t total = 0;
            const auto end = std::chrono::steady_clock::now() + seconds(5);
            for (SystemError ec; !ec || ec == asio::error::would_block;) {
                std::array<char, 65536> buf {};
                total += caller.read_some(asio::buffer(buf), ec);
                context.run_for(milliseconds(1));
                if (std::chrono::steady_clock::now() > end)
                    break;
            }
            return total;
        }

        static constexpr std::size_t answerBytes = 16U << 20U;
        static constexpr int receiveBufferBytes = 256 << 10;

        std::atomic<bool> hasTargetAnswered { false };
        ScriptedServer target { [this](Tcp::socket& socket, int) {
            if (readRequest(socket).empty())
                return;
            writeText(socket, answer("r1", std::string(answerBytes, 'x')));
            hasTargetAnswered = true;
        } };
        asio::io_context context;
        entry::EntrySettings settings;
        std::shared_ptr<MemoryStore> store = std::make_shared<MemoryStore>();
        std::optional<EntryNode> node;
        Tcp::socket caller { context };
    };

} // namespace

// Guards against a stop that ends the process while it writes the answer of its last request.
TEST_F(PlannedStopFailure, AnswerThatIsBeingWrittenArrivesWhole)
{
    settings.bounds.stopGrace = seconds(20); // the end of the grace is not what the test is about
    node->applySettings(settings);
    node->requestStop();
    runUntilEnd(milliseconds(4200)); // callers are accepted for 3.2 s
    EXPECT_FALSE(context.stopped());
    EXPECT_GT(readToEnd(), answerBytes);
    caller.close();
    EXPECT_LT(runUntilEnd(seconds(1)), seconds(1)) << "the process did not end after its last answer";
}

// Guards against a stop that does not end because a caller does not read its answer.
TEST_F(PlannedStopFailure, CallerThatDoesNotReadDelaysTheEndForNoLongerThanTheGrace)
{
    node->requestStop();
    EXPECT_LE(runUntilEnd(2 * settings.bounds.stopGrace), settings.bounds.stopGrace);
    EXPECT_TRUE(context.stopped());
}

// Guards against a stop that resets the connections that the kernel has accepted and the process has not.
TEST_F(PlannedStopFailure, ConnectionsInTheListenQueueAreAnswered)
{
    node->requestStop();
    context.restart();
    context.run_for(milliseconds(2800));
    std::vector<Tcp::socket> callers;
    for (int i = 0; i < 5; ++i) {
        callers.emplace_back(context);
        callers.back().connect(parseEndpoint(settings.callerAddress).value());
        callers.back().non_blocking(true);
        writeText(callers.back(), "GET /a HTTP/1.1\r\nHost: shop.example\r\nId: r2\r\n\r\n");
    }
    std::this_thread::sleep_for(milliseconds(700)); // the event loop does not run until callers are accepted no more
    for (auto& it : callers) {
        std::string text;
        (void)runUntil(context, [&] {
            std::array<char, 4096> buf {};
            SystemError ec;
            const auto n = it.read_some(asio::buffer(buf), ec);
            text.append(buf.data(), n);
            return n != 0 || ec != asio::error::would_block;
        });
        EXPECT_NE(text.find("HTTP/1.1 503"), std::string::npos) << text;
    }
}

} // namespace arbutuscrank::node::test
