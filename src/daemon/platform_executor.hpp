#pragma once

#include "daemon/task_queue.hpp"

#include <arbutuscrank/core/effects.hpp>
#include <arbutuscrank/store/store.hpp>

#include <functional>

/// \file
/// \brief Performs the core's store effects and brings back their answers as events.

namespace arbutuscrank {

/// \brief Performs store calls on threads of its own, since they block.
class PlatformExecutor {
public:
    using Submit = std::function<void(const Event&)>;

    PlatformExecutor(Platform& platform, Submit submit);

    void perform(ReadObject effect);
    void perform(WriteObject effect);
    void perform(WatchObject effect);
    void perform(const ListVms& effect);
    void stop();

private:
    Platform& m_platform;
    Submit m_submit;
    TaskQueue m_calls;
    TaskQueue m_watches;
};

} // namespace arbutuscrank
