#include <arbutuscrank/core/manifest_codec.hpp>
#include <fakes/fleet.hpp>

#include <gtest/gtest.h>

using namespace arbutuscrank;
using namespace std::chrono_literals;

namespace {

/// One daemon, fed by hand, with two peers: "own" in its failure domain and "other" in another one.
struct Daemon {
    State state { Self { { "vm0", 5 }, "r0", "d0", "10.0.0.0:1", "10.0.0.0:2" }, 1 };
    TimePoint now { 100s };
    std::vector<Effect> effects;

    Daemon() { state.configuration.join = fakes::joinFakeParts; }

    void feed(const Event& event)
    {
        Outbox outbox;
        reduce(state, event, now, outbox);
        effects.insert(effects.end(), outbox.effects.begin(), outbox.effects.end());
    }
    void tickFor(Duration time)
    {
        for (const auto end = now + time; now < end; now += 50ms)
            feed(Tick {});
    }
    void hear(const std::string& vm, ManifestVersion version, Duration age)
    {
        Heartbeat message { { { vm, 1 }, "r0", vm == "own" ? "d0" : "d1", "", vm + ":1", false }, version, age.count(),
            {}, {} };
        feed(PeerMessageReceived { { vm, 1 }, message });
    }
    static std::string text(ManifestVersion version) { return "part:" + std::to_string(version); }
    static Manifest manifest(ManifestVersion version, const std::string& change = "c")
    {
        return { version, change, { { "regions", sha256Hex(text(version)) } } };
    }
    void push(const std::string& vm, ManifestVersion version, Duration age = -1us)
    {
        feed(PeerMessageReceived { { vm, 1 }, ManifestPush { manifest(version), age.count() } });
        feed(PeerMessageReceived { { vm, 1 }, PartReply { { { sha256Hex(text(version)), text(version) } } } });
    }
    /// Answers the last call for the manifest.
    void answer(const std::string& value, ObjectVersion object)
    {
        feed(ObjectRead { state.configuration.manifestCall->token, std::string(manifestKey), object, value });
    }
    void answerWithParts(ManifestVersion version, ObjectVersion object)
    {
        answer(manifestToJson(manifest(version)), object);
        for (const auto token :
            std::set(state.configuration.fetch ? state.configuration.fetch->reads : std::set<StoreToken> {}))
            feed(ObjectRead { token, partKey(sha256Hex(text(version))), 1, text(version) });
    }
    [[nodiscard]] ManifestVersion version() const { return configuration::version(state); }
    [[nodiscard]] std::optional<Duration> age() const { return configuration::staleness(state, now); }
    [[nodiscard]] int refusals() const
    {
        int n = 0;
        for (const auto& it : effects) {
            const auto* log = std::get_if<WriteLog>(&it);
            n += log != nullptr && log->event == LogEvent::ConfigurationRefused ? 1 : 0;
        }
        return n;
    }
};

// Guards against a start that takes the first answer although a later one has a higher version.
TEST(Configuration, StartTakesTheHighestOfAllAnswers)
{
    Daemon daemon;
    daemon.tickFor(50ms);
    daemon.hear("own", 4, -1us);
    daemon.hear("other", 4, -1us);
    daemon.push("own", 3);
    daemon.push("other", 4);
    EXPECT_EQ(daemon.version(), 0U);
    daemon.answerWithParts(2, 9); // a store that lags
    EXPECT_EQ(daemon.version(), 4U);
    EXPECT_FALSE(daemon.age().has_value());
}

// Guards against a start that never ends when one source does not answer.
TEST(Configuration, StartWaitsOneSecondForTheOthers)
{
    Daemon daemon;
    daemon.tickFor(50ms);
    daemon.hear("own", 4, -1us);
    daemon.push("own", 4);
    daemon.tickFor(900ms);
    EXPECT_EQ(daemon.version(), 0U);
    daemon.tickFor(200ms);
    EXPECT_EQ(daemon.version(), 4U);
}

// Guards against an old, unreadable or rival manifest of the store that replaces the one in force or makes it fresh.
TEST(Configuration, StoreThatGoesBackIsLoggedAndNotFollowed)
{
    Daemon daemon;
    daemon.tickFor(50ms);
    daemon.answerWithParts(5, 9);
    daemon.tickFor(1100ms);
    ASSERT_EQ(daemon.version(), 5U);
    const auto fresh = daemon.state.configuration.confirmedAt;
    ASSERT_TRUE(fresh.has_value());
    ObjectVersion object = 2; // a fault that stays is logged once, so that each answer has its own object version
    for (const auto& value : { manifestToJson(Daemon::manifest(4)), std::string("{"), std::string(),
             manifestToJson(Daemon::manifest(5, "rival")), manifestToJson({ 6, "c", { { "regions", "no hash" } } }) }) {
        daemon.effects.clear();
        daemon.answer(value, ++object);
        daemon.tickFor(600ms);
        EXPECT_EQ(daemon.version(), 5U) << value;
        EXPECT_EQ(daemon.refusals(), 1) << value;
        EXPECT_EQ(daemon.state.configuration.confirmedAt, fresh) << value;
    }
    daemon.feed(StoreCallFailed {
        daemon.state.configuration.manifestCall->token, std::string(manifestKey), StoreFailure::TimedOut, "" });
    EXPECT_EQ(daemon.state.configuration.confirmedAt, fresh) << "a watch behind an answer that was not followed";
    daemon.tickFor(50ms);
    daemon.answerWithParts(7, 10);
    EXPECT_EQ(daemon.version(), 7U);
}

// Guards against evidence for another version, from an older incarnation, or older than it looks.
TEST(Configuration, OnlyEvidenceForTheSameVersionCounts)
{
    Daemon daemon;
    daemon.tickFor(50ms);
    daemon.hear("own", 5, -1us);
    daemon.push("own", 5);
    daemon.tickFor(1200ms);
    ASSERT_EQ(daemon.version(), 5U);
    daemon.hear("other", 4, 0us);
    daemon.hear("other", 6, 0us);
    EXPECT_FALSE(daemon.age().has_value());
    daemon.hear("own", 5, 2s);
    EXPECT_EQ(daemon.age(), 2s);
    EXPECT_EQ(configuration::storeStalenessMicros(daemon.state, daemon.now), -1) << "second-hand evidence is passed on";
    daemon.now += 5s;
    EXPECT_EQ(daemon.age(), 7s);
}

// Guards against parts that do not match their hash, a document that is not valid, and versions that replace each
// other.
TEST(Configuration, PartsAreCheckedAndTheNewestWins)
{
    Daemon daemon;
    daemon.tickFor(50ms);
    daemon.answerWithParts(1, 1);
    daemon.tickFor(1100ms);
    daemon.hear("own", 2, -1us);
    daemon.feed(PeerMessageReceived { { "own", 1 }, ManifestPush { Daemon::manifest(2), -1 } });
    daemon.feed(PeerMessageReceived { { "own", 1 }, PartReply { { { sha256Hex(Daemon::text(2)), "part:forged" } } } });
    EXPECT_EQ(daemon.version(), 1U);
    daemon.push("other", 3);
    EXPECT_EQ(daemon.version(), 3U);
    daemon.push("own", 2);
    EXPECT_EQ(daemon.version(), 3U);
    const std::string bad = "not a part";
    daemon.feed(
        PeerMessageReceived { { "own", 1 }, ManifestPush { { 4, "c", { { "regions", sha256Hex(bad) } } }, 0 } });
    daemon.feed(PeerMessageReceived { { "own", 1 }, PartReply { { { sha256Hex(bad), bad } } } });
    EXPECT_EQ(daemon.version(), 3U);
    EXPECT_EQ(daemon.refusals(), 1);
    EXPECT_TRUE(daemon.state.configuration.pendingParts.empty());
}

// Guards against a store without answers that looks fresh, and against more than one open call for the manifest.
TEST(Configuration, WatchWithoutAnswerIsNoEvidence)
{
    Daemon daemon;
    daemon.tickFor(50ms);
    daemon.answerWithParts(1, 1);
    daemon.tickFor(1100ms);
    const auto fresh = daemon.state.configuration.confirmedAt;
    daemon.effects.clear();
    daemon.tickFor(4s);
    EXPECT_EQ(std::count_if(daemon.effects.begin(), daemon.effects.end(),
                  [](const Effect& it) { return std::holds_alternative<WatchObject>(it); }),
        0)
        << "the watch of the first second is still open";
    const auto token = daemon.state.configuration.manifestCall->token;
    daemon.tickFor(10s);
    daemon.feed(StoreCallFailed { token, std::string(manifestKey), StoreFailure::TimedOut, "late" });
    EXPECT_EQ(daemon.state.configuration.confirmedAt, fresh);
    const auto sentAt = daemon.state.configuration.manifestCall->sentAt;
    daemon.now = sentAt + 2010ms;
    daemon.feed(StoreCallFailed {
        daemon.state.configuration.manifestCall->token, std::string(manifestKey), StoreFailure::TimedOut, "" });
    EXPECT_EQ(daemon.state.configuration.confirmedAt, sentAt + configuration::watchWait);
}

// Guards against a daemon that no relay pushes to and that never asks for the version its peers show.
TEST(Configuration, AsksThePeerThatShowsANewerVersion)
{
    Daemon daemon;
    daemon.tickFor(50ms);
    daemon.answerWithParts(1, 1);
    daemon.tickFor(1100ms);
    daemon.effects.clear();
    daemon.hear("other", 1, 0us);
    daemon.hear("own", 2, 0us);
    daemon.tickFor(500ms);
    const auto asked = std::count_if(daemon.effects.begin(), daemon.effects.end(), [](const Effect& it) {
        const auto* send = std::get_if<SendMessage>(&it);
        const auto* request = send == nullptr ? nullptr : std::get_if<PartRequest>(&send->message);
        return request != nullptr && request->hashes.empty() && send->to == "own";
    });
    EXPECT_EQ(asked, 1);
    daemon.push("own", 2);
    EXPECT_EQ(daemon.version(), 2U);
}

} // namespace
