#pragma once

/// \file
/// \brief Umbrella header of the configuration library.

#include <arbutuscrank/config/advice.hpp>
#include <arbutuscrank/config/codec.hpp>
#include <arbutuscrank/config/document.hpp>
#include <arbutuscrank/config/validate.hpp>
