#pragma once

/// \file
/// \brief Includes the headers of the client of the platform's object API but http_client.hpp, which is included alone.

#include <arbutuscrank/store/configuration_writer.hpp>
#include <arbutuscrank/store/http_platform.hpp>
#include <arbutuscrank/store/store.hpp>
