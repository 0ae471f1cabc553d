#include "plantaindoor/version/registration.hpp"

#include "json_fields.hpp"
#include "plantaindoor/version/codec.hpp"

#include <nlohmann/json.hpp>

namespace plantaindoor::version {

using nlohmann::json;

std::string registration_key(const registration& row)
{
    return std::string(registration_prefix) + row.entry.str() + "@" +
           std::to_string(row.incarnation);
}

std::string encode(const registration& row)
{
    json busy = json::array();
    for (const instance_id& each : row.busy) {
        busy.push_back(each.str());
    }
    return json{
        {"entry", row.entry.str()},   {"incarnation", row.incarnation},
        {"zone", row.zone.str()},     {"peer_address", row.peer_address},
        {"peer_port", row.peer_port}, {"applied", row.applied},
        {"busy", std::move(busy)},    {"lease_until", row.lease_until.time_since_epoch().count()}}
        .dump();
}

registration decode_registration(std::string_view bytes)
{
    try {
        const json in = json::parse(bytes);
        registration row{.entry = entry_id(in.at("entry").get<std::string>()),
                         .incarnation =
                             number_from<std::uint64_t>(in.at("incarnation"), "incarnation"),
                         .zone = availability_zone_id(in.at("zone").get<std::string>()),
                         .peer_address = in.at("peer_address").get<std::string>(),
                         .peer_port = number_from<std::uint16_t>(in.at("peer_port"), "peer_port"),
                         .applied = number_from<version_number>(in.at("applied"), "applied"),
                         .lease_until = wall_at(in, "lease_until")};
        for (const json& each : list_at(in, "busy")) {
            row.busy.emplace_back(each.get<std::string>());
        }
        return row;
    }
    catch (const json::exception& failure) {
        throw decode_error(failure.what());
    }
}

} // namespace plantaindoor::version
