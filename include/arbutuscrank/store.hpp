#pragma once

/// \file
/// \brief Includes every header of the store library, the client of the platform's object API.

#include <arbutuscrank/store/configuration_writer.hpp>
#include <arbutuscrank/store/http_platform.hpp>
#include <arbutuscrank/store/store.hpp>
