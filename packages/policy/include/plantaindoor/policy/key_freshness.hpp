// Decides whether an entry's view of the configuration is recent enough to admit keys.
#pragma once

#include "plantaindoor/common/time.hpp"

#include <optional>

namespace plantaindoor::policy {

struct key_freshness_options {
    /// A key must not be admitted this long after the acknowledgement of the configuration that
    /// removed it.
    milliseconds revocation_bound{0};
    /// Reserve for a store that answers with rows of a moment before the request.
    milliseconds reserve{0};
};

/// A configuration that the entry hasn't seen was acknowledged after the last answered read was
/// sent, so that a key may be admitted for the revocation bound from then on. All times are of a
/// clock that also advances while the system is suspended. Not thread-safe.
class key_freshness {
public:
    explicit key_freshness(key_freshness_options options) noexcept : m_options(options) {}

    /// Records that a read of the configuration, sent at `sent`, has been answered.
    void note_read(time_point sent) noexcept;
    /// Whether keys may be admitted.
    [[nodiscard]] bool is_fresh(time_point now) const noexcept;
    /// Time since the last answered read was sent; nullopt if there was none.
    [[nodiscard]] std::optional<milliseconds> age(time_point now) const noexcept;

private:
    key_freshness_options m_options;
    std::optional<time_point> m_last_read;
};

} // namespace plantaindoor::policy
