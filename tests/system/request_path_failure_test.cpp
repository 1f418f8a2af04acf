#include "node/odd_messages.hpp"
#include "system/cluster.hpp"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <thread>

using namespace arbutuscrank;
using namespace arbutuscrank::tests;

namespace {

std::string findOwner(const Cluster& cluster, std::size_t n, const std::string& target)
{
    const auto tree = cluster.dumpState(n);
    for (const auto& it : tree.at("targets")) {
        if (it.at("target") == target)
            return it.at("owner");
    }
    return {};
}

/// TCP connection of a caller; the test can observe when the daemon closes it.
class RawConnection {
public:
    explicit RawConnection(const std::string& address)
        : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const auto endpoint = parseEndpoint(address).value();
        sockaddr_in name {};
        name.sin_family = AF_INET;
        name.sin_port = htons(endpoint.port);
        inet_pton(AF_INET, endpoint.host.c_str(), &name.sin_addr);
        m_connected = connect(m_socket, reinterpret_cast<sockaddr*>(&name), sizeof name) == 0;
    }
    ~RawConnection() { close(m_socket); }
    RawConnection(const RawConnection&) = delete;
    RawConnection& operator=(const RawConnection&) = delete;

    [[nodiscard]] bool isConnected() const noexcept { return m_connected; }

    void send(const std::string& text) const { (void)::send(m_socket, text.data(), text.size(), MSG_NOSIGNAL); }

    /// Ends the sending direction and reads until the daemon closes the connection.
    void finish() const
    {
        shutdown(m_socket, SHUT_WR);
        std::array<char, 4096> buf {};
        while (recv(m_socket, buf.data(), buf.size(), 0) > 0) { }
    }

    /// Reads until \p text arrives. Returns false if the connection ends before.
    [[nodiscard]] bool readUntil(const std::string& text) const
    {
        std::string received;
        std::array<char, 4096> buf {};
        while (received.find(text) == std::string::npos) {
            const auto n = recv(m_socket, buf.data(), buf.size(), 0);
            if (n <= 0)
                return false;
            received.append(buf.data(), static_cast<std::size_t>(n));
        }
        return true;
    }

    [[nodiscard]] bool isClosed() const
    {
        pollfd descriptor { m_socket, POLLIN, 0 };
        std::array<char, 4096> buf {};
        return poll(&descriptor, 1, 0) > 0 && recv(m_socket, buf.data(), buf.size(), MSG_DONTWAIT) == 0;
    }

private:
    int m_socket;
    bool m_connected = false;
};

std::string makeRequestWithKey(const std::string& method, const std::string& path)
{
    return method + " " + path + " HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + Cluster::callerKey
        + "\r\nContent-Length: 0\r\n\r\n";
}

} // namespace

// Guards against a second run of a non-idempotent request, against the outcome "not-run" for it, and against a target
// without an owner, after the owner of the target is killed while it runs a forwarded request.
TEST(RequestPathFailure, OwnerKilledDuringForwardedRequest)
{
    Cluster cluster({ { "caerdydd" }, 2, 1 });
    ASSERT_TRUE(cluster.start());
    const std::size_t owner = findOwner(cluster, 0, "kitty-0") == "vm-0" ? 0 : 1;
    const std::size_t entry = 1 - owner;
    cluster.setTargetBehaviour(0, { { "delayMs", 2000 } });
    Result<HttpAnswer> answer = Error {};
    std::thread caller(
        [&] { answer = cluster.request(entry, "POST", "/kitty/pledges", { "X-Test-Tag: killed" }, "{}"); });
    ASSERT_TRUE(eventually([&] { return cluster.countExecutions("killed") == 1; }));
    cluster.daemon(owner).signal(SIGKILL);
    caller.join();
    EXPECT_EQ(statusOf(answer), 502) << cluster.readLogs();
    EXPECT_EQ(outcomeOf(answer), "unknown");
    EXPECT_EQ(cluster.countExecutions("killed"), 1U);
    cluster.setTargetBehaviour(0, { { "delayMs", 0 } });
    EXPECT_TRUE(eventually([&] { return statusOf(cluster.request(entry, "GET", "/kitty/x")) == 200; }));
}

