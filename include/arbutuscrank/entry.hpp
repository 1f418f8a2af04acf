#pragma once

/// \file
/// \brief Includes all public headers of the decisions of an entry VM.

#include <arbutuscrank/entry/coordination.hpp>
#include <arbutuscrank/entry/effects.hpp>
#include <arbutuscrank/entry/evacuation_records.hpp>
#include <arbutuscrank/entry/events.hpp>
#include <arbutuscrank/entry/fleet_messages.hpp>
#include <arbutuscrank/entry/members.hpp>
#include <arbutuscrank/entry/quota_sharing.hpp>
#include <arbutuscrank/entry/rate_shares.hpp>
#include <arbutuscrank/entry/rendezvous.hpp>
#include <arbutuscrank/entry/retry_limit.hpp>
#include <arbutuscrank/entry/room_sharing.hpp>
#include <arbutuscrank/entry/route_work.hpp>
#include <arbutuscrank/entry/settings.hpp>
#include <arbutuscrank/entry/state.hpp>
#include <arbutuscrank/entry/store_source.hpp>
#include <arbutuscrank/entry/target_health.hpp>
#include <arbutuscrank/entry/target_selection.hpp>
#include <arbutuscrank/entry/targets.hpp>
#include <arbutuscrank/entry/traffic_policy.hpp>
