#pragma once

/// \file
/// \brief Umbrella header of the platform library.

#include <arbutuscrank/store/configuration_writer.hpp>
#include <arbutuscrank/store/http_platform.hpp>
#include <arbutuscrank/store/store.hpp>