// Guards against a second run and against a caller that waits past its deadline when the owner of the target is paused
// while it runs a forwarded request, and resumes later.
TEST(RequestPathFailure, OwnerPausedDuringForwardedRequest)
{
    Cluster cluster({ { "caerdydd" }, 2, 1 });
    ASSERT_TRUE(cluster.start());
    const std::size_t owner = findOwner(cluster, 0, "kitty-0") == "vm-0" ? 0 : 1;
    const std::size_t entry = 1 - owner;
    cluster.setTargetBehaviour(0, { { "delayMs", 1000 } });
    Result<HttpAnswer> answer = Error {};
    std::thread caller([&] {
        answer = cluster.request(
            entry, "POST", "/kitty/pledges", { "X-Test-Tag: frozen", "X-Request-Timeout-Ms: 2000" }, "{}");
    });
    ASSERT_TRUE(eventually([&] { return cluster.countExecutions("frozen") == 1; }));
    cluster.daemon(owner).signal(SIGSTOP);
    caller.join();
    EXPECT_TRUE(statusOf(answer) == 502 || statusOf(answer) == 504) << statusOf(answer);
    EXPECT_EQ(outcomeOf(answer), "unknown");
    cluster.daemon(owner).signal(SIGCONT);
    cluster.setTargetBehaviour(0, { { "delayMs", 0 } });
    EXPECT_TRUE(eventually([&] { return statusOf(cluster.request(entry, "GET", "/kitty/x")) == 200; }));
    EXPECT_EQ(cluster.countExecutions("frozen"), 1U);
}

// Guards against refused requests while healthy targets remain, after one target was killed.
TEST(RequestPathFailure, DeadTargetIsLeftOut)
{
    Cluster cluster({ { "caerdydd" }, 2, 3 });
    ASSERT_TRUE(cluster.start());
    cluster.target(1).signal(SIGKILL);
    for (int n = 0; n < 30; ++n) {
        const auto tag = "dead-" + std::to_string(n);
        const auto answer = cluster.request(
            static_cast<std::size_t>(n % 2), "POST", "/kitty/pledges", { "X-Test-Tag: " + tag }, "{}");
        const bool ran = statusOf(answer) == 200;
        EXPECT_TRUE(ran || outcomeOf(answer) == "not-run" || outcomeOf(answer) == "unknown");
        EXPECT_LE(cluster.countExecutions(tag), ran ? 1U : 0U);
    }
    EXPECT_TRUE(eventually([&] { return statusOf(cluster.request(0, "POST", "/kitty/pledges", {}, "{}")) == 200; }));
}

// Guards against refusals of callers within their rate during a store outage, and against a daemon that cannot serve
// after a restart during the outage although its peers have the configuration.
TEST(RequestPathFailure, StoreOutageKeepsServingAndRestartsFromPeers)
{
    Cluster cluster({ { "caerdydd", "bangor", "aberyst" }, 2, 1 });
    ASSERT_TRUE(cluster.start());
    cluster.setPlatformFaults({ { "down", true } });
    cluster.daemon(1).signal(SIGKILL);
    cluster.daemon(1).wait();
    cluster.startDaemon(1);
    const auto stalenessMs
        = [&] { return cluster.dumpState(0).at("configuration").at("freshAgeMs").get<std::int64_t>(); };
    EXPECT_TRUE(eventually([&] { return stalenessMs() > 7000; }));
    for (std::size_t n = 0; n < cluster.daemonCount(); ++n) {
        if (n != 1) {
            EXPECT_EQ(statusOf(cluster.request(n, "GET", "/kitty/x")), 200) << n;
        }
    }
    EXPECT_TRUE(
        eventually([&] { return statusOf(cluster.request(1, "GET", "/kitty/public/x", {}, {}, false)) == 200; }));
}

// Guards against a daemon that exits or discards its configuration when the store returns bytes that are not JSON.
TEST(RequestPathFailure, InvalidStoreAnswersKeepTheConfiguration)
{
    Cluster cluster({ { "caerdydd" }, 2, 1 });
    ASSERT_TRUE(cluster.start());
    cluster.setPlatformFaults({ { "garbage", true } });
    std::this_thread::sleep_for(std::chrono::seconds(4));
    for (std::size_t n = 0; n < cluster.daemonCount(); ++n) {
        EXPECT_EQ(statusOf(cluster.request(n, "GET", "/kitty/x")), 200);
        EXPECT_EQ(cluster.dumpState(n).at("configuration").at("version"), 1);
    }
    cluster.setPlatformFaults({ { "garbage", false } });
    EXPECT_EQ(
        statusOf(cluster.sendAdminRequest(0, "POST", "/v1/drains", {}, R"({"kind":"target","name":"kitty-0"})")), 200);
}

