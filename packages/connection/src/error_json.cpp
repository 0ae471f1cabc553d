#include "plantaindoor/connection/error_json.hpp"

#include <nlohmann/json.hpp>

namespace plantaindoor::connection {

using nlohmann::json;

std::string to_json(const error& failure)
{
    json body{{"type", failure.type()}, {"message", failure.what()}};
    for (const error_field& field : failure.fields()) {
        if (!body.contains(field.name)) {
            body[field.name] = field.value;
            continue;
        }
        json& present = body[field.name];
        if (!present.is_array()) {
            present = json::array({present});
        }
        present.push_back(field.value);
    }
    // Values may hold a caller's bytes, which need not be UTF-8.
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace plantaindoor::connection
