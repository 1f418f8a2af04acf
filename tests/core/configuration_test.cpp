#include <arbutuscrank/core/manifest_codec.hpp>
#include <fakes/fleet.hpp>

#include <gtest/gtest.h>

using namespace arbutuscrank;
using namespace std::chrono_literals;

namespace {

/// One daemon whose events come from the test. Its peer "own" is in its failure domain, "other" in another one.
struct Daemon {
    State state { Self { { "vm0", 5 }, "r0", "d0", "10.0.0.0:1", "10.0.0.0:2" }, 1 };
    TimePoint now { 100s };
    std::vector<Effect> effects;

    Daemon() { state.configuration.join = fakes::joinFakeParts; }

    void handle(const Event& event)
    {
        Outbox outbox;
        reduce(state, event, now, outbox);
        effects.insert(effects.end(), outbox.effects.begin(), outbox.effects.end());
    }
    /// Advances the time in steps of one tick.
    void tickFor(Duration time)
    {
        for (const auto end = now + time; now < end; now += 50ms)
            handle(Tick {});
    }
    void receiveHeartbeat(const std::string& vm, ManifestVersion version, Duration staleness)
    {
        Heartbeat message { { { vm, 1 }, "r0", vm == "own" ? "d0" : "d1", "", vm + ":1", false }, version,
            staleness.count(), {}, {} };
        handle(PeerMessageReceived { { vm, 1 }, message });
    }
    static std::string partText(ManifestVersion version) { return "part:" + std::to_string(version); }
    static Manifest manifest(ManifestVersion version, const std::string& change = "c")
    {
        return { version, change, { { "regions", sha256Hex(partText(version)) } } };
    }
    void receiveManifestAndParts(const std::string& vm, ManifestVersion version, Duration staleness = -1us)
    {
        handle(PeerMessageReceived { { vm, 1 }, ManifestPush { manifest(version), staleness.count() } });
        handle(
            PeerMessageReceived { { vm, 1 }, PartReply { { { sha256Hex(partText(version)), partText(version) } } } });
    }
    /// Answers the pending read or watch of the manifest.
    void answerManifestCall(const std::string& value, ObjectVersion object)
    {
        handle(ObjectRead { state.configuration.manifestCall->token, std::string(manifestKey), object, value });
    }
    void answerManifestAndParts(ManifestVersion version, ObjectVersion object)
    {
        answerManifestCall(manifestToJson(manifest(version)), object);
        for (const auto token :
            std::set(state.configuration.fetch ? state.configuration.fetch->openReads : std::set<StoreToken> {}))
            handle(ObjectRead { token, partKey(sha256Hex(partText(version))), 1, partText(version) });
    }
    [[nodiscard]] ManifestVersion version() const { return configuration::version(state); }
    [[nodiscard]] std::optional<Duration> staleness() const { return configuration::staleness(state, now); }
    [[nodiscard]] int countRefusals() const
    {
        int n = 0;
        for (const auto& it : effects) {
            const auto* log = std::get_if<WriteLog>(&it);
            n += log != nullptr && log->event == LogEvent::ConfigurationRefused ? 1 : 0;
        }
        return n;
    }
};

// Guards against a starting daemon that applies the first manifest it receives although another source has a higher
// version.
TEST(Configuration, StartAppliesTheHighestVersionOfAllSources)
{
    Daemon daemon;
    daemon.tickFor(50ms);
    daemon.receiveHeartbeat("own", 4, -1us);
    daemon.receiveHeartbeat("other", 4, -1us);
    daemon.receiveManifestAndParts("own", 3);
    daemon.receiveManifestAndParts("other", 4);
    EXPECT_EQ(daemon.version(), 0U);
    daemon.answerManifestAndParts(2, 9); // the store lags behind the peers
    EXPECT_EQ(daemon.version(), 4U);
    EXPECT_FALSE(daemon.staleness().has_value());
}

// Guards against a start that waits forever for a source that does not respond.
TEST(Configuration, StartWaitsOneSecondForTheOtherSources)
{
    Daemon daemon;
    daemon.tickFor(50ms);
    daemon.receiveHeartbeat("own", 4, -1us);
    daemon.receiveManifestAndParts("own", 4);
    daemon.tickFor(900ms);
    EXPECT_EQ(daemon.version(), 0U);
    daemon.tickFor(200ms);
    EXPECT_EQ(daemon.version(), 4U);
}

// Guards against an older, unreadable or conflicting manifest in the store that replaces or confirms the active one.
TEST(Configuration, RolledBackOrInvalidManifestIsLoggedAndNotApplied)
{
    Daemon daemon;
    daemon.tickFor(50ms);
    daemon.answerManifestAndParts(5, 9);
    daemon.tickFor(1100ms);
    ASSERT_EQ(daemon.version(), 5U);
    const auto confirmedAt = daemon.state.configuration.confirmedAt;
    ASSERT_TRUE(confirmedAt.has_value());
    ObjectVersion object = 2; // a repeated fault is logged once, so each answer has its own object version
    for (const auto& value : { manifestToJson(Daemon::manifest(4)), std::string("{"), std::string(),
             manifestToJson(Daemon::manifest(5, "rival")), manifestToJson({ 6, "c", { { "regions", "no hash" } } }) }) {
        daemon.effects.clear();
        daemon.answerManifestCall(value, ++object);
        daemon.tickFor(600ms);
        EXPECT_EQ(daemon.version(), 5U) << value;
        EXPECT_EQ(daemon.countRefusals(), 1) << value;
        EXPECT_EQ(daemon.state.configuration.confirmedAt, confirmedAt) << value;
    }
    daemon.handle(StoreCallFailed {
        daemon.state.configuration.manifestCall->token, std::string(manifestKey), StoreFailure::TimedOut, "" });
    EXPECT_EQ(daemon.state.configuration.confirmedAt, confirmedAt)
        << "a watch that follows a refused manifest confirms nothing";
    daemon.tickFor(50ms);
    daemon.answerManifestAndParts(7, 10);
    EXPECT_EQ(daemon.version(), 7U);
}

// Guards against a version that looks current because a peer reported another one, and against staleness that does
// not grow with time.
TEST(Configuration, OnlyPeersWithTheSameVersionConfirmIt)
{
    Daemon daemon;
    daemon.tickFor(50ms);
    daemon.receiveHeartbeat("own", 5, -1us);
    daemon.receiveManifestAndParts("own", 5);
    daemon.tickFor(1200ms);
    ASSERT_EQ(daemon.version(), 5U);
    daemon.receiveHeartbeat("other", 4, 0us);
    daemon.receiveHeartbeat("other", 6, 0us);
    EXPECT_FALSE(daemon.staleness().has_value());
    daemon.receiveHeartbeat("own", 5, 2s);
    EXPECT_EQ(daemon.staleness(), 2s);
    EXPECT_EQ(configuration::storeStalenessMicros(daemon.state, daemon.now), -1)
        << "a peer confirmation was forwarded to peers";
    daemon.now += 5s;
    EXPECT_EQ(daemon.staleness(), 7s);
}

// Guards against parts that do not match their hash, documents that are not valid, and lower versions that replace
// higher ones.
TEST(Configuration, PartsAreVerifiedAndTheHighestVersionIsApplied)
{
    Daemon daemon;
    daemon.tickFor(50ms);
    daemon.answerManifestAndParts(1, 1);
    daemon.tickFor(1100ms);
    daemon.receiveHeartbeat("own", 2, -1us);
    daemon.handle(PeerMessageReceived { { "own", 1 }, ManifestPush { Daemon::manifest(2), -1 } });
    daemon.handle(
        PeerMessageReceived { { "own", 1 }, PartReply { { { sha256Hex(Daemon::partText(2)), "part:forged" } } } });
    EXPECT_EQ(daemon.version(), 1U);
    daemon.receiveManifestAndParts("other", 3);
    EXPECT_EQ(daemon.version(), 3U);
    daemon.receiveManifestAndParts("own", 2);
    EXPECT_EQ(daemon.version(), 3U);
    const std::string invalidPart = "not a part";
    daemon.handle(PeerMessageReceived {
        { "own", 1 }, ManifestPush { { 4, "c", { { "regions", sha256Hex(invalidPart) } } }, 0 } });
    daemon.handle(PeerMessageReceived { { "own", 1 }, PartReply { { { sha256Hex(invalidPart), invalidPart } } } });
    EXPECT_EQ(daemon.version(), 3U);
    EXPECT_EQ(daemon.countRefusals(), 1);
    EXPECT_TRUE(daemon.state.configuration.pendingParts.empty());
}

// Guards against a version that looks current while the store does not answer, and against a second manifest call
// while one is pending.
TEST(Configuration, WatchWithoutAnswerConfirmsNothing)
{
    Daemon daemon;
    daemon.tickFor(50ms);
    daemon.answerManifestAndParts(1, 1);
    daemon.tickFor(1100ms);
    const auto confirmedAt = daemon.state.configuration.confirmedAt;
    daemon.effects.clear();
    daemon.tickFor(4s);
    EXPECT_EQ(std::count_if(daemon.effects.begin(), daemon.effects.end(),
                  [](const Effect& it) { return std::holds_alternative<WatchObject>(it); }),
        0)
        << "the watch sent in the first second is still pending";
    const auto token = daemon.state.configuration.manifestCall->token;
    daemon.tickFor(10s);
    daemon.handle(StoreCallFailed { token, std::string(manifestKey), StoreFailure::TimedOut, "late" });
    EXPECT_EQ(daemon.state.configuration.confirmedAt, confirmedAt);
    const auto sentAt = daemon.state.configuration.manifestCall->sentAt;
    daemon.now = sentAt + 2010ms;
    daemon.handle(StoreCallFailed {
        daemon.state.configuration.manifestCall->token, std::string(manifestKey), StoreFailure::TimedOut, "" });
    EXPECT_EQ(daemon.state.configuration.confirmedAt, sentAt + configuration::watchWait);
}

// Guards against a daemon that stays at an old version because no relay pushes to it.
TEST(Configuration, RequestsTheManifestOfAPeerThatReportsANewerVersion)
{
    Daemon daemon;
    daemon.tickFor(50ms);
    daemon.answerManifestAndParts(1, 1);
    daemon.tickFor(1100ms);
    daemon.effects.clear();
    daemon.receiveHeartbeat("other", 1, 0us);
    daemon.receiveHeartbeat("own", 2, 0us);
    daemon.tickFor(500ms);
    const auto requests = std::count_if(daemon.effects.begin(), daemon.effects.end(), [](const Effect& it) {
        const auto* send = std::get_if<SendMessage>(&it);
        const auto* request = send == nullptr ? nullptr : std::get_if<PartRequest>(&send->message);
        return request != nullptr && request->hashes.empty() && send->to == "own";
    });
    EXPECT_EQ(requests, 1);
    daemon.receiveManifestAndParts("own", 2);
    EXPECT_EQ(daemon.version(), 2U);
}

} // namespace