// Guards against a change that is applied twice because the store's answer was lost and the operator retries it, and
// against two concurrent changes based on the same version that both succeed.
TEST(RequestPathFailure, ChangesApplyOnceDespiteLostAnswersAndConcurrentOperators)
{
    Cluster cluster({ { "caerdydd" }, 2, 1 });
    ASSERT_TRUE(cluster.start());
    auto first = cluster.document;
    first["accounts"][0]["ratePerSecond"] = 900;
    cluster.setPlatformFaults({ { "loseAnswers", 1 } });
    const std::vector<std::string> headers { "If-Match: 1", "X-Change-Id: change-a" };
    EXPECT_EQ(statusOf(cluster.sendAdminRequest(0, "PUT", "/v1/config", headers, first.dump())), 200);
    const auto retried = cluster.sendAdminRequest(1, "PUT", "/v1/config", headers, first.dump());
    ASSERT_EQ(statusOf(retried), 200);
    EXPECT_EQ(nlohmann::json::parse(retried.value().body).at("version"), 2);

    auto other = first;
    other["accounts"][0]["ratePerSecond"] = 800;
    first["accounts"][0]["ratePerSecond"] = 700;
    Result<HttpAnswer> firstAnswer = Error {};
    std::thread competingOperator(
        [&] { firstAnswer = cluster.sendAdminRequest(0, "PUT", "/v1/config", { "If-Match: 2" }, first.dump()); });
    const auto secondAnswer = cluster.sendAdminRequest(1, "PUT", "/v1/config", { "If-Match: 2" }, other.dump());
    competingOperator.join();
    EXPECT_EQ((statusOf(firstAnswer) == 200) + (statusOf(secondAnswer) == 200), 1);
    EXPECT_EQ((statusOf(firstAnswer) == 409) + (statusOf(secondAnswer) == 409), 1);
}

// Guards against an idle connection that stays open, and against a request in flight that still gets its answer, after
// the key of both callers is withdrawn.
TEST(RequestPathFailure, WithdrawalEndsIdleConnectionsAndAnswersInFlight)
{
    Cluster cluster({ { "caerdydd" }, 2, 1 });
    ASSERT_TRUE(cluster.start());
    const RawConnection idle(cluster.callerAddress(0));
    ASSERT_TRUE(idle.isConnected());
    idle.send(makeRequestWithKey("GET", "/kitty/x"));
    ASSERT_TRUE(idle.readUntil("\"target\""));
    EXPECT_FALSE(idle.isClosed());
    cluster.setTargetBehaviour(0, { { "hang", true } });
    Result<HttpAnswer> answer = Error {};
    std::thread caller([&] {
        answer = cluster.request(1, "GET", "/kitty/hang", { "X-Test-Tag: hang", "X-Request-Timeout-Ms: 20000" });
    });
    ASSERT_TRUE(eventually([&] { return cluster.countExecutions("hang") == 1; }));
    EXPECT_EQ(statusOf(cluster.sendAdminRequest(0, "POST", "/v1/accounts/acme/keys/k1/withdraw")), 200);
    EXPECT_TRUE(eventually([&] { return idle.isClosed(); }));
    caller.join();
    EXPECT_EQ(statusOf(answer), 403) << (answer ? answer.value().body : describe(answer.error())) << cluster.readLogs();
    EXPECT_EQ(outcomeOf(answer), "unknown");
    EXPECT_EQ(cluster.countExecutions("hang"), 1U);
}

// Guards against slots that stay occupied by requests whose callers have disconnected.
TEST(RequestPathFailure, DisconnectedCallerFreesTheSlot)
{
    Cluster cluster({ { "caerdydd" }, 2, 1 });
    ASSERT_TRUE(cluster.start());
    cluster.setTargetBehaviour(0, { { "hang", true } });
    for (std::size_t n = 0; n < cluster.daemonCount(); ++n) {
        auto connection = std::make_unique<RawConnection>(cluster.callerAddress(n));
        connection->send(makeRequestWithKey("GET", "/kitty/hang"));
        ASSERT_TRUE(eventually([&] { return cluster.dumpState(n).at("requests").at("inFlight") != 0; }));
        connection.reset();
        EXPECT_TRUE(eventually(
            [&] {
                return cluster.dumpState(0).at("requests").at("inFlight") == 0
                    && cluster.dumpState(1).at("requests").at("inFlight") == 0;
            },
            std::chrono::seconds(4)))
            << "the request at entry " << n
            << " is still in flight 4 s after its caller disconnected; its deadline is 5 s";
    }
}

// Guards against a message with one long part that ends a daemon, sent by callers or to the operators' listener.
TEST(RequestPathFailure, MessagesWithALongPartEndNoDaemon)
{
    using namespace arbutuscrank::node::test;
    Cluster cluster({ { "caerdydd" }, 1, 1 });
    ASSERT_TRUE(cluster.start());
    for (const auto& address : { cluster.callerAddress(0), cluster.adminAddress(0) }) {
        for (const auto part : oddParts) {
            for (const auto length : oddLengths) {
                const RawConnection connection(address);
                ASSERT_TRUE(connection.isConnected()) << toString(part) << ' ' << length;
                connection.send(makeOddMessage("POST /kitty/a HTTP/1.1", "Host: h\r\n", part, length));
                connection.finish();
            }
        }
    }
    const RawConnection sound(cluster.callerAddress(0));
    sound.send(makeRequestWithKey("GET", "/kitty/a"));
    EXPECT_TRUE(sound.readUntil("HTTP/1.1 200")) << cluster.readLogs();
    EXPECT_EQ(statusOf(cluster.sendAdminRequest(0, "GET", "/v1/dump")), 200) << cluster.readLogs();
}
