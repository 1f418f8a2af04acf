#pragma once

#include "daemon/task_queue.hpp"

#include <arbutuscrank/core/effects.hpp>
#include <arbutuscrank/store/store.hpp>

#include <functional>

/// \file
/// \brief Performs the core's platform effects and submits their results as events.

namespace arbutuscrank {

/// \brief Makes the blocking platform calls on its own threads. Watches have separate threads, so that they delay no
/// other call.
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
    TaskQueue m_callQueue;
    TaskQueue m_watchQueue;
};

} // namespace arbutuscrank
