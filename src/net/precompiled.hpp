// The heavy headers that most sources of the edge node share, compiled once.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>
