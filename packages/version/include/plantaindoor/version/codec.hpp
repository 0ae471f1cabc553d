// JSON form of fleets and deltas, as stored in the platform's table and shown to operators.
#pragma once

#include "plantaindoor/common/error.hpp"
#include "plantaindoor/version/delta.hpp"

#include <string>
#include <string_view>

namespace plantaindoor::version {

/// Stored or received bytes are not a fleet or delta.
class decode_error : public error {
public:
    explicit decode_error(const std::string& what)
        : error("decode-error", "cannot decode: " + what, {{"detail", what}})
    {
    }
};

/// All encoders and decoders are thread-safe. Decoders throw decode_error and nothing else;
/// encoders throw invalid_value_error where a text is not UTF-8.
[[nodiscard]] std::string encode(const delta& step);
[[nodiscard]] std::string encode(const fleet& whole);
[[nodiscard]] delta decode_delta(std::string_view bytes);
[[nodiscard]] fleet decode_fleet(std::string_view bytes);

} // namespace plantaindoor::version
