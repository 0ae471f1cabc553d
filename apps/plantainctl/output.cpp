#include "output.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <unordered_map>
#include <vector>

namespace plantaindoor::ctl {

using nlohmann::json;

namespace {

using columns = std::vector<std::string>;

const std::unordered_map<std::string, columns>& columns_by_kind()
{
    static const std::unordered_map<std::string, columns> table{
        {"teams", {"id", "max_in_progress", "max_requests_per_second", "max_job_processors"}},
        {"pools", {"id", "reserve", "lends"}},
        {"services", {"id", "team", "pools", "budget", "default_priority", "idempotent"}},
        {"instances", {"id", "pool", "zone", "rack", "address", "port", "state", "outage_wave"}},
        {"budgets",
         {"service", "instances", "admitted", "out", "budget", "largest_domain", "spare"}},
        {"waves", {"id", "state", "pools", "done", "total", "reason"}},
        {"rules", {"id", "text"}},
        {"entries", {"id", "zone", "version", "peers", "busy"}},
        {"jobs", {"id", "team", "state", "worker", "priority", "reason"}},
        {"journal", {"when", "actor", "part", "action", "version", "rule", "facts"}}};
    return table;
}

std::string cell_text(const json& item, const std::string& column)
{
    if (!item.contains(column)) {
        return "-";
    }
    const json& value = item.at(column);
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::vector<std::string> make_row(const json& item, const columns& names)
{
    std::vector<std::string> row;
    for (const std::string& name : names) {
        row.push_back(cell_text(item, name));
    }
    return row;
}

std::string format_table(const std::vector<std::vector<std::string>>& rows)
{
    std::vector<std::size_t> widths(rows.front().size(), 0);
    for (const auto& row : rows) {
        for (std::size_t index = 0; index < row.size(); ++index) {
            widths[index] = std::max(widths[index], row[index].size());
        }
    }
    std::string out;
    for (const auto& row : rows) {
        std::string line;
        for (std::size_t index = 0; index < row.size(); ++index) {
            line += fmt::format("{:<{}}  ", row[index], widths[index]);
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out += line + "\n";
    }
    return out;
}

} // namespace

std::string items_table(const std::string& kind, const std::string& answer)
{
    const json parsed = json::parse(answer, nullptr, false);
    const auto found = columns_by_kind().find(kind);
    if (parsed.is_discarded() || !parsed.contains("items") || found == columns_by_kind().end()) {
        return answer + "\n";
    }
    std::vector<std::vector<std::string>> rows{found->second};
    for (const json& item : parsed.at("items")) {
        rows.push_back(make_row(item, found->second));
    }
    return format_table(rows);
}

std::string object_lines(const std::string& answer)
{
    const json parsed = json::parse(answer, nullptr, false);
    if (!parsed.is_object()) {
        return answer + "\n";
    }
    std::string out;
    for (const auto& [name, value] : parsed.items()) {
        if (value.is_array()) {
            out += name + ":\n";
            for (const json& each : value) {
                out += "  " + (each.is_string() ? each.get<std::string>() : each.dump()) + "\n";
            }
        }
        else {
            out += name + ": " + cell_text(parsed, name) + "\n";
        }
    }
    return out;
}

std::string error_line(const std::string& answer)
{
    const json parsed = json::parse(answer, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("type")) {
        return answer;
    }
    return cell_text(parsed, "type") + ": " + cell_text(parsed, "message");
}

std::string wave_line(const std::string& answer)
{
    const json parsed = json::parse(answer, nullptr, false);
    if (!parsed.is_object()) {
        return answer;
    }
    return fmt::format("{} {}: {} of {} done, {} out, about {} s left {}", cell_text(parsed, "id"),
                       cell_text(parsed, "state"), cell_text(parsed, "done"),
                       cell_text(parsed, "total"), cell_text(parsed, "out"),
                       cell_text(parsed, "eta_seconds"), cell_text(parsed, "waiting_for"));
}

std::string wave_state(const std::string& answer)
{
    const json parsed = json::parse(answer, nullptr, false);
    return parsed.is_object() && parsed.contains("state") ? cell_text(parsed, "state") : "";
}

} // namespace plantaindoor::ctl
