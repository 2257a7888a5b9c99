#include "loadgen/report.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_replace.h>

#include <filesystem>
#include <fstream>
#include <vector>

namespace quincewick::loadgen {
namespace {

using Json = nlohmann::json;

// One plot: a file name's ending, a title, the label of the vertical axis, and (column, title) of its lines.
struct Plot {
  std::string name;
  std::string title;
  std::string axis;
  std::vector<std::pair<size_t, std::string>> lines;
};

std::vector<std::string> kindNames(const Json& result) {
  std::vector<std::string> names;
  if (result.contains("kinds")) {
    for (const auto& [name, figures] : result["kinds"].items()) {
      names.push_back(name);
    }
  }
  return names;
}

std::string numberAt(const Json& json, const std::string& pointer) {
  const Json::json_pointer place(pointer);
  return json.contains(place) && json[place].is_number() ? absl::StrFormat("%.6g", json[place].get<double>())
                                                         : "?";
}

constexpr size_t kFirstKindColumn = 6;

// One line a second: second, hit rate, waste share, requests, errors, then p95 of first token for each kind.
std::string dataText(const Json& result) {
  std::string text = "# second hit_rate waste_share requests errors first_token_p95_of_each_kind\n";
  for (const Json& second : result["timeline"]) {
    uint64_t errors = 0;
    for (const auto& [type, count] : second["errors"].items()) {
      errors += count.get<uint64_t>();
    }
    absl::StrAppend(&text, numberAt(second, "/second"), " ", numberAt(second, "/prefix_hit_rate"), " ",
                    numberAt(second, "/waste_share"), " ", numberAt(second, "/requests"), " ", errors);
    for (const std::string& kind : kindNames(result)) {
      absl::StrAppend(&text, " ", numberAt(second, "/kinds/" + kind + "/p95"));
    }
    text += "\n";
  }
  return text;
}

std::vector<Plot> plots(const Json& result) {
  Plot first_token = {"first-token", "Time to first token, 95th percentile of each second", "s", {}};
  size_t column = kFirstKindColumn;
  for (const std::string& kind : kindNames(result)) {
    const Json::json_pointer count("/kinds/" + kind + "/time_to_first_token_seconds/count");
    if (result[count] > 0) {
      first_token.lines.emplace_back(column, kind);
    }
    ++column;
  }
  constexpr size_t hit_rate_column = 2;
  constexpr size_t waste_column = 3;
  constexpr size_t request_column = 4;
  constexpr size_t error_column = 5;
  // gnuplot refuses a plot without a single point.
  std::vector<Plot> list;
  if (!first_token.lines.empty()) {
    list.push_back(std::move(first_token));
  }
  if (result.contains("prefix_hit_rate")) {
    list.push_back({"hit-rate",
                    "Prefix hit rate and tokens computed again, as shares of prompt tokens",
                    "share",
                    {{hit_rate_column, "hit rate"}, {waste_column, "computed again"}}});
  }
  if (!result["timeline"].empty()) {
    list.push_back({"requests",
                    "Requests and errors",
                    "a second",
                    {{request_column, "requests"}, {error_column, "refusals, cuts and failures"}}});
  }
  return list;
}

std::string gnuplotQuoted(const std::string& text) {
  return absl::StrCat("'", absl::StrReplaceAll(text, {{"'", "''"}, {"\n", " "}}), "'");
}

std::string markCommands(const Json& result) {
  std::string text;
  for (const Json& mark : result["run"]["marks"]) {
    const auto whole = mark.get<std::string>();
    const size_t colon = whole.find(':');
    double second = 0.0;
    if (colon == std::string::npos || !absl::SimpleAtod(whole.substr(0, colon), &second)) {
      continue;
    }
    absl::StrAppendFormat(&text, "set arrow from %g, graph 0 to %g, graph 1 nohead dashtype 2\n", second,
                          second);
    absl::StrAppendFormat(&text, "set label %s at %g, graph 0.95 rotate by 90 right\n",
                          gnuplotQuoted(whole.substr(colon + 1)), second);
  }
  return text;
}

std::string scriptText(const Json& result, const std::string& base_name) {
  std::string text =
      "# Run in this folder: gnuplot FILE\n"
      "set terminal svg size 900,320 background 'white'\n"
      "set datafile missing '?'\nset xlabel 'second of the run'\nset grid\nset key outside right\n"
      "set yrange [0:*]\n";
  text += markCommands(result);
  for (const Plot& plot : plots(result)) {
    absl::StrAppend(&text, "set output ", gnuplotQuoted(base_name + "." + plot.name + ".svg"), "\nset title ",
                    gnuplotQuoted(plot.title), "\nset ylabel ", gnuplotQuoted(plot.axis), "\nplot ");
    std::string separator;
    for (const auto& [column, title] : plot.lines) {
      absl::StrAppend(&text, separator, gnuplotQuoted(base_name + ".data"), " using 1:", column,
                      " with lines title ", gnuplotQuoted(title));
      separator = ", ";
    }
    text += "\n";
  }
  return text;
}

std::string escaped(const std::string& text) {
  return absl::StrReplaceAll(text, {{"&", "&amp;"}, {"<", "&lt;"}, {">", "&gt;"}, {"\"", "&quot;"}});
}

std::string row(const std::vector<std::string>& cells, const char* tag) {
  std::string text = "<tr>";
  for (const std::string& cell : cells) {
    absl::StrAppend(&text, "<", tag, ">", escaped(cell), "</", tag, ">");
  }
  return text + "</tr>\n";
}

std::string kindTable(const Json& result) {
  std::string text = "<table>\n" + row({"kind", "requests", "complete", "first token p50 s", "p95 s", "p99 s",
                                        "hit rate", "computed again"},
                                       "th");
  const auto figures = [&](const std::string& name, const std::string& at) {
    return row({name, numberAt(result, at + "/requests"), numberAt(result, at + "/outcomes/complete"),
                numberAt(result, at + "/time_to_first_token_seconds/p50"),
                numberAt(result, at + "/time_to_first_token_seconds/p95"),
                numberAt(result, at + "/time_to_first_token_seconds/p99"),
                numberAt(result, at + "/prefix_hit_rate"), numberAt(result, at + "/waste_share")},
               "td");
  };
  for (const std::string& kind : kindNames(result)) {
    text += figures(kind, "/kinds/" + kind);
  }
  return text + figures("all", "") + "</table>\n";
}

std::string countTable(const Json& counts, const std::string& title) {
  std::string text = "<table>\n" + row({title, "count"}, "th");
  for (const auto& [name, count] : counts.items()) {
    text += row({name, count.dump()}, "td");
  }
  return text + "</table>\n";
}

std::string pageText(const Json& result, const std::string& base_name) {
  std::string text =
      "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Load report</title>\n"
      "<style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse;margin:1em 0}"
      "td,th{border:1px solid #999;padding:.2em .6em;text-align:right}td:first-child{text-align:left}"
      "</style></head><body>\n<h1>Load report</h1>\n<pre>";
  text += escaped(result["run"].dump(2)) + "</pre>\n" + kindTable(result);
  text += countTable(result["violations"], "violation") + countTable(result["errors"], "error");
  if (!result["action_runs_checked"].get<bool>()) {
    text += "<p>The action servers were not asked: doubled and lost actions are not checked.</p>\n";
  }
  absl::StrAppend(&text, "<p>Plots: run <code>gnuplot ", escaped(base_name),
                  ".gnuplot</code> in this folder.</p>\n");
  for (const Plot& plot : plots(result)) {
    const std::string file = escaped(base_name + "." + plot.name + ".svg");
    absl::StrAppend(&text, "<p><img src=\"", file, "\" alt=\"", escaped(plot.title), "\"></p>\n");
  }
  return text + "</body></html>\n";
}

Result<void> writeFile(const std::string& path, const std::string& text) {
  std::ofstream file(path, std::ios::binary);
  file << text;
  file.flush();
  if (!file) {
    return fail(ErrorCode::kUnavailable, absl::StrCat("cannot write ", path));
  }
  return outcome::success();
}

}  // namespace

Result<void> writeReport(const Json& result, const std::string& path) {
  const std::string base_name = std::filesystem::path(path).filename().string();
  BOOST_OUTCOME_TRY(writeFile(path, pageText(result, base_name)));
  BOOST_OUTCOME_TRY(writeFile(path + ".data", dataText(result)));
  return writeFile(path + ".gnuplot", scriptText(result, base_name));
}

}  // namespace quincewick::loadgen
