// A report for people: an HTML page with tables, and beside it the data and a gnuplot script for its plots.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "types/error.h"

namespace quincewick::loadgen {

// Writes PATH (HTML), PATH.data and PATH.gnuplot. Running gnuplot on the script makes the SVG files that the
// page shows: this program starts no other. kUnavailable if a file can't be written.
Result<void> writeReport(const nlohmann::json& result, const std::string& path);

}  // namespace quincewick::loadgen
