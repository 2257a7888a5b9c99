#include "cli/ctl_output.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace quincewick::cli {
namespace {

using Json = nlohmann::json;

std::string cellText(const Json& object, const std::string& field) {
  if (!object.is_object() || !object.contains(field)) {
    return "";
  }
  const Json& value = object.at(field);
  return value.is_string() ? value.get<std::string>() : value.dump();
}

void appendRow(const std::vector<std::string>& cells, const std::vector<size_t>& widths, std::string& out) {
  for (size_t column = 0; column < cells.size(); ++column) {
    const bool is_last = column + 1 == cells.size();
    out += cells[column];
    if (!is_last) {
      out.append(widths[column] - cells[column].size() + 2, ' ');
    }
  }
  out += "\n";
}

std::string section(const std::string& title, const std::string& table) {
  return table.empty() ? "" : absl::StrCat("\n", title, "\n", table);
}

}  // namespace

std::string formatTable(const std::vector<std::string>& headings,
                        const std::vector<std::vector<std::string>>& rows) {
  std::vector<size_t> widths;
  widths.reserve(headings.size());
  for (const std::string& heading : headings) {
    widths.push_back(heading.size());
  }
  for (const std::vector<std::string>& row : rows) {
    for (size_t column = 0; column < row.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  std::string out;
  appendRow(headings, widths, out);
  for (const std::vector<std::string>& row : rows) {
    appendRow(row, widths, out);
  }
  return out;
}

std::string formatObjects(const Json& list, const std::vector<std::string>& fields) {
  if (!list.is_array() || list.empty()) {
    return "";
  }
  std::vector<std::vector<std::string>> rows;
  for (const Json& object : list) {
    std::vector<std::string> row;
    row.reserve(fields.size());
    for (const std::string& field : fields) {
      row.push_back(cellText(object, field));
    }
    rows.push_back(std::move(row));
  }
  return formatTable(fields, rows);
}

std::string formatStatus(const Json& status) {
  std::string out = formatObjects(Json::array({status}),
                                  {"node", "zone", "ready", "relay", "version", "confirmed_age_seconds"});
  // Each node's lag is counted from the newest version in this response.
  Json nodes = status.value("nodes", Json::array());
  uint64_t newest = status.value("version", uint64_t{0});
  for (const Json& node : nodes) {
    newest = std::max(newest, node.value("version", uint64_t{0}));
  }
  for (Json& node : nodes) {
    node["lag"] = newest - node.value("version", uint64_t{0});
  }
  out += section("NODES", formatObjects(nodes, {"node", "zone", "version", "lag", "age_seconds"}));
  out += section("BACK ENDS", formatObjects(status.value("back_ends", Json::array()),
                                            {"id", "kind", "state", "zone", "models"}));
  out += section("ROLLOUTS", formatObjects(status.value("rollouts", Json::array()),
                                           {"model", "wanted", "engines", "loaded", "loading", "state"}));
  return out;
}

std::string formatExplanation(const Json& explanation) {
  std::string out = formatObjects(Json::array({explanation}), {"route", "urgency", "chosen"});
  out += section("ROUTES",
                 formatObjects(explanation.value("routes", Json::array()), {"route", "outcome", "reason"}));
  out += section("ENGINES", formatObjects(explanation.value("engines", Json::array()),
                                          {"engine", "expected_seconds", "reason"}));
  return out;
}

}  // namespace quincewick::cli
