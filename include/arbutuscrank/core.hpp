#pragma once

/// \file
/// \brief Umbrella header of the decision core.

#include <arbutuscrank/core/context.hpp>
#include <arbutuscrank/core/effects.hpp>
#include <arbutuscrank/core/error.hpp>
#include <arbutuscrank/core/events.hpp>
#include <arbutuscrank/core/forward.hpp>
#include <arbutuscrank/core/log_events.hpp>
#include <arbutuscrank/core/lookup_table.hpp>
#include <arbutuscrank/core/messages.hpp>
#include <arbutuscrank/core/random.hpp>
#include <arbutuscrank/core/reduce.hpp>
#include <arbutuscrank/core/state.hpp>
#include <arbutuscrank/core/types.hpp>
