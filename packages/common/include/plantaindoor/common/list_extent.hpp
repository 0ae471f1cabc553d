// Whether a list that was received from elsewhere is whole.
#pragma once

namespace plantaindoor {

/// A partial list lacks items that exist, so only a complete one shows that an item is absent. What
/// concludes from absence takes the extent of its list as an argument without a default.
enum class list_extent { complete, partial };

} // namespace plantaindoor
