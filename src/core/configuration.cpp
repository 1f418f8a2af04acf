#include <arbutuscrank/config/codec.hpp>
#include <arbutuscrank/core/manifest_codec.hpp>
#include <arbutuscrank/core/state.hpp>

namespace arbutuscrank::configuration {

namespace {

    constexpr Duration readInterval = std::chrono::seconds(1);

    StoreToken nextToken(State& state)
    {
        return (++state.configuration.tokens << storeTopicBits) | static_cast<StoreToken>(StoreTopic::Configuration);
    }

    void tryApply(State& state, Context& context)
    {
        auto& own = state.configuration;
        std::map<std::string, std::string> texts;
        for (const auto& [name, hash] : own.pending->parts) {
            const auto it = own.parts.find(hash);
            if (it == own.parts.end())
                return;
            texts[name] = it->second;
        }
        auto document = joinDocument(texts);
        if (!document) {
            context.log(LogEvent::ConfigurationRefused, "version=" + std::to_string(own.pending->version));
            own.pending.reset();
            return;
        }
        own.manifest = std::move(*own.pending);
        own.pending.reset();
        own.active = std::make_shared<ActiveDocument>(own.manifest.version, std::move(*document));
        context.log(LogEvent::ConfigurationApplied, "version=" + std::to_string(own.manifest.version));
        context.followUp(ConfigurationApplied { own.manifest.version });
    }

} // namespace

const ActiveDocument* active(const State& state) noexcept { return state.configuration.active.get(); }

ManifestVersion version(const State& state) noexcept
{
    return state.configuration.active ? state.configuration.active->version() : 0;
}

std::optional<Duration> freshAge(const State& state, TimePoint now) noexcept
{
    if (!state.configuration.freshAt)
        return std::nullopt;
    return now - *state.configuration.freshAt;
}

bool keyedRequestsAllowed(const State& state, TimePoint /*now*/) { return state.configuration.active != nullptr; }

void onTick(State& state, Context& context)
{
    auto& own = state.configuration;
    if (own.readOpen || context.now < own.nextRead)
        return;
    own.readOpen = true;
    own.nextRead = context.now + readInterval;
    context.effect(ReadObject { nextToken(state), std::string(manifestKey) });
}

void onObjectRead(State& state, const ObjectRead& event, Context& context)
{
    auto& own = state.configuration;
    if (event.key == manifestKey) {
        own.readOpen = false;
        auto manifest = manifestFromJson(event.value);
        if (!manifest)
            return;
        own.freshAt = context.now;
        if (manifest->version <= version(state))
            return;
        own.pending = std::move(*manifest);
        for (const auto& [name, hash] : own.pending->parts) {
            if (!own.parts.contains(hash))
                context.effect(ReadObject { nextToken(state), partKey(hash) });
        }
    } else if (sha256Hex(event.value) == event.key.substr(partKey("").size())) {
        own.parts[event.key.substr(partKey("").size())] = event.value;
    }
    if (own.pending)
        tryApply(state, context);
}

void onStoreCallFailed(State& state, const StoreCallFailed& event, Context& /*context*/)
{
    if (event.key == manifestKey)
        state.configuration.readOpen = false;
}

void onHeartbeat(State& /*state*/, const Heartbeat& /*message*/, Context& /*context*/) { }
void onManifestPush(State& /*state*/, const ProcessId& /*from*/, const ManifestPush& /*message*/, Context& /*context*/)
{
}
void onPartRequest(State& /*state*/, const ProcessId& /*from*/, const PartRequest& /*message*/, Context& /*context*/) {
}
void onPartReply(State& /*state*/, const ProcessId& /*from*/, const PartReply& /*message*/, Context& /*context*/) { }
void onMemberChanged(State& /*state*/, const MemberChanged& /*event*/, Context& /*context*/) { }

} // namespace arbutuscrank::configuration
