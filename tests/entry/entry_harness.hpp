#pragma once

#include <arbutuscrank/config/codec.hpp>
#include <arbutuscrank/entry.hpp>

#include <optional>
#include <string>
#include <vector>

/// \file
/// \brief Test harness for one entry VM: the reducer with a small configuration and a simulated clock.

namespace arbutuscrank::entry::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr const char* host = "shop.example";
inline constexpr const char* key = "key-of-acme";

inline TargetRecord makeTarget(const std::string& id, const std::string& region = "north")
{
    return { .id = id,
        .service = "cart",
        .address = "10.0.0.1:80",
        .failureDomain = region + "-a",
        .region = region,
        .slots = 4,
        .startedAtMs = 1 };
}

/// Routes "/read/" (idempotent), "/write/" (at most once) and "/open/" (no key), all to service "cart".
inline TrafficPolicy makePolicy(std::uint64_t version = 1)
{
    const auto route = [](const std::string& name, bool idempotent, bool open) {
        return RoutePolicy { .name = name,
            .host = host,
            .pathPrefix = '/' + name + '/',
            .idempotent = idempotent,
            .timeout = seconds(2),
            .latencyObjective = milliseconds(500),
            .priority = 1,
            .maxAttempts = 3,
            .open = open,
            .services = { { "cart", 1 } } };
    };
    return { .version = version,
        .routes = { route("read", true, false), route("write", false, false), route("open", true, true) },
        .services = { { .name = "cart", .coldTime = seconds(3), .coldRate = 8 } },
        .accounts = { { .name = "acme", .keyDigests = { sha256Hex(key) }, .ratePerSecond = 1000, .burst = 1000 } } };
}

inline EntrySettings makeSettings()
{
    EntrySettings settings;
    settings.vm = "vm1";
    settings.region = "north";
    settings.failureDomain = "north-a";
    settings.sharesRoom = true;
    settings.regionOfFailureDomain = { { "north-a", "north" }, { "south-a", "south" } };
    return settings;
}

/// An entry VM that has read its configuration.
struct Entry {
    explicit Entry(std::uint64_t seed = 1, TrafficPolicy policy = makePolicy(), EntrySettings settings = makeSettings())
        : state(std::move(settings),
            { .process = { "vm1", 1 }, .region = "north", .failureDomain = "north-a", .callerAddress = "10.1.0.1:80" },
            seed)
    {
        handle(MembersListed {});
        handle(PolicyRead { std::move(policy) });
        handle(PolicyConfirmed { now });
        handle(StoreAnswered {});
        handle(Tick {});
    }

    void handle(const EntryEvent& event) { reduce(state, event, now, effects); }

    void useTargets(std::vector<TargetRecord> records)
    {
        handle(TargetsListed { std::move(records) });
        // The account's bucket is refilled, and the configuration stays confirmed.
        advance(seconds(4));
    }

    /// Advances the clock, with a tick and a confirmed configuration every 200 ms.
    void advance(Duration duration)
    {
        for (Duration done {}; done < duration; done += milliseconds(200)) {
            now += milliseconds(200);
            handle(PolicyConfirmed { now });
            handle(Tick {});
        }
        effects.clear();
    }

    /// Raises the arrival of a request and returns its ID.
    RequestId request(const std::string& path, const std::string& withKey = key, Duration timeLeft = seconds(3))
    {
        handle(RequestArrived { .request = ++lastRequest,
            .callerRequestId = std::to_string(lastRequest),
            .host = host,
            .path = path,
            .key = withKey,
            .affinity = "7",
            .timeLeft = timeLeft });
        return lastRequest;
    }

    /// The last effect of a type since the effects were cleared.
    template <typename T> [[nodiscard]] std::optional<T> last() const
    {
        for (auto it = effects.rbegin(); it != effects.rend(); ++it) {
            if (const auto* effect = std::get_if<T>(&*it))
                return *effect;
        }
        return std::nullopt;
    }

    /// The last message of a type to other VMs since the effects were cleared.
    template <typename T> [[nodiscard]] std::optional<T> lastMessage() const
    {
        for (auto it = effects.rbegin(); it != effects.rend(); ++it) {
            const auto* effect = std::get_if<SendMessage>(&*it);
            const auto* message = effect ? std::get_if<T>(&effect->message) : nullptr;
            if (message)
                return *message;
        }
        return std::nullopt;
    }

    template <typename T> [[nodiscard]] std::size_t count() const
    {
        std::size_t n = 0;
        for (const auto& effect : effects)
            n += std::holds_alternative<T>(effect) ? 1 : 0;
        return n;
    }

    TimePoint now { std::chrono::hours(1) };
    EntryState state;
    std::vector<EntryEffect> effects;
    RequestId lastRequest = 0;
};

} // namespace arbutuscrank::entry::test
