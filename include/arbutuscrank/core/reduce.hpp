#pragma once

#include <arbutuscrank/core/effects.hpp>
#include <arbutuscrank/core/events.hpp>
#include <arbutuscrank/core/forward.hpp>

/// \file
/// \brief The reducer, which handles every event of the decision core.

namespace arbutuscrank {

/// \brief Handles an event and every follow-up event that it raises.
///
/// \code
/// arbutuscrank::State state(self, 42);
/// arbutuscrank::Outbox outbox;
/// arbutuscrank::reduce(state, arbutuscrank::Tick {}, now, outbox);
/// for (const auto& it : outbox.effects)
///     perform(it);
/// \endcode
///
/// \param now monotonic time of the event; never lower than that of the previous event
/// \param outbox receives the effects; its follow-ups are empty on return
void reduce(State& state, const Event& event, TimePoint now, Outbox& outbox);

} // namespace arbutuscrank
