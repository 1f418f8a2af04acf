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

std::string ownerOf(const Cluster& cluster, std::size_t n, const std::string& target)
{
    const auto tree = cluster.dump(n);
    for (const auto& it : tree.at("targets")) {
        if (it.at("target") == target)
            return it.at("owner");
    }
    return {};
}

/// A caller's connection whose end can be observed.
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

    /// Reads until the text has come or the connection ended.
    [[nodiscard]] bool readUntil(const std::string& text) const
    {
        std::string seen;
        std::array<char, 4096> buf {};
        while (seen.find(text) == std::string::npos) {
            const auto n = recv(m_socket, buf.data(), buf.size(), 0);
            if (n <= 0)
                return false;
            seen.append(buf.data(), static_cast<std::size_t>(n));
        }
        return true;
    }

    [[nodiscard]] bool isClosed() const
    {
        pollfd item { m_socket, POLLIN, 0 };
        std::array<char, 4096> buf {};
        return poll(&item, 1, 0) > 0 && recv(m_socket, buf.data(), buf.size(), MSG_DONTWAIT) == 0;
    }

private:
    int m_socket;
    bool m_connected = false;
};

std::string keyedRequest(const std::string& method, const std::string& path)
{
    return method + " " + path + " HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + Cluster::callerKey
        + "\r\nContent-Length: 0\r\n\r\n";
}

} // namespace

// Fault: the owner of a target is killed while it runs a forwarded request. Guards against a second run of a
// non-idempotent request, against calling it "not run", and against a target that nobody takes over.
TEST(RequestPathFailure, OwnerKilledDuringForwardedRequest)
{
    Cluster cluster({ { "caerdydd" }, 2, 1 });
    ASSERT_TRUE(cluster.start());
    const std::size_t owner = ownerOf(cluster, 0, "kitty-0") == "vm-0" ? 0 : 1;
    const std::size_t entry = 1 - owner;
    cluster.control(0, { { "delayMs", 2000 } });
    Result<HttpAnswer> answer = Error {};
    std::thread caller(
        [&] { answer = cluster.request(entry, "POST", "/kitty/pledges", { "X-Test-Tag: killed" }, "{}"); });
    ASSERT_TRUE(eventually([&] { return cluster.executions("killed") == 1; }));
    cluster.daemon(owner).signal(SIGKILL);
    caller.join();
    EXPECT_EQ(statusOf(answer), 502) << cluster.logs();
    EXPECT_EQ(outcomeOf(answer), "unknown");
    EXPECT_EQ(cluster.executions("killed"), 1U);
    cluster.control(0, { { "delayMs", 0 } });
    EXPECT_TRUE(eventually([&] { return statusOf(cluster.request(entry, "GET", "/kitty/x")) == 200; }));
}

// Fault: the owner is frozen while it runs a request, and goes on later. Guards against a second run, and against a
// caller that waits past its deadline.
TEST(RequestPathFailure, OwnerFrozenDuringForwardedRequest)
{
    Cluster cluster({ { "caerdydd" }, 2, 1 });
    ASSERT_TRUE(cluster.start());
    const std::size_t owner = ownerOf(cluster, 0, "kitty-0") == "vm-0" ? 0 : 1;
    const std::size_t entry = 1 - owner;
    cluster.control(0, { { "delayMs", 1000 } });
    Result<HttpAnswer> answer = Error {};
    std::thread caller([&] {
        answer = cluster.request(
            entry, "POST", "/kitty/pledges", { "X-Test-Tag: frozen", "X-Request-Timeout-Ms: 2000" }, "{}");
    });
    ASSERT_TRUE(eventually([&] { return cluster.executions("frozen") == 1; }));
    cluster.daemon(owner).signal(SIGSTOP);
    caller.join();
    EXPECT_TRUE(statusOf(answer) == 502 || statusOf(answer) == 504) << statusOf(answer);
    EXPECT_EQ(outcomeOf(answer), "unknown");
    cluster.daemon(owner).signal(SIGCONT);
    cluster.control(0, { { "delayMs", 0 } });
    EXPECT_TRUE(eventually([&] { return statusOf(cluster.request(entry, "GET", "/kitty/x")) == 200; }));
    EXPECT_EQ(cluster.executions("frozen"), 1U);
}

// Fault: a target is dead before a request is sent. Guards against refusals although another target is up.
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
        EXPECT_LE(cluster.executions(tag), ran ? 1U : 0U);
    }
    EXPECT_TRUE(eventually([&] { return statusOf(cluster.request(0, "POST", "/kitty/pledges", {}, "{}")) == 200; }));
}

// Fault: the store is down. Guards against refusals of callers inside their rate, and against a restarted daemon that
// cannot serve without the store.
TEST(RequestPathFailure, StoreDownServesOnAndRestartsFromPeers)
{
    Cluster cluster({ { "caerdydd", "bangor", "aberyst" }, 2, 1 });
    ASSERT_TRUE(cluster.start());
    cluster.faults({ { "down", true } });
    cluster.daemon(1).signal(SIGKILL);
    cluster.daemon(1).wait();
    cluster.startDaemon(1);
    const auto freshness = [&] { return cluster.dump(0).at("configuration").at("freshAgeMs").get<std::int64_t>(); };
    EXPECT_TRUE(eventually([&] { return freshness() > 7000; }));
    for (std::size_t n = 0; n < cluster.daemons(); ++n) {
        if (n != 1) {
            EXPECT_EQ(statusOf(cluster.request(n, "GET", "/kitty/x")), 200) << n;
        }
    }
    EXPECT_TRUE(
        eventually([&] { return statusOf(cluster.request(1, "GET", "/kitty/public/x", {}, {}, false)) == 200; }));
}

