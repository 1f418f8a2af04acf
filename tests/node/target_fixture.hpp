#pragma once

#include "node/clock.hpp"
#include "node/loopback.hpp"
#include "node/target_connections.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <utility>

/// \file
/// \brief Test fixture that sends requests to scripted targets.

namespace arbutuscrank::node::test {

inline HeaderNames makeHeaderNames()
{
    return { .requestId = "Id",
        .timeLeftMs = "Left",
        .affinity = "Affinity",
        .key = "Key",
        .account = "Account",
        .expectedTarget = "Expect-Target",
        .signature = "Signature",
        .notRun = "Not-Run",
        .load = "Load",
        .rateLimit = "Limit",
        .leaving = "Leaving" };
}

/// \brief A complete answer to the request with an id.
inline std::string answer(const std::string& id, const std::string& body, const std::string& extraHeaders = "")
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSignature: s\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n" + extraHeaders + "\r\n" + body;
}

/// \brief Sends requests of a caller through \ref TargetConnections.
struct TargetFixture : testing::Test {
    entry::SendAttempt makeAttempt(const ScriptedServer& server)
    {
        return {
            .request = 1,
            .attempt = ++attempt,
            .target = server.address(),
            .address = server.address(),
            .account = "acme",
            .deadline = currentTime() + std::chrono::seconds(5),
            .connectTimeout = std::chrono::seconds(5),
        };
    }

    AttemptResult send(const ScriptedServer& server, const std::string& id = "r1")
    {
        CallerRequest request(http::verb::get, "/a/1", 11);
        request.set("Id", id);
        request.set("Key", "secret");
        request.set("Account", "forged");
        std::optional<AttemptResult> result;
        connections.send(makeAttempt(server), request, [&](AttemptResult it) { result = std::move(it); });
        EXPECT_TRUE(runUntil(context, [&] { return result.has_value(); }));
        if (!result)
            connections.cancel(attempt); // ends the script of a target that waits for the end of the connection
        return result ? std::move(*result) : AttemptResult {};
    }

    asio::io_context context;
    static constexpr std::uint64_t maxAnswerBytes = 48U << 20U;
    AnswerMemory memory { maxAnswerBytes };
    TargetConnections connections { context, makeHeaderNames(), memory };
    entry::AttemptId attempt = 0;
};

} // namespace arbutuscrank::node::test
