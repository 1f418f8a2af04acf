#pragma once

#include <arbutuscrank/core/configuration.hpp>
#include <arbutuscrank/core/draining.hpp>
#include <arbutuscrank/core/idempotency.hpp>
#include <arbutuscrank/core/keys.hpp>
#include <arbutuscrank/core/membership.hpp>
#include <arbutuscrank/core/proof.hpp>
#include <arbutuscrank/core/quota.hpp>
#include <arbutuscrank/core/random.hpp>
#include <arbutuscrank/core/requests.hpp>
#include <arbutuscrank/core/routing.hpp>
#include <arbutuscrank/core/steering.hpp>
#include <arbutuscrank/core/types.hpp>

/// \file
/// \brief Complete state of the decision core of one daemon.

namespace arbutuscrank {

/// \brief State of one daemon. The state of each topic is written only by that topic.
struct State {
    State(Self identity, std::uint64_t seed)
        : self(std::move(identity))
        , random(seed)
    {
    }

    Self self;
    Random random;
    ConfigurationState configuration;
    MembershipState membership;
    KeysState keys;
    QuotaState quota;
    IdempotencyState idempotency;
    RoutingState routing;
    RequestsState requests;
    SteeringState steering;
    DrainingState draining;
    ProofState proof;
};

} // namespace arbutuscrank
