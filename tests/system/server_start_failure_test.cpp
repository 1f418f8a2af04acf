#include "system/cluster.hpp"

#include <gtest/gtest.h>

namespace arbutuscrank::tests {

namespace {

    /// Number of starts. In some of them, a request arrives as soon as the daemon listens.
    constexpr int startCount = 30;
    constexpr std::chrono::seconds startTimeout { 30 };

    /// Status of the first answer to repeated calls, or 0 if there is none.
    int firstStatus(const std::function<Result<HttpAnswer>()>& call)
    {
        int status = 0;
        const auto end = std::chrono::steady_clock::now() + startTimeout;
        while (status == 0 && std::chrono::steady_clock::now() < end)
            status = statusOf(call());
        return status;
    }

} // namespace

// Guards against 404 for proper requests that reach a daemon while it starts.
TEST(ServerStartFailure, FirstAnswerIsNotThatOfAServerWithoutHandlers)
{
    Cluster cluster({});
    for (int n = 0; n < startCount; ++n) {
        cluster.startDaemon(0);
        EXPECT_EQ(firstStatus([&] { return cluster.request(0, "GET", "/kitty/a"); }), 503);
        cluster.startDaemon(0);
        EXPECT_EQ(firstStatus([&] { return cluster.sendAdminRequest(0, "GET", "/v1/dump"); }), 200);
    }
}

} // namespace arbutuscrank::tests
