// One idempotency key's row in the table: who may run the request, and how it ended.
#pragma once

#include "plantaindoor/common/enum_names.hpp"
#include "plantaindoor/common/error.hpp"
#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace plantaindoor::request {

inline constexpr std::string_view claim_prefix = "claim/";
inline constexpr std::size_t max_idempotency_key_bytes = 255;

/// How the request of a key stands.
enum class claim_state {
    claimed,  ///< its owner may send it, or has sent it, or ended without a word
    answered, ///< a target's whole answer was passed on
    unknown,  ///< it was sent, and no answer came
    released, ///< its owner has proven that it was not run; the next repeat may run it
};

struct answer_header {
    std::string name;
    std::string value;

    friend bool operator==(const answer_header&, const answer_header&) = default;
};

/// The answer that a repeat of a finished key is given.
struct recorded_answer {
    std::uint16_t status = 0;
    /// False if the body was too long to be recorded; then body and headers are empty.
    bool kept = false;
    std::vector<answer_header> headers;
    std::string body;

    friend bool operator==(const recorded_answer&, const recorded_answer&) = default;
};

struct claim_record {
    claim_state state = claim_state::claimed;
    /// Unique for each claim ever made.
    std::string owner;
    /// Of method, path and body.
    std::string request_hash;
    /// By when the owner's request has ended; later its state changes no more, unless the entry is
    /// still trying to record the end.
    wall_time ends_by{};
    wall_time written{};
    /// Only for answered.
    recorded_answer answer;

    friend bool operator==(const claim_record&, const claim_record&) = default;
};

/// A stored row is not a claim.
class claim_decode_error : public error {
public:
    explicit claim_decode_error(const std::string& what)
        : error("claim-decode-error", "cannot decode a claim: " + what, {{"detail", what}})
    {
    }
};

/// Thread-safe; bytes of any kind may stand in the body.
[[nodiscard]] std::string encode(const claim_record& record);
/// Thread-safe; throws claim_decode_error and nothing else.
[[nodiscard]] claim_record decode_claim(std::string_view bytes);

/// The row's key. Thread-safe. Precondition: is_idempotency_key(key).
[[nodiscard]] std::string claim_key(const service_id& service, std::string_view key);
/// Whether the key is 1 to max_idempotency_key_bytes visible ASCII characters. Thread-safe.
[[nodiscard]] bool is_idempotency_key(std::string_view key) noexcept;
/// 128 bits over the parts that make two requests the same, as hexadecimal. Thread-safe.
[[nodiscard]] std::string request_hash(std::string_view method, std::string_view target,
                                       std::string_view body);

} // namespace plantaindoor::request

namespace plantaindoor {

template<>
struct enum_names<request::claim_state> {
    static constexpr std::array<enum_name<request::claim_state>, 4> table{{
        {request::claim_state::claimed, "claimed"},
        {request::claim_state::answered, "answered"},
        {request::claim_state::unknown, "unknown"},
        {request::claim_state::released, "released"},
    }};
};

} // namespace plantaindoor
