#pragma once

/// \file
/// \brief Includes the headers of the client of the platform's object API, except http_client.hpp.

#include <arbutuscrank/store/configuration_writer.hpp>
#include <arbutuscrank/store/http_platform.hpp>
#include <arbutuscrank/store/store.hpp>
