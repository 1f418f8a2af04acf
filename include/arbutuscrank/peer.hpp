#pragma once

/// \file
/// \brief Umbrella header of the peer library.

#include <arbutuscrank/peer/codec.hpp>
#include <arbutuscrank/peer/transport.hpp>
