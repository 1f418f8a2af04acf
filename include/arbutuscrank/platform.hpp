#pragma once

/// \file
/// \brief Umbrella header of the platform library.

#include <arbutuscrank/platform/configuration_writer.hpp>
#include <arbutuscrank/platform/http_platform.hpp>
#include <arbutuscrank/platform/platform.hpp>
