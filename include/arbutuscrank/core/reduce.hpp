#pragma once

#include <arbutuscrank/core/effects.hpp>
#include <arbutuscrank/core/events.hpp>
#include <arbutuscrank/core/forward.hpp>

/// \file
/// \brief The one reducer over all events.

namespace arbutuscrank {

/// \brief Handles an event and every follow-up that it raises.
///
/// \code
/// arbutuscrank::State state(self, 42);
/// arbutuscrank::Outbox outbox;
/// arbutuscrank::reduce(state, arbutuscrank::Tick {}, now, outbox);
/// for (const auto& it : outbox.effects)
///     perform(it);
/// \endcode
///
/// \param now monotonic time of the event; never lower than that of the event before
/// \param outbox receives the effects; its follow-ups are empty on return
void reduce(State& state, const Event& event, TimePoint now, Outbox& outbox);

} // namespace arbutuscrank
