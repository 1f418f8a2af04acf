#include "daemon/platform_executor.hpp"

namespace arbutuscrank {

namespace {

    constexpr std::size_t callThreads = 4;
    constexpr std::size_t watchThreads = 4;

    /// Well below the staleness bound: only a watch that has returned confirms that the configuration is current.
    constexpr std::chrono::milliseconds watchTimeout { 2000 };

    StoreFailure toStoreFailure(ErrorCode code)
    {
        switch (code) {
        case ErrorCode::Conflict:
            return StoreFailure::Conflict;
        case ErrorCode::Unknown:
            return StoreFailure::Unknown;
        case ErrorCode::Timeout:
            return StoreFailure::TimedOut;
        default:
            return StoreFailure::Unavailable;
        }
    }

    Event toEvent(StoreToken token, std::string key, Result<StoredObject> result)
    {
        if (result)
            return ObjectRead { token, std::move(key), result.value().version, std::move(result.value().value) };
        return StoreCallFailed { token, std::move(key), toStoreFailure(result.error().code), describe(result.error()) };
    }

} // namespace

PlatformExecutor::PlatformExecutor(Platform& platform, Submit submit)
    : m_platform(platform)
    , m_submit(std::move(submit))
    , m_callQueue(callThreads)
    , m_watchQueue(watchThreads)
{
}

void PlatformExecutor::perform(ReadObject effect)
{
    m_callQueue.post([this, effect = std::move(effect)] {
        auto result = m_platform.get(effect.key);
        m_submit(toEvent(effect.token, effect.key, std::move(result)));
    });
}

void PlatformExecutor::perform(WriteObject effect)
{
    m_callQueue.post([this, effect = std::move(effect)] {
        const auto result = m_platform.put(effect.key, effect.value, effect.expected);
        if (result)
            return m_submit(ObjectWritten { effect.token, effect.key, result.value() });
        m_submit(StoreCallFailed {
            effect.token, effect.key, toStoreFailure(result.error().code), describe(result.error()) });
    });
}

void PlatformExecutor::perform(WatchObject effect)
{
    m_watchQueue.post([this, effect = std::move(effect)] {
        auto result = m_platform.watch(effect.key, effect.after, watchTimeout);
        m_submit(toEvent(effect.token, effect.key, std::move(result)));
    });
}

void PlatformExecutor::perform(const ListVms& /*effect*/)
{
    m_callQueue.post([this] {
        auto result = m_platform.listVms();
        if (result)
            m_submit(VmListRead { std::move(result.value()) });
        else
            m_submit(VmListFailed { describe(result.error()) });
    });
}

void PlatformExecutor::stop()
{
    m_callQueue.stop();
    m_watchQueue.stop();
}

} // namespace arbutuscrank
