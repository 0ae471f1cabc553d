#include "plantaindoor/version/registration.hpp"

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
                         .incarnation = in.at("incarnation").get<std::uint64_t>(),
                         .zone = availability_zone_id(in.at("zone").get<std::string>()),
                         .peer_address = in.at("peer_address").get<std::string>(),
                         .peer_port = in.at("peer_port").get<std::uint16_t>(),
                         .applied = in.at("applied").get<version_number>(),
                         .lease_until =
                             wall_time(milliseconds(in.at("lease_until").get<std::int64_t>()))};
        for (const json& each : in.at("busy")) {
            row.busy.emplace_back(each.get<std::string>());
        }
        return row;
    }
    catch (const json::exception& failure) {
        throw decode_error(failure.what());
    }
}

} // namespace plantaindoor::version
