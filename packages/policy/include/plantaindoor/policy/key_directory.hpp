// Finds the workspace that an API key belongs to.
#pragma once

#include "plantaindoor/common/ids.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace plantaindoor::policy {

/// Result of adding a key to a directory.
enum class key_addition {
    added,
    empty,
    /// Another workspace has the same key; it admits nobody from now on.
    shared,
};

/// Holds digests of keys, never the keys. The digests depend on a secret seed, so the time that a
/// look-up takes tells nothing about the keys that exist. Reading is thread-safe.
class key_directory {
public:
    key_directory() = default;
    /// `seed` must be unpredictable.
    explicit key_directory(std::uint64_t seed) noexcept : m_seed(seed) {}

    [[nodiscard]] key_addition add(const workspace_id& workspace, std::string_view key);
    /// Returns the key's workspace, or nullptr for a key that is unknown or shared.
    [[nodiscard]] const workspace_id* find(std::string_view key) const;
    [[nodiscard]] std::size_t size() const noexcept { return m_workspaces.size(); }

private:
    using digest = std::array<std::uint64_t, 2>;
    [[nodiscard]] digest digest_of(std::string_view key) const noexcept;

    std::uint64_t m_seed = 0;
    /// By digest; an empty workspace marks a shared key.
    std::map<digest, workspace_id> m_workspaces;
};

/// A short identification of a key for logs, from which the key can't be derived. Thread-safe.
[[nodiscard]] std::string key_fingerprint(std::string_view key);

} // namespace plantaindoor::policy