// Fault: the store answers garbage. Guards against a daemon that stops or drops its configuration.
TEST(RequestPathFailure, GarbageFromTheStoreChangesNothing)
{
    Cluster cluster({ { "caerdydd" }, 2, 1 });
    ASSERT_TRUE(cluster.start());
    cluster.faults({ { "garbage", true } });
    std::this_thread::sleep_for(std::chrono::seconds(4));
    for (std::size_t n = 0; n < cluster.daemons(); ++n) {
        EXPECT_EQ(statusOf(cluster.request(n, "GET", "/kitty/x")), 200);
        EXPECT_EQ(cluster.dump(n).at("configuration").at("version"), 1);
    }
    cluster.faults({ { "garbage", false } });
    EXPECT_EQ(statusOf(cluster.operate(0, "POST", "/v1/drains", {}, R"({"kind":"target","name":"kitty-0"})")), 200);
}

// Faults: the answer to a change is lost, and two operators race. Guards against a change made twice or half.
TEST(RequestPathFailure, LostAnswersAndRacingOperators)
{
    Cluster cluster({ { "caerdydd" }, 2, 1 });
    ASSERT_TRUE(cluster.start());
    auto first = cluster.document;
    first["accounts"][0]["ratePerSecond"] = 900;
    cluster.faults({ { "loseAnswers", 1 } });
    const std::vector<std::string> headers { "If-Match: 1", "X-Change-Id: change-a" };
    EXPECT_EQ(statusOf(cluster.operate(0, "PUT", "/v1/config", headers, first.dump())), 200);
    const auto again = cluster.operate(1, "PUT", "/v1/config", headers, first.dump());
    ASSERT_EQ(statusOf(again), 200);
    EXPECT_EQ(nlohmann::json::parse(again.value().body).at("version"), 2);

    auto other = first;
    other["accounts"][0]["ratePerSecond"] = 800;
    first["accounts"][0]["ratePerSecond"] = 700;
    Result<HttpAnswer> left = Error {};
    std::thread rival([&] { left = cluster.operate(0, "PUT", "/v1/config", { "If-Match: 2" }, first.dump()); });
    const auto right = cluster.operate(1, "PUT", "/v1/config", { "If-Match: 2" }, other.dump());
    rival.join();
    EXPECT_EQ((statusOf(left) == 200) + (statusOf(right) == 200), 1);
    EXPECT_EQ((statusOf(left) == 409) + (statusOf(right) == 409), 1);
}

// Fault: a key is withdrawn from callers that are connected, one idle and one waiting for an answer. Guards against
// an idle connection that stays open and an answer that goes on.
TEST(RequestPathFailure, WithdrawalEndsIdleConnectionsAndAnswersInFlight)
{
    Cluster cluster({ { "caerdydd" }, 2, 1 });
    ASSERT_TRUE(cluster.start());
    const RawConnection idle(cluster.callerAddress(0));
    ASSERT_TRUE(idle.isConnected());
    idle.send(keyedRequest("GET", "/kitty/x"));
    ASSERT_TRUE(idle.readUntil("\"target\""));
    EXPECT_FALSE(idle.isClosed());
    cluster.control(0, { { "hang", true } });
    Result<HttpAnswer> answer = Error {};
    std::thread caller([&] {
        answer = cluster.request(1, "GET", "/kitty/hang", { "X-Test-Tag: hang", "X-Request-Timeout-Ms: 20000" });
    });
    ASSERT_TRUE(eventually([&] { return cluster.executions("hang") == 1; }));
    EXPECT_EQ(statusOf(cluster.operate(0, "POST", "/v1/accounts/acme/keys/k1/withdraw")), 200);
    EXPECT_TRUE(eventually([&] { return idle.isClosed(); }));
    caller.join();
    EXPECT_EQ(statusOf(answer), 403) << (answer ? answer.value().body : describe(answer.error())) << cluster.logs();
    EXPECT_EQ(outcomeOf(answer), "unknown");
    EXPECT_EQ(cluster.executions("hang"), 1U);
}

// Fault: a caller goes away while its request runs. Guards against slots that stay taken by work nobody waits for.
TEST(RequestPathFailure, CallerThatGoesAwayFreesTheSlot)
{
    Cluster cluster({ { "caerdydd" }, 2, 1 });
    ASSERT_TRUE(cluster.start());
    cluster.control(0, { { "hang", true } });
    for (std::size_t n = 0; n < cluster.daemons(); ++n) {
        auto connection = std::make_unique<RawConnection>(cluster.callerAddress(n));
        connection->send(keyedRequest("GET", "/kitty/hang"));
        ASSERT_TRUE(eventually([&] { return cluster.dump(n).at("requests").at("inFlight") != 0; }));
        connection.reset();
        EXPECT_TRUE(eventually(
            [&] {
                return cluster.dump(0).at("requests").at("inFlight") == 0
                    && cluster.dump(1).at("requests").at("inFlight") == 0;
            },
            std::chrono::seconds(4)))
            << "the request of entry " << n << " still runs before its deadline of 5 s";
    }
}
