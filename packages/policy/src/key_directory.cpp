#include "plantaindoor/policy/key_directory.hpp"

#include "plantaindoor/common/hash.hpp"

#include <fmt/format.h>

namespace plantaindoor::policy {

namespace {

/// Distinguishes the two halves of a digest.
constexpr std::uint64_t second_half = 0x9e3779b97f4a7c15;
/// Few enough bits that many keys have the same fingerprint.
constexpr std::uint64_t fingerprint_bits = 0xffffff;

} // namespace

key_directory::digest key_directory::digest_of(std::string_view key) const noexcept
{
    return {hash64(key, m_seed), hash64(key, m_seed ^ second_half)};
}

key_addition key_directory::add(const workspace_id& workspace, std::string_view key)
{
    if (key.empty() || workspace.empty()) {
        return key_addition::empty;
    }
    const auto [at, is_new] = m_workspaces.emplace(digest_of(key), workspace);
    if (is_new || at->second == workspace) {
        return key_addition::added;
    }
    at->second = workspace_id();
    return key_addition::shared;
}

const workspace_id* key_directory::find(std::string_view key) const
{
    const auto found = m_workspaces.find(digest_of(key));
    return found == m_workspaces.end() || found->second.empty() ? nullptr : &found->second;
}

std::string key_fingerprint(std::string_view key)
{
    return fmt::format("{:06x}", hash64(key) & fingerprint_bits);
}

} // namespace plantaindoor::policy
