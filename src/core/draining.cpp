#include <arbutuscrank/core/state.hpp>

namespace arbutuscrank::draining {

bool isStopping(const State& state) noexcept { return state.draining.stoppingSince.has_value(); }

void onStopRequested(State& state, Context& context)
{
    if (isStopping(state))
        return;
    state.draining.stoppingSince = context.now;
    context.log(LogEvent::StopStarted, "requests=" + std::to_string(requests::inFlight(state)));
    membership::startLeaving(state, context);
    quota::startLeaving(state, context);
    routing::startLeaving(state, context);
    context.followUp(MemberChanged { state.self.process, MemberChange::Leaving });
}

void onTick(State& state, Context& context)
{
    auto& own = state.draining;
    if (!own.stoppingSince || own.isExitRequested)
        return;
    if (context.now - *own.stoppingSince < lookupGrace || requests::inFlight(state) > 0)
        return;
    own.isExitRequested = true;
    context.log(LogEvent::StopCompleted, {});
    context.effect(ExitProcess {});
}

} // namespace arbutuscrank::draining
